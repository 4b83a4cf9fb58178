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

/** Durations and rates of a run, in virtual time. */
internal data class ScenarioSettings(
    val idleMillis: Long = 20_000,
    val changesMillis: Long = 45_000,
    val changeIntervalMillis: Long = 3_000,
    val churnMillis: Long = 45_000,
    val churnChangeIntervalMillis: Long = 10_000,
    /** Number of nodes that are replaced in the churn phase; the host of the last one fails without leaving. */
    val replacements: Int = 4,
)

/** Measurements of a phase that lasted [millis] of virtual time. */
internal class PhaseResult(
    val millis: Long,
    val traffic: Traffic,
    val store: StoreStats,
    val nodeStats: Map<Role, List<NodeStats>>,
    val times: ReduceTimes,
    val publishedVersions: Int,
    val applyDelayMicros: Histogram,
    val editToLastApplyMicros: Histogram,
) {
    val nodes: Int get() = nodeStats.values.sumOf { it.size }
    val seconds: Double get() = millis / 1_000.0
}

/** Measurements of one mesh size with one dissemination profile. */
internal class ControlResult(
    val size: MeshSize,
    val profile: DisseminationProfile,
    val idle: PhaseResult,
    val changes: PhaseResult,
    val churn: PhaseResult,
    val replacements: Int,
    val violations: Map<Invariant, Int>,
    /** True if the running nodes ended with the same version and listed exactly the running nodes as alive. */
    val hasConverged: Boolean,
    val digest: Long,
)

/** Simulates one mesh: warm-up, then the idle, changes and churn phases in sequence. */
internal fun runScenario(settings: MeshSettings, scenario: ScenarioSettings): ControlResult {
    val mesh = Mesh(settings)
    mesh.startWithFullMembership()
    mesh.runFor(WARM_UP_MILLIS)
    val idle = mesh.phase(scenario.idleMillis) {}
    val edits = EditScheduler(mesh)
    val changes = mesh.phase(scenario.changesMillis) {
        edits.schedulePeriodicEdits(scenario.changeIntervalMillis, scenario.changesMillis)
    }
    val churn = mesh.phase(scenario.churnMillis) {
        edits.schedulePeriodicEdits(scenario.churnChangeIntervalMillis, scenario.churnMillis)
        mesh.scheduleReplacements(scenario)
    }
    mesh.runFor(SETTLE_MILLIS)
    if (mesh.convergence.pendingCount > 0) mesh.invariants.violate(Invariant.APPLIED_ON_ALL_NODES)
    return ControlResult(
        settings.size,
        settings.profile,
        idle,
        changes,
        churn,
        scenario.replacements,
        mesh.invariants.violations,
        mesh.hasConverged(),
        mesh.digest,
    )
}

private class EditScheduler(private val mesh: Mesh) {
    private val random = Random(mesh.settings.seed)
    private var number = 0

    /**
     * Schedules one edit at a random time in each interval.
     *
     * No interval begins in the last [SETTLE_MILLIS] of the phase, so that the last version can reach all nodes.
     */
    fun schedulePeriodicEdits(intervalMillis: Long, phaseMillis: Long) {
        for (atMillis in 0 until phaseMillis - SETTLE_MILLIS step intervalMillis) {
            val edit = number++
            mesh.schedule(atMillis + random.nextLong(intervalMillis)) { mesh.edit(edit) }
        }
    }
}

private fun Mesh.phase(millis: Long, begin: () -> Unit): PhaseResult {
    convergence.startPhase()
    traffic = Traffic()
    times = ReduceTimes()
    store.stats = StoreStats()
    nodes.forEach { it.stats = NodeStats() }
    begin()
    runFor(millis)
    val nodeStats = runningNodes().groupBy({ it.role() }, { it.stats })
    val recorder = convergence
    return PhaseResult(
        millis,
        traffic,
        store.stats,
        nodeStats,
        times,
        recorder.publishedVersions,
        recorder.applyDelayMicros,
        recorder.editToLastApplyMicros,
    )
}

