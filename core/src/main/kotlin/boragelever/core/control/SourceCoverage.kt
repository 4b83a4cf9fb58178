package boragelever.core.control

import boragelever.core.config.ConfigId

/**
 * Health of the configuration source watch, of this node and of the watcher of its region.
 *
 * One member of each region watches the configuration source. While the results of the store confirm what it knows of
 * the source, it sends a report to the members of its region at short intervals.
 */
public data class SourceWatchHealth(
    /** Time of the last result that confirmed what this node knows of the source, or `null` before the first. */
    public val lastConfirmedMillis: Long? = null,
    /** Time of the last report of a watcher, or `null` before the first. */
    public val lastReportMillis: Long? = null,
    public val nextReportMillis: Long = 0,
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
    return updateSource { copy(watchHealth = watchHealth.copy(lastReportMillis = nowMillis)) }
        .recordPeerConfig(event.from, report.config, nowMillis)
}

/** True if a recent result confirmed what this node knows of the source, and the next result is not overdue. */
private fun ControlState.isConfirmed(nowMillis: Long): Boolean {
    val lastConfirmedMillis = source.watchHealth.lastConfirmedMillis ?: return false
    return source.failures == 0 && nowMillis - lastConfirmedMillis < CONFIRMATION_VALIDITY_MILLIS
}

/** Members of a region that watch the source; another one takes over when the reports stop. */
private const val WATCHERS_PER_REGION = 1

/** Interval between the reports of a watcher. */
private const val REPORT_INTERVAL_MILLIS = 400L

/** Time without a report after which a node watches the source itself; two reports may be lost. */
private const val WATCHER_TIMEOUT_MILLIS = 1_100L

/** Bound of the maximum wait of a watch request plus a round trip; a result that takes longer is overdue. */
private const val CONFIRMATION_VALIDITY_MILLIS = 5_600L
