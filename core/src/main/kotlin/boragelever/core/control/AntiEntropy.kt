package boragelever.core.control

import boragelever.core.NodeId
import boragelever.core.Stamp
import boragelever.core.config.ConfigId
import boragelever.core.config.DisseminationProfile
import boragelever.core.config.documentDelta

/** Time that a push gets to bring a version that a peer already holds; a pull at once would send it twice. */
internal const val PULL_AFTER_MILLIS: Long = 400

/** Wait before a pull that was not answered is repeated. */
private const val REPEAT_PULL_MILLIS = 500L

/** Time without contact to peers after which a node reads the store's head itself. */
internal const val ISOLATED_AFTER_MILLIS: Long = 5_000

/** Time after the start in which peers can bring a configuration; then the store is the second source. */
private const val EMPTY_AFTER_MILLIS = 2_000L

/** Bound of the random wait before a read of the head, and the shortest time between two of them. */
private const val HEAD_READ_MILLIS = 2_500L

/** Lengthens the wait of a node that has peers but no configuration: the first one published is pushed to it. */
private const val EMPTY_FACTOR = 4

/** Interval of reads in the polling profile. */
private const val POLL_MILLIS = 1_000L

/** Notes what [peer] holds; if that is newer, it is pulled unless a push brings it first. */
internal fun ControlState.noteHeld(peer: NodeId, config: ConfigId?, nowMillis: Long): Transition {
    val noted = updateSpread { copy(held = if (config == null) held.remove(peer) else held.put(peer, config)) }
    if (config == null || !isNewerConfig(config)) return noted.withoutEffects()
    if (!isPushing) return noted.withoutEffects()
    val known = dissemination.behind
    val isSame = known != null && known.id.version >= config.version
    val waitMillis = if (applied == null) 0 else PULL_AFTER_MILLIS
    val next = if (known != null && isSame) known.copy(peer = peer) else Behind(peer, config, nowMillis + waitMillis)
    return noted.updateSpread { copy(behind = next) }.pullIfDue(nowMillis)
}

private fun ControlState.pullIfDue(nowMillis: Long): Transition {
    val behind = dissemination.behind ?: return withoutEffects()
    if (!isNewerConfig(behind.id)) return updateSpread { copy(behind = null) }.withoutEffects()
    if (nowMillis < behind.pullMillis) return withoutEffects()
    return updateSpread { copy(behind = behind.copy(pullMillis = nowMillis + REPEAT_PULL_MILLIS)) }
        .pull(behind.peer, nowMillis)
}

/** Asks [peer] for what is newer than the applied configuration. */
internal fun ControlState.pull(peer: NodeId, nowMillis: Long): Transition =
    updateSpread { copy(lastPullMillis = nowMillis) }.send(peer, PeerMessage.ConfigPull(applied?.id))

/** A node without configuration asks the peers that it reaches, one at a time. */
internal fun ControlState.pullFirst(peer: NodeId, nowMillis: Long): Transition {
    val lastMillis = dissemination.lastPullMillis
    val mayPull = lastMillis == null || nowMillis - lastMillis >= REPEAT_PULL_MILLIS
    return if (applied == null && pendingConfig == null && mayPull) pull(peer, nowMillis) else withoutEffects()
}

/** Sends [from] what it lacks. Whole documents are bounded per second; the peer asks again. */
internal fun ControlState.answerConfigPull(
    from: NodeId,
    pull: PeerMessage.ConfigPull,
    nowMillis: Long,
): Transition {
    val noted = updateSpread { copy(held = pull.held?.let { held.put(from, it) } ?: held.remove(from)) }
    val config = applied ?: return noted.withoutEffects()
    if (pull.held.versionOrNone() >= config.id.version) return noted.withoutEffects()
    val base = dissemination.history.find { it.id == pull.held }
    if (base == null) return noted.sendWhole(from, config, nowMillis)
    val delta = documentDelta(base.id, base.document, config.document)
    return noted.send(from, PeerMessage.ConfigPush(config.id, ConfigBody.Delta(delta), TreeScope.SELF))
}

private fun ControlState.sendWhole(peer: NodeId, config: AppliedConfig, nowMillis: Long): Transition {
    val bucket = dissemination.serving.take(nowMillis) ?: return withoutEffects()
    val full = PeerMessage.ConfigPush(config.id, ConfigBody.Full(config.document), TreeScope.SELF)
    return updateSpread { copy(serving = bucket) }.send(peer, full)
}

internal fun ControlState.tickDissemination(stamp: Stamp): Transition =
    tickPushes(stamp.nowMillis)
        .andThen { it.pullIfDue(stamp.nowMillis) }
        .andThen { it.tickHeadRead(stamp) }

private fun ControlState.tickHeadRead(stamp: Stamp): Transition {
    val nowMillis = stamp.nowMillis
    val isPolling = applied?.configuration?.dissemination?.profile == DisseminationProfile.POLL
    val nextMillis = dissemination.nextHeadReadMillis
    return when {
        identity.origin is ConfigOrigin.StoreRow -> withoutEffects()
        !isPolling && !needsHead(nowMillis) -> scheduleHeadRead(null).withoutEffects()
        nextMillis == null -> scheduleHeadRead(
            nowMillis + stamp.jitterMillis("head-read", HEAD_READ_MILLIS),
        ).withoutEffects()
        nowMillis < nextMillis -> withoutEffects()
        isPolling -> scheduleHeadRead(nowMillis + POLL_MILLIS).readHead()
        else -> {
            val waitMillis = HEAD_READ_MILLIS + stamp.jitterMillis("head-read", HEAD_READ_MILLIS)
            val factor = if (needsHeadSoon(nowMillis)) 1 else EMPTY_FACTOR
            scheduleHeadRead(nowMillis + waitMillis * factor).readHead()
        }
    }
}

/** True if this node is a relay that gets no answer from another region, where the publisher may be. */
internal val ControlState.isCutOffRelay: Boolean get() = membership.own?.unreachableRegions.orEmpty().isNotEmpty()

private fun ControlState.needsHead(nowMillis: Long): Boolean {
    val isEmpty = applied == null && nowMillis - dissemination.startedMillis >= EMPTY_AFTER_MILLIS
    return isEmpty || needsHeadSoon(nowMillis)
}

private fun ControlState.needsHeadSoon(nowMillis: Long): Boolean {
    val contactMillis = membership.lastContactMillis ?: dissemination.startedMillis
    return nowMillis - contactMillis >= ISOLATED_AFTER_MILLIS || isCutOffRelay
}

private fun ControlState.scheduleHeadRead(nextMillis: Long?): ControlState =
    if (dissemination.nextHeadReadMillis == nextMillis) this else updateSpread { copy(nextHeadReadMillis = nextMillis) }