/**
 * Starts all nodes with the member table that they would have after joining.
 *
 * Joining is not part of the measurement, and it takes minutes for 1,000 nodes that join one after the other. The
 * renewals of the member rows are spread evenly over the renewal interval, as in a mesh that has run for a long time.
 */
private fun Mesh.startWithFullMembership() {
    repeat(settings.size.nodes) { addNode(it) }
    nodes.forEach { start(it) }
    val records = nodes.map { MemberStatusRecord(checkNotNull(it.state.membership.localRecord), MemberStatus.ALIVE) }
    val first = nodes.first()
    val all = PeerMessage.MemberUpdate(1, records, TreeScope.SELF, isReply = true)
    dispatch(first) { Event.PeerMessageReceived(it, nodes.last().identity.node, all) }
    val table = first.state.membership.table
    val random = Random(settings.seed)
    nodes.forEach { node ->
        val members = node.state.membership
        val storedAddresses = nodes.shuffled(random).take(STORED_ADDRESSES).map { it.identity.peerAddress }
        val join = members.join.copy(hasJoined = true, failedRounds = 0, storedAddresses = storedAddresses)
        val nextWriteMillis = nowMicros / MICROS + random.nextLong(ROW_RENEWAL_MILLIS)
        val rows = members.rows.copy(nextScanAtMillis = null, nextWriteAtMillis = nextWriteMillis)
        node.state = node.state.copy(membership = members.copy(table = table, join = join, rows = rows))
    }
}

private fun Mesh.scheduleReplacements(scenario: ScenarioSettings) {
    val random = Random(settings.seed)
    val replacedNodes = runningNodes().shuffled(random).take(scenario.replacements)
    val intervalMillis = (scenario.churnMillis - SETTLE_MILLIS) / maxOf(1, scenario.replacements)
    replacedNodes.forEachIndexed { index, node ->
        val isFailure = index == replacedNodes.lastIndex
        schedule(index * intervalMillis) { if (isFailure) failAndReplace(node) else replace(node) }
    }
}

private fun Mesh.replace(node: BenchNode) {
    val upstream = settings.size.upstream(node.host, node.identity)
    dispatch(node) { Event.StopRequested(it) }
    dispatch(node) { Event.CallsFinished(it) }
    schedule(MIN_DRAIN_MILLIS) { invariants.checkLeave(upstream.instance, runningNodes()) }
    schedule(REPLACED_AFTER_MILLIS) { start(addNode(node.host)) }
}

private fun Mesh.failAndReplace(node: BenchNode) {
    failHost(node)
    schedule(REPLACED_AFTER_MILLIS) { start(addNode(node.host)) }
}

/** True if all running nodes have applied the same version and list exactly the running nodes as alive. */
internal fun Mesh.hasConverged(): Boolean {
    val runningNodes = runningNodes()
    val expected = runningNodes.associate { it.identity.node to checkNotNull(it.state.membership.localRecord).version }
    val configs = runningNodes.map { it.state.applied?.id }.distinct()
    return configs.size == 1 && configs.first() != null && runningNodes.all { node ->
        val alive = node.state.membership.table.members.values.filter { it.status == MemberStatus.ALIVE }
        alive.associate { it.record.node to it.record.version } == expected
    }
}

/** Number of peer addresses that a node keeps from its scan of the member rows. */
private const val STORED_ADDRESSES = 32
private const val ROW_RENEWAL_MILLIS = 60_000L

/** Time for acquiring the lease, publishing the first version and sending the first probes. */
private const val WARM_UP_MILLIS = 20_000L

/** Time for the last version to reach all nodes. */
private const val SETTLE_MILLIS = 10_000L

/** Time after the start of a drain by which no node may route to the leaving node. */
private const val MIN_DRAIN_MILLIS = 2_000L
private const val REPLACED_AFTER_MILLIS = 3_000L
