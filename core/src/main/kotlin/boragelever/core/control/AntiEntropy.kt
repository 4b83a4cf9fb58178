package boragelever.core.control

import boragelever.core.EventContext
import boragelever.core.NodeId
import boragelever.core.config.ConfigId
import boragelever.core.config.DisseminationProfile
import boragelever.core.config.documentDelta

/** Wait for a push of a version that a peer has already applied; an immediate pull would transfer it twice. */
internal const val PULL_DELAY_MILLIS: Long = 400

/** Wait for the reply to a pull before it is sent again. */
private const val PULL_RETRY_INTERVAL_MILLIS = 500L

/** Time without a message from any peer after which a node reads the head row from the store itself. */
internal const val ISOLATION_TIMEOUT_MILLIS: Long = 5_000

/** Time after the start in which a node waits for a configuration from its peers before it reads the store. */
private const val INITIAL_CONFIG_TIMEOUT_MILLIS = 2_000L

/** Minimum interval between two reads of the head row, and the bound of the random wait that is added to it. */
private const val HEAD_READ_INTERVAL_MILLIS = 2_500L

/**
 * Factor by which a node that has peers but no configuration reads the head row less often.
 *
 * Its peers push the first published configuration to it.
 */
private const val INITIAL_CONFIG_INTERVAL_FACTOR = 4

/** Interval between two reads of the head row in the polling profile. */
private const val POLL_INTERVAL_MILLIS = 1_000L

/** Records which configuration [peer] has applied and, if it is newer, schedules a pull in case no push delivers it. */
internal fun ControlState.recordPeerConfig(peer: NodeId, config: ConfigId?, nowMillis: Long): Transition {
    val recorded = updateDissemination {
        copy(peerConfigs = if (config == null) peerConfigs.remove(peer) else peerConfigs.put(peer, config))
    }
    if (config == null || !isNewerConfig(config)) return recorded.withoutEffects()
    if (!isPushing) return recorded.withoutEffects()
    val pull = dissemination.pendingPull
    val isCovered = pull != null && pull.id.version >= config.version
    val waitMillis = if (applied == null) 0 else PULL_DELAY_MILLIS
    val next =
        if (pull != null && isCovered) pull.copy(peer = peer) else PendingPull(peer, config, nowMillis + waitMillis)
    return recorded.updateDissemination { copy(pendingPull = next) }.pullIfDue(nowMillis)
}

private fun ControlState.pullIfDue(nowMillis: Long): Transition {
    val pending = dissemination.pendingPull ?: return withoutEffects()
    if (!isNewerConfig(pending.id)) return updateDissemination { copy(pendingPull = null) }.withoutEffects()
    if (nowMillis < pending.pullAtMillis) return withoutEffects()
    return updateDissemination {
        copy(pendingPull = pending.copy(pullAtMillis = nowMillis + PULL_RETRY_INTERVAL_MILLIS))
    }.sendPull(pending.peer, nowMillis)
}

/** Pulls from [peer] any configuration that is newer than the applied one. */
internal fun ControlState.sendPull(peer: NodeId, nowMillis: Long): Transition =
    updateDissemination { copy(lastPullMillis = nowMillis) }.send(peer, PeerMessage.ConfigPull(applied?.id))

/** Pulls the first configuration from [peer] unless another pull was sent recently. */
internal fun ControlState.pullInitialConfig(peer: NodeId, nowMillis: Long): Transition {
    val lastMillis = dissemination.lastPullMillis
    val mayPull = lastMillis == null || nowMillis - lastMillis >= PULL_RETRY_INTERVAL_MILLIS
    return if (applied == null && pendingConfig == null && mayPull) sendPull(peer, nowMillis) else withoutEffects()
}

/** Replies to a pull with a delta or the full document. Full documents are rate-limited; the peer pulls again. */
internal fun ControlState.handleConfigPull(
    from: NodeId,
    pull: PeerMessage.ConfigPull,
    nowMillis: Long,
): Transition {
    val recorded = updateDissemination {
        copy(peerConfigs = pull.applied?.let { peerConfigs.put(from, it) } ?: peerConfigs.remove(from))
    }
    val config = applied ?: return recorded.withoutEffects()
    if (pull.applied.versionOrNone() >= config.id.version) return recorded.withoutEffects()
    val base = dissemination.history.find { it.id == pull.applied }
    if (base == null) return recorded.sendFullDocument(from, config, nowMillis)
    val delta = documentDelta(base.id, base.document, config.document)
    return recorded.send(from, PeerMessage.ConfigPush(config.id, ConfigBody.Delta(delta), TreeScope.SELF))
}

private fun ControlState.sendFullDocument(peer: NodeId, config: AppliedConfig, nowMillis: Long): Transition {
    val limiter = dissemination.replyLimiter.tryTake(nowMillis) ?: return withoutEffects()
    val full = PeerMessage.ConfigPush(config.id, ConfigBody.Full(config.document), TreeScope.SELF)
    return updateDissemination { copy(replyLimiter = limiter) }.send(peer, full)
}

internal fun ControlState.tickDissemination(context: EventContext): Transition =
    retryDuePushes(context.nowMillis)
        .andThen { it.pullIfDue(context.nowMillis) }
        .andThen { it.tickHeadRead(context) }

private fun ControlState.tickHeadRead(context: EventContext): Transition {
    val nowMillis = context.nowMillis
    val isPolling = applied?.configuration?.dissemination?.profile == DisseminationProfile.POLL
    val nextMillis = dissemination.headReadAtMillis
    return when {
        identity.origin is ConfigOrigin.StoreRow -> withoutEffects()
        !isPolling && !needsHeadRead(nowMillis) -> scheduleHeadRead(null).withoutEffects()
        nextMillis == null ->
            scheduleHeadRead(nowMillis + context.jitterMillis("head-read", HEAD_READ_INTERVAL_MILLIS)).withoutEffects()
        nowMillis < nextMillis -> withoutEffects()
        isPolling -> scheduleHeadRead(nowMillis + POLL_INTERVAL_MILLIS).readHead()
        else -> {
            val waitMillis = HEAD_READ_INTERVAL_MILLIS + context.jitterMillis("head-read", HEAD_READ_INTERVAL_MILLIS)
            val factor = if (needsHeadReadSoon(nowMillis)) 1 else INITIAL_CONFIG_INTERVAL_FACTOR
            scheduleHeadRead(nowMillis + waitMillis * factor).readHead()
        }
    }
}

/** True if this node is a relay that gets no reply from another region; the publisher may be in that region. */
internal val ControlState.isPartitionedRelay: Boolean
    get() = membership.localRecord?.unreachableRegions.orEmpty().isNotEmpty()

private fun ControlState.needsHeadRead(nowMillis: Long): Boolean {
    val lacksConfig = applied == null && nowMillis - dissemination.startedMillis >= INITIAL_CONFIG_TIMEOUT_MILLIS
    return lacksConfig || needsHeadReadSoon(nowMillis)
}

private fun ControlState.needsHeadReadSoon(nowMillis: Long): Boolean {
    val lastContactMillis = membership.lastContactMillis ?: dissemination.startedMillis
    return nowMillis - lastContactMillis >= ISOLATION_TIMEOUT_MILLIS || isPartitionedRelay
}

private fun ControlState.scheduleHeadRead(atMillis: Long?): ControlState =
    if (dissemination.headReadAtMillis == atMillis) this else updateDissemination { copy(headReadAtMillis = atMillis) }
