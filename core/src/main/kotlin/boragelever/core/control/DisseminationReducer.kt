package boragelever.core.control

import boragelever.core.ConfigVersion
import boragelever.core.Digest
import boragelever.core.NodeId
import boragelever.core.config.ConfigDocument
import boragelever.core.config.ConfigId
import boragelever.core.config.DisseminationProfile
import boragelever.core.store.StoreResult
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf

/** State of the dissemination of configurations between nodes. */
public data class DisseminationState(
    /** The applied configuration whose dissemination this node has started. */
    public val disseminated: ConfigId? = null,
    /** The most recently applied documents, newest first; they are the bases of deltas. */
    public val history: List<AppliedDocument> = emptyList(),
    /** The configuration that each peer is known to have applied. */
    public val peerConfigs: PersistentMap<NodeId, ConfigId> = persistentMapOf(),
    /** The unacknowledged push to each peer. */
    public val pendingPushes: PersistentMap<NodeId, Push> = persistentMapOf(),
    /** Subtrees to which [disseminated] was already forwarded. */
    public val forwardedSubtrees: PersistentSet<Subtree> = persistentSetOf(),
    /** Subtrees to forward each version to once it is applied; empty for a version that was sent to this node alone. */
    public val pendingSubtrees: PersistentMap<ConfigVersion, PersistentSet<Subtree>> = persistentMapOf(),
    /** Peers whose pushes are acknowledged when the compilation of the document ends. */
    public val peersAwaitingAck: PersistentSet<NodeId> = persistentSetOf(),
    /** The pull that is due next, or `null` if no peer is known to have a newer configuration. */
    public val pendingPull: PendingPull? = null,
    /** Digest of the last document that was read from the store. */
    public val storeReadDigest: Digest? = null,
    public val startedMillis: Long = 0,
    /** Time of the next read of the head row, or `null` if none is scheduled. */
    public val headReadAtMillis: Long? = null,
    /** Time of the last pull, or `null` before the first. */
    public val lastPullMillis: Long? = null,
    /** Limits the full documents that are sent as replies to pulls. */
    public val replyLimiter: TokenBucket = TokenBucket(),
)

/** An applied document and its version. */
public data class AppliedDocument(public val id: ConfigId, public val document: ConfigDocument)

/** A push that is not yet acknowledged. */
public data class Push(
    public val id: ConfigId,
    public val subtree: Subtree,
    public val sentMillis: Long,
    public val attempts: Int = 1,
    public val failovers: Int = 0,
    /** Subtrees to push to the same peer next. */
    public val queued: PersistentList<Subtree> = persistentListOf(),
)

/** A newer configuration that [peer] has applied; it is pulled unless a push delivers it before [pullAtMillis]. */
public data class PendingPull(public val peer: NodeId, public val id: ConfigId, public val pullAtMillis: Long)

internal fun reduceDissemination(state: ControlState, event: Event): Transition {
    val nowMillis = event.context.nowMillis
    val handled = when (event) {
        is Event.Started -> state.updateDissemination { copy(startedMillis = nowMillis) }.withoutEffects()
        is Event.Ticked -> state.tickDissemination(event.context)
        is Event.PeerConnected -> state.pullInitialConfig(event.record.node, nowMillis)
        is Event.PeerMessageReceived -> state.handleConfigMessage(event.from, event.message, nowMillis)
        is Event.PeerUnreachable -> state.failOverPush(event.peer, nowMillis)
        is Event.StoreCommandCompleted -> state.recordDocumentRead(event).withoutEffects()
        is Event.DocumentCompiled -> state.handleCompileOutcome(event)
        else -> state.withoutEffects()
    }
    return handled.andThen { it.startDissemination(nowMillis) }
}

internal inline fun ControlState.updateDissemination(
    change: DisseminationState.() -> DisseminationState,
): ControlState = copy(dissemination = dissemination.change())

/** True if nodes push configurations to each other; in the polling profile each node reads the store instead. */
internal val ControlState.isPushing: Boolean
    get() = applied?.configuration?.dissemination?.profile != DisseminationProfile.POLL

private fun ControlState.handleConfigMessage(from: NodeId, message: PeerMessage, nowMillis: Long): Transition =
    when (message) {
        is PeerMessage.Heartbeat -> recordPeerConfig(from, message.config, nowMillis)
        is PeerMessage.HeartbeatAck -> recordPeerConfig(from, message.config, nowMillis)
        is PeerMessage.ConfigPush -> handleConfigPush(from, message, nowMillis)
        is PeerMessage.ConfigAck ->
            recordPeerConfig(from, message.applied, nowMillis)
                .andThen { it.handlePushAck(from, message.applied, nowMillis) }
        is PeerMessage.ConfigPull -> handleConfigPull(from, message, nowMillis)
        else -> withoutEffects()
    }

