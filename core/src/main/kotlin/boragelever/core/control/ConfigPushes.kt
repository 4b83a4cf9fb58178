package boragelever.core.control

import boragelever.core.NodeId
import boragelever.core.config.ConfigDocument
import boragelever.core.config.ConfigId
import boragelever.core.config.DisseminationProfile
import boragelever.core.config.applyDelta
import boragelever.core.config.documentDelta

/** Pushes the applied configuration to the nodes below this one in [part], once for each version. */
internal fun ControlState.forward(part: TreePart, nowMillis: Long): Transition {
    if (applied == null || !isPushing || part in dissemination.forwarded) return withoutEffects()
    return updateSpread { copy(forwarded = forwarded.add(part)) }
        .let { it.foldTransitions(it.hops(part)) { state, hop -> state.push(hop, 0, nowMillis) } }
}

/** Pushes to one peer, or queues the part if an earlier push to it is not yet acknowledged. */
private fun ControlState.push(hop: Hop, handOvers: Int, nowMillis: Long): Transition {
    val config = applied ?: return withoutEffects()
    val isHeld = dissemination.held[hop.peer].versionOrNone() >= config.id.version
    if (isHeld && hop.part.scope == TreeScope.SELF) return withoutEffects()
    val open = dissemination.pushes[hop.peer]
    if (open != null) {
        val queued = if (hop.part in open.queued) open.queued else open.queued.add(hop.part)
        return updateSpread { copy(pushes = pushes.put(hop.peer, open.copy(queued = queued))) }.withoutEffects()
    }
    val push = Push(config.id, hop.part, nowMillis, handOvers = handOvers)
    return updateSpread { copy(pushes = pushes.put(hop.peer, push)) }.sendPush(hop)
}

private fun ControlState.sendPush(hop: Hop): Transition {
    val config = applied ?: return withoutEffects()
    return send(hop.peer, PeerMessage.ConfigPush(config.id, bodyFor(hop.peer), hop.part.scope, hop.part.range))
}

/**
 * Returns the applied configuration in the form that costs [peer] least.
 *
 * In the profile that saves bytes, a peer of unknown state is assumed to hold the previous version; it pulls if not.
 */
private fun ControlState.bodyFor(peer: NodeId): ConfigBody {
    val config = checkNotNull(applied) { "a push needs an applied configuration" }
    val known = dissemination.held[peer]
    val savesBytes = config.configuration.dissemination.profile == DisseminationProfile.BYTES
    val base = when {
        known != null -> dissemination.history.find { it.id == known }
        savesBytes -> dissemination.history.getOrNull(1)
        else -> null
    }
    if (base == null) return ConfigBody.Full(config.document)
    return ConfigBody.Delta(documentDelta(base.id, base.document, config.document))
}

/** Returns the document that [body] stands for, or `null` if it is a change against another base. */
internal fun ControlState.resolve(body: ConfigBody): ConfigDocument? =
    when (body) {
        is ConfigBody.Full -> body.document
        is ConfigBody.Delta -> applied?.takeIf { it.id == body.delta.base }?.document?.applyDelta(body.delta)
    }

/** Ends the push that the acknowledgement of [held] covers and sends the next one that is queued. */
internal fun ControlState.pushAcknowledged(peer: NodeId, held: ConfigId?, nowMillis: Long): Transition {
    val push = dissemination.pushes[peer] ?: return withoutEffects()
    if (held.versionOrNone() < push.id.version) return withoutEffects()
    return endPush(peer).pushAll(peer, push.queued, nowMillis)
}

private fun ControlState.endPush(peer: NodeId): ControlState = updateSpread { copy(pushes = pushes.remove(peer)) }

private fun ControlState.pushAll(peer: NodeId, parts: List<TreePart>, nowMillis: Long): Transition =
    foldTransitions(parts) { state, part -> state.push(Hop(peer, part), 0, nowMillis) }

/** Repeats pushes that were not acknowledged in time. */
internal fun ControlState.tickPushes(nowMillis: Long): Transition {
    val due = dissemination.pushes.filterValues { nowMillis - it.sentMillis >= RETRANSMIT_MILLIS }
    return foldTransitions(due.entries) { state, (peer, push) ->
        if (push.attempts >= MAX_ATTEMPTS) {
            state.endPush(peer).handOver(peer, push, nowMillis)
        } else {
            state.repeatPush(peer, push, nowMillis)
        }
    }
}

/** Repeats a push with the newest configuration. */
private fun ControlState.repeatPush(peer: NodeId, push: Push, nowMillis: Long): Transition {
    val config = applied ?: return withoutEffects()
    val repeated = push.copy(id = config.id, sentMillis = nowMillis, attempts = push.attempts + 1)
    return updateSpread { copy(pushes = pushes.put(peer, repeated)) }.sendPush(Hop(peer, push.part))
}

private fun ControlState.handOver(peer: NodeId, push: Push, nowMillis: Long): Transition {
    if (push.handOvers >= MAX_FAILOVERS) return withoutEffects()
    return foldTransitions((push.queued + push.part).distinct()) { state, part ->
        val next = state.nextHop(Hop(peer, part))
        if (next == null) state.withoutEffects() else state.push(next, push.handOvers + 1, nowMillis)
    }
}

/** Hands over the subtrees below a peer that cannot be reached. The peer itself is still pushed to. */
internal fun ControlState.handOverPush(peer: NodeId, nowMillis: Long): Transition {
    val push = dissemination.pushes[peer] ?: return withoutEffects()
    val narrowed = push.copy(part = TreePart(TreeScope.SELF), queued = push.queued.clear())
    return updateSpread { copy(pushes = pushes.put(peer, narrowed)) }.handOver(peer, push, nowMillis)
}
