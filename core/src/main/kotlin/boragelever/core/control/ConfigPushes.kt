package boragelever.core.control

import boragelever.core.NodeId
import boragelever.core.config.ConfigDocument
import boragelever.core.config.ConfigId
import boragelever.core.config.DisseminationProfile
import boragelever.core.config.applyDelta
import boragelever.core.config.documentDelta

/** Pushes the applied configuration along the tree edges of [subtree], once for each version. */
internal fun ControlState.forwardConfig(subtree: Subtree, nowMillis: Long): Transition {
    if (applied == null || !isPushing || subtree in dissemination.forwardedSubtrees) return withoutEffects()
    return updateDissemination { copy(forwardedSubtrees = forwardedSubtrees.add(subtree)) }
        .let { it.foldTransitions(it.treeEdges(subtree)) { state, edge -> state.pushConfig(edge, 0, nowMillis) } }
}

/** Pushes to one peer, or queues the subtree if an earlier push to that peer is not yet acknowledged. */
private fun ControlState.pushConfig(edge: TreeEdge, failovers: Int, nowMillis: Long): Transition {
    val config = applied ?: return withoutEffects()
    val isUpToDate = dissemination.peerConfigs[edge.peer].versionOrNone() >= config.id.version
    if (isUpToDate && edge.subtree.scope == TreeScope.SELF) return withoutEffects()
    val pending = dissemination.pendingPushes[edge.peer]
    if (pending != null) {
        val queued = if (edge.subtree in pending.queued) pending.queued else pending.queued.add(edge.subtree)
        return updateDissemination {
            copy(pendingPushes = pendingPushes.put(edge.peer, pending.copy(queued = queued)))
        }.withoutEffects()
    }
    val push = Push(config.id, edge.subtree, nowMillis, failovers = failovers)
    return updateDissemination { copy(pendingPushes = pendingPushes.put(edge.peer, push)) }.sendPush(edge)
}

private fun ControlState.sendPush(edge: TreeEdge): Transition {
    val config = applied ?: return withoutEffects()
    return send(
        edge.peer,
        PeerMessage.ConfigPush(config.id, configBodyFor(edge.peer), edge.subtree.scope, edge.subtree.range),
    )
}

/**
 * Returns the applied configuration as a delta if the history has the version that [peer] has applied, or in full.
 *
 * In the profile that saves bytes, a peer whose version is unknown is assumed to have the previous one; if it does
 * not, it pulls.
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

/** Returns the document that [body] carries, or `null` if it is a delta against another version than the applied. */
internal fun ControlState.resolveDocument(body: ConfigBody): ConfigDocument? =
    when (body) {
        is ConfigBody.Full -> body.document
        is ConfigBody.Delta -> applied?.takeIf { it.id == body.delta.base }?.document?.applyDelta(body.delta)
    }

/** Completes the pending push to [peer] if [peerConfig] is at least its version, and pushes to the queued subtrees. */
internal fun ControlState.handlePushAck(peer: NodeId, peerConfig: ConfigId?, nowMillis: Long): Transition {
    val push = dissemination.pendingPushes[peer] ?: return withoutEffects()
    if (peerConfig.versionOrNone() < push.id.version) return withoutEffects()
    return completePush(peer).pushQueued(peer, push.queued, nowMillis)
}

private fun ControlState.completePush(peer: NodeId): ControlState =
    updateDissemination { copy(pendingPushes = pendingPushes.remove(peer)) }

private fun ControlState.pushQueued(peer: NodeId, subtrees: List<Subtree>, nowMillis: Long): Transition =
    foldTransitions(subtrees) { state, subtree -> state.pushConfig(TreeEdge(peer, subtree), 0, nowMillis) }

/** Retries pushes that were not acknowledged in time; after [MAX_ATTEMPTS] their subtrees fail over. */
internal fun ControlState.retryDuePushes(nowMillis: Long): Transition {
    val due = dissemination.pendingPushes.filterValues { nowMillis - it.sentMillis >= RETRANSMIT_MILLIS }
    return foldTransitions(due.entries) { state, (peer, push) ->
        if (push.attempts >= MAX_ATTEMPTS) {
            state.completePush(peer).failOver(peer, push, nowMillis)
        } else {
            state.retryPush(peer, push, nowMillis)
        }
    }
}

/** Retries a push with the applied configuration, which may be newer than that of the first attempt. */
private fun ControlState.retryPush(peer: NodeId, push: Push, nowMillis: Long): Transition {
    val config = applied ?: return withoutEffects()
    val retried = push.copy(id = config.id, sentMillis = nowMillis, attempts = push.attempts + 1)
    return updateDissemination { copy(pendingPushes = pendingPushes.put(peer, retried)) }
        .sendPush(TreeEdge(peer, push.subtree))
}

private fun ControlState.failOver(peer: NodeId, push: Push, nowMillis: Long): Transition {
    if (push.failovers >= MAX_FAILOVERS) return withoutEffects()
    return foldTransitions((push.queued + push.subtree).distinct()) { state, subtree ->
        val next = state.failoverEdge(TreeEdge(peer, subtree))
        if (next == null) state.withoutEffects() else state.pushConfig(next, push.failovers + 1, nowMillis)
    }
}

/** Fails over the subtrees below an unreachable peer. The push to the peer itself is still retried. */
internal fun ControlState.failOverPush(peer: NodeId, nowMillis: Long): Transition {
    val push = dissemination.pendingPushes[peer] ?: return withoutEffects()
    val narrowed = push.copy(subtree = Subtree(TreeScope.SELF), queued = push.queued.clear())
    return updateDissemination { copy(pendingPushes = pendingPushes.put(peer, narrowed)) }
        .failOver(peer, push, nowMillis)
}