private fun ControlState.handleConfigPush(from: NodeId, push: PeerMessage.ConfigPush, nowMillis: Long): Transition {
    val recorded = updateDissemination { copy(peerConfigs = peerConfigs.put(from, push.id)) }
    val subtree = Subtree(push.scope, push.range)
    if (push.id.version <= applied?.id.versionOrNone()) {
        return recorded
            .send(from, PeerMessage.ConfigAck(applied?.id))
            .andThenIf(push.scope != TreeScope.SELF) { it.forwardConfig(subtree, nowMillis) }
    }
    val pending = recorded.recordPendingPush(from, push.id, subtree)
    val document = pending.resolveDocument(push.body)
    return when {
        document != null -> pending.offerConfig(push.id, document)
        push.id.version > knownVersion() -> pending.sendPull(from, nowMillis)
        else -> pending.withoutEffects()
    }
}

/**
 * Records the subtrees to forward [id] to once it is applied, and that [from] awaits an acknowledgement.
 *
 * A push from another region to this node alone is forwarded to the whole region, which may lack the version.
 */
private fun ControlState.recordPendingPush(from: NodeId, id: ConfigId, subtree: Subtree): ControlState {
    val isRemote = membership.table[from]?.record?.region != identity.region
    val subtrees = when {
        subtree.scope != TreeScope.SELF -> listOf(subtree)
        isRemote -> listOf(Subtree(TreeScope.REGION))
        else -> emptyList()
    }
    return updateDissemination {
        val known = pendingSubtrees[id.version] ?: persistentSetOf()
        copy(
            pendingSubtrees = pendingSubtrees.put(id.version, known.addAll(subtrees)),
            peersAwaitingAck = peersAwaitingAck.add(from),
        )
    }
}

private fun ControlState.recordDocumentRead(event: Event.StoreCommandCompleted): ControlState {
    val read = event.result as? StoreResult.DocumentRead ?: return this
    if (event.request.owner != RequestOwner.CONFIG) return this
    return updateDissemination { copy(storeReadDigest = read.document.digest()) }
}

private fun ControlState.handleCompileOutcome(event: Event.DocumentCompiled): Transition {
    if (event.outcome !is CompileOutcome.Refused) return withoutEffects()
    val peers = dissemination.peersAwaitingAck
    return updateDissemination {
        copy(peersAwaitingAck = persistentSetOf(), pendingSubtrees = pendingSubtrees.remove(event.version))
    }
        .foldTransitions(peers) { state, peer -> state.send(peer, PeerMessage.ConfigAck(applied?.id)) }
}

/**
 * Forwards a newly applied configuration to the subtrees that this node is responsible for.
 *
 * A node that received the configuration neither from a peer nor from the store has published it and starts the
 * broadcast. The lease holder also broadcasts a configuration that it read from the store, since the previous holder
 * may have failed before it pushed. A relay that is partitioned from other regions forwards what it read to its region.
 */
private fun ControlState.startDissemination(nowMillis: Long): Transition {
    val config = applied ?: return withoutEffects()
    val previous = dissemination
    if (config.id == previous.disseminated) return withoutEffects()
    val subtrees = when {
        !isPushing -> emptySet()
        config.id == source.lastOffered -> sourceSubtrees()
        config.id.version in previous.pendingSubtrees ->
            previous.pendingSubtrees.filterKeys { it <= config.id.version }.values.flatten().toSet()
        config.id.digest != previous.storeReadDigest || lease is LeaseState.Held -> setOf(Subtree(TreeScope.ALL))
        isPartitionedRelay -> setOf(Subtree(TreeScope.REGION))
        else -> emptySet()
    }
    val completed = previous.pendingSubtrees.keys.filter { it <= config.id.version }
    val history = (listOf(AppliedDocument(config.id, config.document)) + previous.history).take(MAX_HISTORY)
    return updateDissemination {
        copy(
            disseminated = config.id,
            history = history,
            forwardedSubtrees = persistentSetOf(),
            pendingSubtrees = completed.fold(pendingSubtrees) { rest, version -> rest.remove(version) },
            peersAwaitingAck = persistentSetOf(),
            pendingPull = pendingPull?.takeIf { it.id.version > config.id.version },
        )
    }.foldTransitions(previous.peersAwaitingAck) { state, peer -> state.send(peer, PeerMessage.ConfigAck(config.id)) }
        .andThen { state ->
            state.foldTransitions(subtrees) { current, subtree -> current.forwardConfig(subtree, nowMillis) }
        }
}

/** Number of documents kept as bases of deltas; a peer with an older version is sent the full document. */
private const val MAX_HISTORY = 4
