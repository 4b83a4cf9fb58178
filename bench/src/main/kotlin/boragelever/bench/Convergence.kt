package boragelever.bench

import boragelever.core.ConfigVersion
import org.HdrHistogram.Histogram

/** Records the times in microseconds from the publication of a version until each node applies it. */
internal class Convergence {
    private class PendingVersion(val publishedMicros: Long, val revision: Int, val nodes: MutableSet<Int>)

    private class Edit(val revision: Int, val atMicros: Long)

    private val pendingVersions = sortedMapOf<ConfigVersion, PendingVersion>()
    private val edits = ArrayDeque<Edit>()

    /** Time from the publication of a version until a node applied it; one value per node and version. */
    var applyDelayMicros: Histogram = newHistogram()
        private set

    /** Time from an operator's edit until the last node applied it. */
    var editToLastApplyMicros: Histogram = newHistogram()
        private set

    /** Number of versions published since the start of the phase. */
    var publishedVersions: Int = 0
        private set

    fun startPhase() {
        applyDelayMicros = newHistogram()
        editToLastApplyMicros = newHistogram()
        publishedVersions = 0
        edits.clear()
    }

    /** Records that an operator saved [revision] of the folder. */
    fun recordEdit(revision: Int, nowMicros: Long) {
        edits += Edit(revision, nowMicros)
    }

    /** Records that the store committed [version], built from [revision] of the folder, which [nodes] have to apply. */
    fun recordPublished(version: ConfigVersion, revision: Int, nowMicros: Long, nodes: List<BenchNode>) {
        publishedVersions++
        pendingVersions[version] = PendingVersion(nowMicros, revision, nodes.mapTo(HashSet()) { it.number })
    }

    /** Records that [node] applied [version]; this covers all earlier versions, too. */
    fun markApplied(node: BenchNode, version: ConfigVersion, nowMicros: Long) {
        pendingVersions.headMap(ConfigVersion(version.value + 1)).values.forEach { pending ->
            if (pending.nodes.remove(node.number)) applyDelayMicros.recordValue(nowMicros - pending.publishedMicros)
        }
        completeVersions(nowMicros)
    }

    /** Stops waiting for [node], which has ended. */
    fun removeNode(node: BenchNode, nowMicros: Long) {
        pendingVersions.values.forEach { it.nodes.remove(node.number) }
        completeVersions(nowMicros)
    }

    /** Number of published versions that at least one node has not applied. */
    val pendingCount: Int get() = pendingVersions.size

    private fun completeVersions(nowMicros: Long) {
        val completed = pendingVersions.filterValues { it.nodes.isEmpty() }
        completed.forEach { (version, pending) ->
            pendingVersions.remove(version)
            while (edits.isNotEmpty() && edits.first().revision <= pending.revision) {
                editToLastApplyMicros.recordValue(nowMicros - edits.removeFirst().atMicros)
            }
        }
    }
}

/** Creates a histogram for microseconds up to one hour with three significant digits. */
internal fun newHistogram(): Histogram = Histogram(3_600_000_000L, 3)
