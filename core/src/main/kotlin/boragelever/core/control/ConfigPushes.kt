package boragelever.core.control

import boragelever.core.NodeId
import boragelever.core.config.ConfigDocument
import boragelever.core.config.ConfigId
import boragelever.core.config.DisseminationProfile
import boragelever.core.config.applyDelta
import boragelever.core.config.documentDelta

/** Pushes the applied configuration to the nodes below this one in [part], once for each version. */
internal fun ControlState.forwardConfig(part: Subtree, nowMillis: Long): Transition {
    if (applied == null || !isPushing || part in dissemination.forwardedSubtrees) return unchanged()
    return updateDissemination { copy(forwardedSubtrees = forwardedSubtrees.add(part)) }
        .let { it.forEach(it.treeEdges(part)) { state, hop -> state.pushConfig(hop, 0, nowMillis) } }
}

/** Pushes to one peer, or queues the part if an earlier push to it is not yet acknowledged. */
private fun ControlState.pushConfig(hop: TreeEdge, failovers: Int, nowMillis: Long): Transition {
    val config = applied ?: return unchanged()
    val isHeld = dissemination.peerConfigs[hop.peer].versionOrNone() >= config.id.version
    if (isHeld && hop.subtree.scope == TreeScope.SELF) return unchanged()
    val open = dissemination.pendingPushes[hop.peer]
    if (open != null) {
        val queued = if (hop.subtree in open.queuedSubtrees) open.queuedSubtrees else open.queuedSubtrees.add(hop.subtree)
        return updateDissemination { copy(pendingPushes = pendingPushes.put(hop.peer, open.copy(queuedSubtrees = queued))) }.unchanged()
    }
    val push = Push(config.id, hop.subtree, nowMillis, failovers = failovers)
    return updateDissemination { copy(pendingPushes = pendingPushes.put(hop.peer, push)) }.sendPush(hop)
}

private fun ControlState.sendPush(hop: TreeEdge): Transition {
    val config = applied ?: return unchanged()
    return send(hop.peer, PeerMessage.ConfigPush(config.id, configBodyFor(hop.peer), hop.subtree.scope, hop.subtree.range))
}

/**
 * Returns the applied configuration in the form that costs [peer] least.
 *
 * In the profile that saves bytes, a peer of unknown state is assumed to hold the previous version; it pulls if not.
 */
private fun ControlState.configBodyFor(peer: NodeId): ConfigBody {
    val config = checkNotNull(applied) { "a push needs an applied configuration" }
    val known = dissemination.peerConfigs[peer]
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
internal fun ControlState.resolveDocument(body: ConfigBody): ConfigDocument? =
    when (body) {
        is ConfigBody.Full -> body.document
        is ConfigBody.Delta -> applied?.takeIf { it.id == body.delta.base }?.document?.applyDelta(body.delta)
    }

/** Ends the push that the acknowledgement of [held] covers and sends the next one that is queued. */
internal fun ControlState.handlePushAck(peer: NodeId, held: ConfigId?, nowMillis: Long): Transition {
    val push = dissemination.pendingPushes[peer] ?: return unchanged()
    if (held.versionOrNone() < push.id.version) return unchanged()
    return completePush(peer).pushQueued(peer, push.queuedSubtrees, nowMillis)
}

private fun ControlState.completePush(peer: NodeId): ControlState = updateDissemination { copy(pendingPushes = pendingPushes.remove(peer)) }

private fun ControlState.pushQueued(peer: NodeId, parts: List<Subtree>, nowMillis: Long): Transition =
    forEach(parts) { state, part -> state.pushConfig(TreeEdge(peer, part), 0, nowMillis) }

/** Repeats pushes that were not acknowledged in time. */
internal fun ControlState.retryDuePushes(nowMillis: Long): Transition {
    val due = dissemination.pendingPushes.filterValues { nowMillis - it.sentMillis >= RETRANSMIT_MILLIS }
    return forEach(due.entries) { state, (peer, push) ->
        if (push.attempts >= MAX_ATTEMPTS) {
            state.completePush(peer).failOver(peer, push, nowMillis)
        } else {
            state.retryPush(peer, push, nowMillis)
        }
    }
}

/** Repeats a push with the newest configuration. */
private fun ControlState.retryPush(peer: NodeId, push: Push, nowMillis: Long): Transition {
    val config = applied ?: return unchanged()
    val repeated = push.copy(id = config.id, sentMillis = nowMillis, attempts = push.attempts + 1)
    return updateDissemination { copy(pendingPushes = pendingPushes.put(peer, repeated)) }.sendPush(TreeEdge(peer, push.subtree))
}

private fun ControlState.failOver(peer: NodeId, push: Push, nowMillis: Long): Transition {
    if (push.failovers >= MAX_FAILOVERS) return unchanged()
    return forEach((push.queuedSubtrees + push.subtree).distinct()) { state, part ->
        val next = state.failoverEdge(TreeEdge(peer, part))
        if (next == null) state.unchanged() else state.pushConfig(next, push.failovers + 1, nowMillis)
    }
}

/** Hands over the subtrees below a peer that cannot be reached. The peer itself is still pushed to. */
internal fun ControlState.failOverPush(peer: NodeId, nowMillis: Long): Transition {
    val push = dissemination.pendingPushes[peer] ?: return unchanged()
    val narrowed = push.copy(subtree = Subtree(TreeScope.SELF), queuedSubtrees = push.queuedSubtrees.clear())
    return updateDissemination { copy(pendingPushes = pendingPushes.put(peer, narrowed)) }.failOver(peer, push, nowMillis)
}
