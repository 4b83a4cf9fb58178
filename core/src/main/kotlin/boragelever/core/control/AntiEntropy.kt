package boragelever.core.control

import boragelever.core.NodeId
import boragelever.core.Stamp
import boragelever.core.config.ConfigId
import boragelever.core.config.DisseminationProfile
import boragelever.core.config.documentDelta

/** Time that a push gets to bring a version that a peer already holds; a pull at once would send it twice. */
internal const val PULL_DELAY_MILLIS: Long = 400

/** Wait before a pull that was not answered is repeated. */
private const val PULL_RETRY_INTERVAL_MILLIS = 500L

/** Time without contact to peers after which a node reads the store's head itself. */
internal const val ISOLATION_TIMEOUT_MILLIS: Long = 5_000

/** Time after the start in which peers can bring a configuration; then the store is the second source. */
private const val INITIAL_CONFIG_TIMEOUT_MILLIS = 2_000L

/** Bound of the random wait before a read of the head, and the shortest time between two of them. */
private const val HEAD_READ_INTERVAL_MILLIS = 2_500L

/** Lengthens the wait of a node that has peers but no configuration: the first one published is pushed to it. */
private const val INITIAL_CONFIG_INTERVAL_FACTOR = 4

/** Interval of reads in the polling profile. */
private const val POLL_INTERVAL_MILLIS = 1_000L

/** Notes what [peer] holds; if that is newer, it is pulled unless a push brings it first. */
internal fun ControlState.recordPeerConfig(peer: NodeId, config: ConfigId?, nowMillis: Long): Transition {
    val noted = updateDissemination { copy(peerConfigs = if (config == null) peerConfigs.remove(peer) else peerConfigs.put(peer, config)) }
    if (config == null || !wantsConfig(config)) return noted.unchanged()
    if (!isPushing) return noted.unchanged()
    val known = dissemination.pendingPull
    val isSame = known != null && known.id.version >= config.version
    val waitMillis = if (applied == null) 0 else PULL_DELAY_MILLIS
    val next = if (known != null && isSame) known.copy(peer = peer) else PendingPull(peer, config, nowMillis + waitMillis)
    return noted.updateDissemination { copy(pendingPull = next) }.pullIfDue(nowMillis)
}

private fun ControlState.pullIfDue(nowMillis: Long): Transition {
    val behind = dissemination.pendingPull ?: return unchanged()
    if (!wantsConfig(behind.id)) return updateDissemination { copy(pendingPull = null) }.unchanged()
    if (nowMillis < behind.pullAtMillis) return unchanged()
    return updateDissemination { copy(pendingPull = behind.copy(pullAtMillis = nowMillis + PULL_RETRY_INTERVAL_MILLIS)) }
        .sendPull(behind.peer, nowMillis)
}

/** Asks [peer] for what is newer than the applied configuration. */
internal fun ControlState.sendPull(peer: NodeId, nowMillis: Long): Transition =
    updateDissemination { copy(lastPullMillis = nowMillis) }.send(peer, PeerMessage.ConfigPull(applied?.id))

/** A node without configuration asks the peers that it reaches, one at a time. */
internal fun ControlState.pullInitialConfig(peer: NodeId, nowMillis: Long): Transition {
    val lastMillis = dissemination.lastPullMillis
    val mayPull = lastMillis == null || nowMillis - lastMillis >= PULL_RETRY_INTERVAL_MILLIS
    return if (applied == null && pendingConfig == null && mayPull) sendPull(peer, nowMillis) else unchanged()
}

/** Sends [from] what it lacks. Whole documents are bounded per second; the peer asks again. */
internal fun ControlState.handleConfigPull(
    from: NodeId,
    pull: PeerMessage.ConfigPull,
    nowMillis: Long,
): Transition {
    val noted = updateDissemination { copy(peerConfigs = pull.applied?.let { peerConfigs.put(from, it) } ?: peerConfigs.remove(from)) }
    val config = applied ?: return noted.unchanged()
    if (pull.applied.versionOrNone() >= config.id.version) return noted.unchanged()
    val base = dissemination.history.find { it.id == pull.applied }
    if (base == null) return noted.sendFullDocument(from, config, nowMillis)
    val delta = documentDelta(base.id, base.document, config.document)
    return noted.send(from, PeerMessage.ConfigPush(config.id, ConfigBody.Delta(delta), TreeScope.SELF))
}

private fun ControlState.sendFullDocument(peer: NodeId, config: AppliedConfig, nowMillis: Long): Transition {
    val bucket = dissemination.replyLimiter.tryTake(nowMillis) ?: return unchanged()
    val full = PeerMessage.ConfigPush(config.id, ConfigBody.Full(config.document), TreeScope.SELF)
    return updateDissemination { copy(replyLimiter = bucket) }.send(peer, full)
}

internal fun ControlState.tickDissemination(stamp: Stamp): Transition =
    retryDuePushes(stamp.nowMillis)
        .andThen { it.pullIfDue(stamp.nowMillis) }
        .andThen { it.tickHeadRead(stamp) }

private fun ControlState.tickHeadRead(stamp: Stamp): Transition {
    val nowMillis = stamp.nowMillis
    val isPolling = applied?.configuration?.dissemination?.profile == DisseminationProfile.POLL
    val nextMillis = dissemination.nextHeadReadAtMillis
    return when {
        identity.origin is ConfigOrigin.StoreRow -> unchanged()
        !isPolling && !needsHeadRead(nowMillis) -> scheduleHeadRead(null).unchanged()
        nextMillis == null -> scheduleHeadRead(
            nowMillis + stamp.jitterMillis("head-read", HEAD_READ_INTERVAL_MILLIS),
        ).unchanged()
        nowMillis < nextMillis -> unchanged()
        isPolling -> scheduleHeadRead(nowMillis + POLL_INTERVAL_MILLIS).readHead()
        else -> {
            val waitMillis = HEAD_READ_INTERVAL_MILLIS + stamp.jitterMillis("head-read", HEAD_READ_INTERVAL_MILLIS)
            val factor = if (needsHeadReadSoon(nowMillis)) 1 else INITIAL_CONFIG_INTERVAL_FACTOR
            scheduleHeadRead(nowMillis + waitMillis * factor).readHead()
        }
    }
}

/** True if this node is a relay that gets no answer from another region, where the publisher may be. */
internal val ControlState.isPartitionedRelay: Boolean get() = members.localRecord?.unreachableRegions.orEmpty().isNotEmpty()

private fun ControlState.needsHeadRead(nowMillis: Long): Boolean {
    val isEmpty = applied == null && nowMillis - dissemination.startedMillis >= INITIAL_CONFIG_TIMEOUT_MILLIS
    return isEmpty || needsHeadReadSoon(nowMillis)
}

private fun ControlState.needsHeadReadSoon(nowMillis: Long): Boolean {
    val contactMillis = members.lastContactMillis ?: dissemination.startedMillis
    return nowMillis - contactMillis >= ISOLATION_TIMEOUT_MILLIS || isPartitionedRelay
}

private fun ControlState.scheduleHeadRead(nextMillis: Long?): ControlState =
    if (dissemination.nextHeadReadAtMillis == nextMillis) this else updateDissemination { copy(nextHeadReadAtMillis = nextMillis) }
