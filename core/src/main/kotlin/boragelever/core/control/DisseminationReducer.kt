package boragelever.core.control

import boragelever.core.ConfigVersion
import boragelever.core.Digest
import boragelever.core.NodeId
import boragelever.core.config.ConfigDocument
import boragelever.core.config.ConfigId
import boragelever.core.config.DisseminationProfile
import boragelever.core.store.StoreAnswer
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf

/** State of the dissemination concern. */
public data class DisseminationState(
    /** Configuration whose dissemination has started on this node. */
    public val disseminated: ConfigId? = null,
    /** The last applied documents, newest first: bases of deltas. */
    public val history: List<AppliedDocument> = emptyList(),
    /** What peers are known to hold. */
    public val peerConfigs: PersistentMap<NodeId, ConfigId> = persistentMapOf(),
    /** The push to each peer that is not yet acknowledged. */
    public val pendingPushes: PersistentMap<NodeId, Push> = persistentMapOf(),
    /** Parts of the tree to which [current] was already forwarded. */
    public val forwardedSubtrees: PersistentSet<Subtree> = persistentSetOf(),
    /** Parts to forward each version to once it is applied. A version without parts came for this node alone. */
    public val pendingSubtrees: PersistentMap<ConfigVersion, PersistentSet<Subtree>> = persistentMapOf(),
    /** Peers that wait for an acknowledgement of what is being compiled. */
    public val peersAwaitingAck: PersistentSet<NodeId> = persistentSetOf(),
    public val pendingPull: PendingPull? = null,
    /** Digest of the document that was last read from the store. */
    public val storeReadDigest: Digest? = null,
    public val startedMillis: Long = 0,
    public val nextHeadReadAtMillis: Long? = null,
    public val lastPullMillis: Long? = null,
    public val replyLimiter: TokenBucket = TokenBucket(),
)

/** A document and its identity. */
public data class AppliedDocument(public val id: ConfigId, public val document: ConfigDocument)

/** A push that waits for its acknowledgement, and the parts of the tree that the peer is to be sent next. */
public data class Push(
    public val id: ConfigId,
    public val subtree: Subtree,
    public val sentMillis: Long,
    public val attempts: Int = 1,
    public val failovers: Int = 0,
    public val queuedSubtrees: PersistentList<Subtree> = persistentListOf(),
)

/** A newer configuration that [peer] holds; it is pulled unless a push brings it before [pullAtMillis]. */
public data class PendingPull(public val peer: NodeId, public val id: ConfigId, public val pullAtMillis: Long)

internal fun reduceDissemination(state: ControlState, event: Event): Transition {
    val nowMillis = event.stamp.nowMillis
    val handled = when (event) {
        is Event.Started -> state.updateDissemination { copy(startedMillis = nowMillis) }.unchanged()
        is Event.Ticked -> state.tickDissemination(event.stamp)
        is Event.PeerConnected -> state.pullInitialConfig(event.record.node, nowMillis)
        is Event.PeerMessageReceived -> state.handleConfigMessage(event.from, event.message, nowMillis)
        is Event.PeerUnreachable -> state.failOverPush(event.peer, nowMillis)
        is Event.StoreAnswered -> state.recordDocumentRead(event).unchanged()
        is Event.DocumentCompiled -> state.handleCompileOutcome(event)
        else -> state.unchanged()
    }
    return handled.andThen { it.startDissemination(nowMillis) }
}

internal inline fun ControlState.updateDissemination(change: DisseminationState.() -> DisseminationState): ControlState =
    copy(dissemination = dissemination.change())

/** True if nodes hand configurations to each other; in the polling profile each node reads the store instead. */
internal val ControlState.isPushing: Boolean
    get() = applied?.configuration?.dissemination?.profile != DisseminationProfile.POLL

private fun ControlState.handleConfigMessage(from: NodeId, message: PeerMessage, nowMillis: Long): Transition =
    when (message) {
        is PeerMessage.Heartbeat -> recordPeerConfig(from, message.config, nowMillis)
        is PeerMessage.HeartbeatAck -> recordPeerConfig(from, message.config, nowMillis)
        is PeerMessage.ConfigPush -> handleConfigPush(from, message, nowMillis)
        is PeerMessage.ConfigAck ->
            recordPeerConfig(from, message.applied, nowMillis).andThen { it.handlePushAck(from, message.applied, nowMillis) }
        is PeerMessage.ConfigPull -> handleConfigPull(from, message, nowMillis)
        else -> unchanged()
    }

