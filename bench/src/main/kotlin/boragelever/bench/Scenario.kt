package boragelever.bench

import boragelever.core.config.DisseminationProfile
import boragelever.core.control.Event
import boragelever.core.control.MemberStatus
import boragelever.core.control.MemberStatusRecord
import boragelever.core.control.PeerMessage
import boragelever.core.control.TreeScope
import boragelever.core.control.version
import org.HdrHistogram.Histogram
import kotlin.random.Random

/** Lengths and rates of a run. All times are virtual. */
internal data class ScenarioSettings(
    val idleMillis: Long = 20_000,
    val changesMillis: Long = 45_000,
    val changeEachMillis: Long = 3_000,
    val churnMillis: Long = 45_000,
    val churnChangeEachMillis: Long = 10_000,
    /** Nodes that are replaced during the churn; the last one fails without notice. */
    val replacements: Int = 4,
)

/** What was used in a phase of [millis]. */
internal class PhaseResult(
    val millis: Long,
    val traffic: Traffic,
    val store: StoreLoad,
    val loads: Map<Role, List<NodeLoad>>,
    val times: ReduceTimes,
    val versions: Int,
    val perNode: Histogram,
    val fromEdit: Histogram,
) {
    val nodes: Int get() = loads.values.sumOf { it.size }
    val seconds: Double get() = millis / 1_000.0
}

/** Figures of one size and profile. */
internal class ControlResult(
    val size: MeshSize,
    val profile: DisseminationProfile,
    val idle: PhaseResult,
    val changes: PhaseResult,
    val churn: PhaseResult,
    val replacements: Int,
    val violations: Map<Promise, Int>,
    /** True if all live nodes hold the newest version and know exactly the live nodes at the end. */
    val isSettled: Boolean,
    val digest: Long,
)

/** Runs the phases of one size and profile one after the other. */
internal fun measure(settings: MeshSettings, scenario: ScenarioSettings): ControlResult {
    val mesh = Mesh(settings)
    mesh.startJoined()
    mesh.runFor(WARM_UP_MILLIS)
    val idle = mesh.phase(scenario.idleMillis) {}
    val edits = Edits(mesh)
    val changes = mesh.phase(scenario.changesMillis) {
        edits.scheduleEach(scenario.changeEachMillis, scenario.changesMillis)
    }
    val churn = mesh.phase(scenario.churnMillis) {
        edits.scheduleEach(scenario.churnChangeEachMillis, scenario.churnMillis)
        mesh.scheduleReplacements(scenario)
    }
    mesh.runFor(SETTLE_MILLIS)
    if (mesh.convergence.open > 0) mesh.promises.violate(Promise.IN_FORCE_EVERYWHERE)
    return ControlResult(
        settings.size,
        settings.profile,
        idle,
        changes,
        churn,
        scenario.replacements,
        mesh.promises.violations,
        mesh.isSettled(),
        mesh.digest,
    )
}

private class Edits(private val mesh: Mesh) {
    private val random = Random(mesh.settings.seed)
    private var number = 0

    /** Edits at random times within equal intervals; the last one leaves time for its version to spread. */
    fun scheduleEach(eachMillis: Long, phaseMillis: Long) {
        for (atMillis in 0 until phaseMillis - SETTLE_MILLIS step eachMillis) {
            val edit = number++
            mesh.schedule(atMillis + random.nextLong(eachMillis)) { mesh.edit(edit) }
        }
    }
}

private fun Mesh.phase(millis: Long, begin: () -> Unit): PhaseResult {
    convergence.startPhase()
    traffic = Traffic()
    times = ReduceTimes()
    store.load = StoreLoad()
    nodes.forEach { it.load = NodeLoad() }
    begin()
    runFor(millis)
    val loads = live().groupBy({ it.role() }, { it.load })
    val spread = convergence
    return PhaseResult(millis, traffic, store.load, loads, times, spread.accepted, spread.perNode, spread.fromEdit)
}

/**
 * Starts all nodes with the member table that they would have after joining.
 *
 * A mass start is not part of what is measured, and 1,000 nodes that join one after the other take minutes. The
 * renewals of member rows are spread over their interval as they are in a mesh that has run for long.
 */
private fun Mesh.startJoined() {
    repeat(settings.size.nodes) { add(it) }
    nodes.forEach { start(it) }
    val records = nodes.map { MemberStatusRecord(checkNotNull(it.state.membership.localRecord), MemberStatus.ALIVE) }
    val first = nodes.first()
    val all = PeerMessage.MemberUpdate(1, records, TreeScope.SELF, isReply = true)
    feed(first) { Event.PeerMessageReceived(it, nodes.last().identity.node, all) }
    val table = first.state.membership.table
    val random = Random(settings.seed)
    nodes.forEach { node ->
        val members = node.state.membership
        val found = nodes.shuffled(random).take(FOUND_ADDRESSES).map { it.identity.peerAddress }
        val join = members.join.copy(hasJoined = true, failedRounds = 0, storedAddresses = found)
        val nextWriteMillis = nowMicros / MICROS + random.nextLong(ROW_RENEWAL_MILLIS)
        val rows = members.rows.copy(nextScanAtMillis = null, nextWriteAtMillis = nextWriteMillis)
        node.state = node.state.copy(membership = members.copy(table = table, join = join, rows = rows))
    }
}

private fun Mesh.scheduleReplacements(scenario: ScenarioSettings) {
    val random = Random(settings.seed)
    val chosen = live().shuffled(random).take(scenario.replacements)
    val eachMillis = (scenario.churnMillis - SETTLE_MILLIS) / maxOf(1, scenario.replacements)
    chosen.forEachIndexed { index, node ->
        val isFailure = index == chosen.lastIndex
        schedule(index * eachMillis) { if (isFailure) failAndReplace(node) else replace(node) }
    }
}

private fun Mesh.replace(node: BenchNode) {
    val upstream = settings.size.upstream(node.host, node.identity)
    feed(node) { Event.StopRequested(it) }
    feed(node) { Event.CallsFinished(it) }
    schedule(MIN_DRAIN_MILLIS) { promises.checkDeparture(upstream.instance, live()) }
    schedule(REPLACED_AFTER_MILLIS) { start(add(node.host)) }
}

private fun Mesh.failAndReplace(node: BenchNode) {
    fail(node)
    schedule(REPLACED_AFTER_MILLIS) { start(add(node.host)) }
}

/** True if all live nodes hold the same version and know exactly the live nodes as alive. */
internal fun Mesh.isSettled(): Boolean {
    val live = live()
    val expected = live.associate { it.identity.node to checkNotNull(it.state.membership.localRecord).version }
    val versions = live.map { it.state.applied?.id }.distinct()
    return versions.size == 1 && versions.first() != null && live.all { node ->
        val alive = node.state.membership.table.members.values.filter { it.status == MemberStatus.ALIVE }
        alive.associate { it.record.node to it.record.version } == expected
    }
}

/** Addresses that a node remembers from its scan of the member rows. */
private const val FOUND_ADDRESSES = 32
private const val ROW_RENEWAL_MILLIS = 60_000L

/** Time for the lease, the first version, and the first probes. */
private const val WARM_UP_MILLIS = 20_000L
private const val SETTLE_MILLIS = 10_000L

/** Bound of the announced departure. */
private const val MIN_DRAIN_MILLIS = 2_000L
private const val REPLACED_AFTER_MILLIS = 3_000L
