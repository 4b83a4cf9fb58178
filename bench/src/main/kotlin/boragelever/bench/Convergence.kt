package boragelever.bench

import boragelever.core.ConfigVersion
import org.HdrHistogram.Histogram

/** Times from the acceptance of versions until they are in force on each node, in microseconds. */
internal class Convergence {
    private class Awaited(val acceptedMicros: Long, val edition: Int, val nodes: MutableSet<Int>)

    private class Edit(val edition: Int, val atMicros: Long)

    private val awaited = sortedMapOf<ConfigVersion, Awaited>()
    private val edits = ArrayDeque<Edit>()

    /** Time from acceptance, for each node and version. */
    var perNode: Histogram = newHistogram()
        private set

    /** Time from an operator's edit until it is in force on the last node. */
    var fromEdit: Histogram = newHistogram()
        private set

    /** Versions accepted since the start of the phase. */
    var accepted: Int = 0
        private set

    fun startPhase() {
        perNode = newHistogram()
        fromEdit = newHistogram()
        accepted = 0
        edits.clear()
    }

    /** An operator saved [edition] of the folder. */
    fun edited(edition: Int, nowMicros: Long) {
        edits += Edit(edition, nowMicros)
    }

    /** The store committed [version], made from [edition] of the folder; it is to reach all of [nodes]. */
    fun accepted(version: ConfigVersion, edition: Int, nowMicros: Long, nodes: List<BenchNode>) {
        accepted++
        awaited[version] = Awaited(nowMicros, edition, nodes.mapTo(HashSet()) { it.number })
    }

    /** [node] has [version] in force. */
    fun applied(node: BenchNode, version: ConfigVersion, nowMicros: Long) {
        awaited.headMap(ConfigVersion(version.value + 1)).values.forEach { wait ->
            if (wait.nodes.remove(node.number)) perNode.recordValue(nowMicros - wait.acceptedMicros)
        }
        settle(nowMicros)
    }

    /** [node] has ended and is no longer waited for. */
    fun ended(node: BenchNode, nowMicros: Long) {
        awaited.values.forEach { it.nodes.remove(node.number) }
        settle(nowMicros)
    }

    /** Number of versions that are not in force everywhere. */
    val open: Int get() = awaited.size

    private fun settle(nowMicros: Long) {
        val done = awaited.filterValues { it.nodes.isEmpty() }
        done.forEach { (version, wait) ->
            awaited.remove(version)
            while (edits.isNotEmpty() && edits.first().edition <= wait.edition) {
                fromEdit.recordValue(nowMicros - edits.removeFirst().atMicros)
            }
        }
    }
}

/** Values up to an hour in microseconds, to three digits. */
internal fun newHistogram(): Histogram = Histogram(3_600_000_000L, 3)