private fun ControlState.handleConfigPush(from: NodeId, push: PeerMessage.ConfigPush, nowMillis: Long): Transition {
    val noted = updateDissemination { copy(peerConfigs = peerConfigs.put(from, push.id)) }
    val part = Subtree(push.scope, push.range)
    if (push.id.version <= applied?.id.versionOrNone()) {
        return noted
            .send(from, PeerMessage.ConfigAck(applied?.id))
            .andThenIf(push.scope != TreeScope.SELF) { it.forwardConfig(part, nowMillis) }
    }
    val waiting = noted.recordPendingPush(from, push.id, part)
    val document = waiting.resolveDocument(push.body)
    return when {
        document != null -> waiting.offerConfig(push.id, document)
        push.id.version > knownVersion() -> waiting.sendPull(from, nowMillis)
        else -> waiting.unchanged()
    }
}

/** Notes what to do once [id] is applied. What comes from another region for this node alone is news for its region. */
private fun ControlState.recordPendingPush(from: NodeId, id: ConfigId, part: Subtree): ControlState {
    val isRemote = members.table[from]?.record?.region != identity.region
    val parts = when {
        part.scope != TreeScope.SELF -> listOf(part)
        isRemote -> listOf(Subtree(TreeScope.REGION))
        else -> emptyList()
    }
    return updateDissemination {
        val known = pendingSubtrees[id.version] ?: persistentSetOf()
        copy(pendingSubtrees = pendingSubtrees.put(id.version, known.addAll(parts)), peersAwaitingAck = peersAwaitingAck.add(from))
    }
}

private fun ControlState.recordDocumentRead(event: Event.StoreAnswered): ControlState {
    val read = event.answer as? StoreAnswer.DocumentRead ?: return this
    if (event.request.owner != RequestOwner.CONFIG) return this
    return updateDissemination { copy(storeReadDigest = read.document.digest()) }
}

private fun ControlState.handleCompileOutcome(event: Event.DocumentCompiled): Transition {
    if (event.outcome !is CompileOutcome.Refused) return unchanged()
    val senders = dissemination.peersAwaitingAck
    return updateDissemination {
        copy(peersAwaitingAck = persistentSetOf(), pendingSubtrees = pendingSubtrees.remove(event.version))
    }
        .forEach(senders) { state, peer -> state.send(peer, PeerMessage.ConfigAck(applied?.id)) }
}

/**
 * Forwards a newly applied configuration to the parts of the tree that this node is responsible for.
 *
 * A node that got it neither from a peer nor by its own read of the store has published it and starts the broadcast. So
 * does the holder of the lease with what it read, since the holder before it may have died before it pushed. A relay
 * that is cut off from other regions serves its region with what it read.
 */
private fun ControlState.startDissemination(nowMillis: Long): Transition {
    val config = applied ?: return unchanged()
    val spread = dissemination
    if (config.id == spread.disseminated) return unchanged()
    val parts = when {
        !isPushing -> emptySet()
        config.id == source.offered -> sourceParts()
        config.id.version in spread.pendingSubtrees -> spread.pendingSubtrees.filterKeys {
            it <= config.id.version
        }.values.flatten().toSet()
        config.id.digest != spread.storeReadDigest || lease is LeaseState.Held -> setOf(Subtree(TreeScope.ALL))
        isPartitionedRelay -> setOf(Subtree(TreeScope.REGION))
        else -> emptySet()
    }
    val done = spread.pendingSubtrees.keys.filter { it <= config.id.version }
    val history = (listOf(AppliedDocument(config.id, config.document)) + spread.history).take(MAX_HISTORY)
    return updateDissemination {
        copy(
            disseminated = config.id,
            history = history,
            forwardedSubtrees = persistentSetOf(),
            pendingSubtrees = done.fold(pendingSubtrees) { rest, version -> rest.remove(version) },
            peersAwaitingAck = persistentSetOf(),
            pendingPull = pendingPull?.takeIf { it.id.version > config.id.version },
        )
    }.forEach(spread.peersAwaitingAck) { state, peer -> state.send(peer, PeerMessage.ConfigAck(config.id)) }
        .andThen { state -> state.forEach(parts) { current, part -> current.forwardConfig(part, nowMillis) } }
}

/** Documents kept as bases of deltas; a peer that is further behind is sent the whole document. */
private const val MAX_HISTORY = 4
