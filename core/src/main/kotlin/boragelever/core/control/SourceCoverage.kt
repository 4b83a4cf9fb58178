package boragelever.core.control

import boragelever.core.config.ConfigId

/**
 * What this node knows about members that watch the configuration source in its place.
 *
 * The watcher of each region tells its region at short intervals up to when its view of the source is confirmed.
 */
public data class SourceWatchHealth(
    /** Time at which the store last confirmed this node's own view. */
    public val confirmedMillis: Long? = null,
    /** Time of the last report of a watcher whose view was fresh. */
    public val lastReportMillis: Long? = null,
    public val nextReportMillis: Long = 0,
)

/** True if this node asks the store itself. */
internal fun ControlState.watchesSource(nowMillis: Long): Boolean {
    if (isRegionWatcher()) return true
    val covered = source.coverage.lastReportMillis ?: return true
    return nowMillis - covered >= UNCOVERED_AFTER_MILLIS
}

/** True if this node watches for its region, as far as it knows the members. */
internal fun ControlState.isRegionWatcher(): Boolean =
    membership.table.relays(identity.region, WATCHERS_PER_REGION).contains(identity.node)

/** Parts of the tree to which a configuration from the source is pushed. */
internal fun ControlState.sourceParts(): Set<TreePart> =
    if (isRegionWatcher()) setOf(TreePart(TreeScope.REGION)) else emptySet()

internal fun ControlState.noteConfirmed(nowMillis: Long): ControlState =
    updateSource { copy(coverage = coverage.copy(confirmedMillis = nowMillis)) }

/** Reports to the region while this node watches for it and its view is fresh. */
internal fun ControlState.tickCoverage(nowMillis: Long): Transition {
    val coverage = source.coverage
    if (nowMillis < coverage.nextReportMillis || !isRegionWatcher() || !hasFreshView(nowMillis)) return withoutEffects()
    val report = PeerMessage.SourceReport(applied?.id)
    val peers = membership.table.region(identity.region).ring.entries
        .map { it.node }
        .filter { it != identity.node && membership.table[it]?.canForward == true }
    return updateSource { copy(coverage = coverage.copy(nextReportMillis = nowMillis + REPORT_MILLIS)) }
        .foldTransitions(peers) { state, peer -> state.send(peer, report) }
}

internal fun ControlState.coverageMessage(event: Event.PeerMessageReceived): Transition {
    val report = event.message as? PeerMessage.SourceReport ?: return withoutEffects()
    val nowMillis = event.stamp.nowMillis
    return updateSource { copy(coverage = coverage.copy(lastReportMillis = nowMillis)) }
        .noteHeld(event.from, report.config, nowMillis)
}

/** An open request confirms the view until it ought to have been answered. */
private fun ControlState.hasFreshView(nowMillis: Long): Boolean {
    val confirmed = source.coverage.confirmedMillis ?: return false
    return source.failures == 0 && nowMillis - confirmed < CONFIRMED_FOR_MILLIS
}

/** Members of a region that watch the source for it; others take over when the reports stop. */
private const val WATCHERS_PER_REGION = 1

/** Interval of the reports of a watcher. */
private const val REPORT_MILLIS = 400L

/** Silence of the watchers after which a node asks the store itself; two reports may be lost. */
private const val UNCOVERED_AFTER_MILLIS = 1_100L

/** A request of the watch is answered within its wait and a round trip; one that is not makes the view stale. */
private const val CONFIRMED_FOR_MILLIS = 5_600L
