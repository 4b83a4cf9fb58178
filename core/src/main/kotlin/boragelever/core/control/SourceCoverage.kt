package boragelever.core.control

import boragelever.core.RegionName
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * Health of the configuration source watch, of this node and of the watcher of its region.
 *
 * One member of each region watches the configuration source. While the results of the store confirm what it knows of
 * the source, it sends a report to the members of its region at short intervals.
 *
 * A connection to the store that has gone silent looks like one on which nothing has changed, until the wait of the
 * request is over. The watchers of the regions therefore take turns: their waits end one after the other, and each
 * watcher reports its result to the others, which pull a configuration that their own connection does not deliver.
 */
public data class SourceWatchHealth(
    /** Time of the last result that confirmed what this node knows of the source, or `null` before the first. */
    public val lastConfirmedMillis: Long? = null,
    /** Time of the last report of a watcher, or `null` before the first. */
    public val lastReportMillis: Long? = null,
    public val nextReportMillis: Long = 0,
    /** Time of the last result that the watcher of each other region reported. */
    public val remoteResultsMillis: PersistentMap<RegionName, Long> = persistentMapOf(),
)

/** True if this node watches the source itself: as region watcher, or because no watcher reports. */
internal fun ControlState.watchesSource(nowMillis: Long): Boolean {
    if (isRegionWatcher()) return true
    val lastReportMillis = source.watchHealth.lastReportMillis ?: return true
    return nowMillis - lastReportMillis >= WATCHER_TIMEOUT_MILLIS
}

/** True if this node is the watcher of its region according to its member table. */
internal fun ControlState.isRegionWatcher(): Boolean =
    membership.table.relays(identity.region, WATCHERS_PER_REGION).contains(identity.node)

/** Subtrees to which a configuration from the source is pushed. */
internal fun ControlState.sourceSubtrees(): Set<Subtree> =
    if (isRegionWatcher()) setOf(Subtree(TreeScope.REGION)) else emptySet()

internal fun ControlState.recordConfirmation(nowMillis: Long): ControlState =
    updateSource { copy(watchHealth = watchHealth.copy(lastConfirmedMillis = nowMillis)) }

/** Sends a report to the members of the region if one is due, this node is the watcher and its state is confirmed. */
internal fun ControlState.tickSourceWatch(nowMillis: Long): Transition {
    val health = source.watchHealth
    if (nowMillis < health.nextReportMillis || !isRegionWatcher() || !isConfirmed(nowMillis)) return withoutEffects()
    val report = PeerMessage.SourceReport(applied?.id)
    val peers = membership.table.region(identity.region).ring.entries
        .map { it.node }
        .filter { it != identity.node && membership.table[it]?.canForward == true }
    return updateSource { copy(watchHealth = watchHealth.copy(nextReportMillis = nowMillis + REPORT_INTERVAL_MILLIS)) }
        .foldTransitions(peers) { state, peer -> state.send(peer, report) }
}

internal fun ControlState.receiveSourceReport(event: Event.PeerMessageReceived): Transition {
    val report = event.message as? PeerMessage.SourceReport ?: return withoutEffects()
    val nowMillis = event.context.nowMillis
    val region = membership.table[event.from]?.record?.region ?: return withoutEffects()
    val health = source.watchHealth
    val next = if (region == identity.region) {
        health.copy(lastReportMillis = nowMillis)
    } else {
        health.copy(remoteResultsMillis = health.remoteResultsMillis.put(region, nowMillis))
    }
    return updateSource { copy(watchHealth = next) }.recordPeerConfig(event.from, report.config, nowMillis)
}

/** Reports a result of the store to the watchers of the other regions. */
internal fun ControlState.reportResultToOtherRegions(): Transition {
    if (!isRegionWatcher()) return withoutEffects()
    val report = PeerMessage.SourceReport(pendingConfig?.id ?: applied?.id)
    val watchers = membership.table.regions.keys
        .filter { it != identity.region }
        .flatMap { membership.table.relays(it, WATCHERS_PER_REGION) }
    return foldTransitions(watchers) { state, watcher -> state.send(watcher, report) }
}

/**
 * Time for which the store is to defer the result of the next watch request if there is no change.
 *
 * The first region by name sets the turns; the wait of another region ends its turn number times
 * [RESULT_INTERVAL_MILLIS] after the last result of the first. A node that shares with no other region has all turns.
 */
internal fun ControlState.watchWaitMillis(nowMillis: Long): Long {
    val results = source.watchHealth.remoteResultsMillis.filterValues { nowMillis - it < REMOTE_RESULT_VALIDITY_MILLIS }
    if (!isRegionWatcher() || results.isEmpty()) return RESULT_INTERVAL_MILLIS
    val regions = (results.keys + identity.region).sortedBy { it.value }
    val turns = minOf(regions.size, MAX_TURNS)
    val cycleMillis = turns * RESULT_INTERVAL_MILLIS
    val firstResultMillis = results[regions.first()] ?: return cycleMillis
    val turnMillis = firstResultMillis + regions.indexOf(identity.region) * RESULT_INTERVAL_MILLIS
    val waitMillis = (turnMillis - nowMillis).mod(cycleMillis)
    return if (waitMillis < MIN_WAIT_MILLIS) waitMillis + cycleMillis else waitMillis
}

/** True if a result confirmed what this node knows of the source, and the next result is not overdue. */
private fun ControlState.isConfirmed(nowMillis: Long): Boolean {
    if (source.watchHealth.lastConfirmedMillis == null || source.failures > 0) return false
    val phase = source.phase
    return phase !is SourcePhase.Requesting || nowMillis < phase.overdueMillis
}

/** Members of a region that watch the source; another one takes over when the reports stop. */
private const val WATCHERS_PER_REGION = 1

/** Interval between the reports of a watcher. */
private const val REPORT_INTERVAL_MILLIS = 400L

/** Time without a report after which a node watches the source itself; two reports may be lost. */
private const val WATCHER_TIMEOUT_MILLIS = 1_100L

/**
 * Interval in which one of the watchers that share their results gets one.
 *
 * A watcher notices a silent connection at the end of its wait. This interval, the timeout of the request, a new
 * request and the pulls of the other regions together stay below the 3 s after which a configuration must be in force.
 */
private const val RESULT_INTERVAL_MILLIS = 1_000L

/** Number of turns; further regions share them, so that no wait is longer than the validity of its result. */
private const val MAX_TURNS = 4

/** Wait below which a watcher leaves out its turn, since it has just had a result. */
private const val MIN_WAIT_MILLIS = 100L

/** Time after which the watcher of another region counts as gone; it has missed its turn by then. */
private const val REMOTE_RESULT_VALIDITY_MILLIS = 6_000L
