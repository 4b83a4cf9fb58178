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
    public val current: ConfigId? = null,
    /** The last applied documents, newest first: bases of deltas. */
    public val history: List<HeldDocument> = emptyList(),
    /** What peers are known to hold. */
    public val held: PersistentMap<NodeId, ConfigId> = persistentMapOf(),
    /** The push to each peer that is not yet acknowledged. */
    public val pushes: PersistentMap<NodeId, Push> = persistentMapOf(),
    /** Parts of the tree to which [current] was already forwarded. */
    public val forwarded: PersistentSet<TreePart> = persistentSetOf(),
    /** Parts to forward each version to once it is applied. A version without parts came for this node alone. */
    public val waiting: PersistentMap<ConfigVersion, PersistentSet<TreePart>> = persistentMapOf(),
    /** Peers that wait for an acknowledgement of what is being compiled. */
    public val senders: PersistentSet<NodeId> = persistentSetOf(),
    public val behind: Behind? = null,
    /** Digest of the document that was last read from the store. */
    public val readDigest: Digest? = null,
    public val startedMillis: Long = 0,
    public val nextHeadReadMillis: Long? = null,
    public val lastPullMillis: Long? = null,
    public val serving: TokenBucket = TokenBucket(),
)

/** A document and its identity. */
public data class HeldDocument(public val id: ConfigId, public val document: ConfigDocument)

/** A push that waits for its acknowledgement, and the parts of the tree that the peer is to be sent next. */
public data class Push(
    public val id: ConfigId,
    public val part: TreePart,
    public val sentMillis: Long,
    public val attempts: Int = 1,
    public val handOvers: Int = 0,
    public val queued: PersistentList<TreePart> = persistentListOf(),
)

/** A newer configuration that [peer] holds; it is pulled unless a push brings it before [pullMillis]. */
public data class Behind(public val peer: NodeId, public val id: ConfigId, public val pullMillis: Long)

internal fun reduceDissemination(state: ControlState, event: Event): Transition {
    val nowMillis = event.stamp.nowMillis
    val handled = when (event) {
        is Event.Started -> state.updateSpread { copy(startedMillis = nowMillis) }.withoutEffects()
        is Event.Ticked -> state.tickDissemination(event.stamp)
        is Event.PeerConnected -> state.pullFirst(event.record.node, nowMillis)
        is Event.PeerMessageReceived -> state.configMessage(event.from, event.message, nowMillis)
        is Event.PeerUnreachable -> state.handOverPush(event.peer, nowMillis)
        is Event.StoreCommandCompleted -> state.noteRead(event).withoutEffects()
        is Event.DocumentCompiled -> state.noteRefusal(event)
        else -> state.withoutEffects()
    }
    return handled.andThen { it.startSpreading(nowMillis) }
}

internal inline fun ControlState.updateSpread(change: DisseminationState.() -> DisseminationState): ControlState =
    copy(dissemination = dissemination.change())

/** True if nodes hand configurations to each other; in the polling profile each node reads the store instead. */
internal val ControlState.isPushing: Boolean
    get() = applied?.configuration?.dissemination?.profile != DisseminationProfile.POLL

private fun ControlState.configMessage(from: NodeId, message: PeerMessage, nowMillis: Long): Transition =
    when (message) {
        is PeerMessage.Heartbeat -> noteHeld(from, message.config, nowMillis)
        is PeerMessage.HeartbeatAck -> noteHeld(from, message.config, nowMillis)
        is PeerMessage.ConfigPush -> receivePush(from, message, nowMillis)
        is PeerMessage.ConfigAck ->
            noteHeld(from, message.held, nowMillis).andThen { it.pushAcknowledged(from, message.held, nowMillis) }
        is PeerMessage.ConfigPull -> answerConfigPull(from, message, nowMillis)
        else -> withoutEffects()
    }

private fun ControlState.receivePush(from: NodeId, push: PeerMessage.ConfigPush, nowMillis: Long): Transition {
    val noted = updateSpread { copy(held = held.put(from, push.id)) }
    val part = TreePart(push.scope, push.range)
    if (push.id.version <= applied?.id.versionOrNone()) {
        return noted
            .send(from, PeerMessage.ConfigAck(applied?.id))
            .andThenIf(push.scope != TreeScope.SELF) { it.forward(part, nowMillis) }
    }
    val waiting = noted.awaiting(from, push.id, part)
    val document = waiting.resolve(push.body)
    return when {
        document != null -> waiting.offerConfig(push.id, document)
        push.id.version > knownVersion() -> waiting.pull(from, nowMillis)
        else -> waiting.withoutEffects()
    }
}

/** Notes what to do once [id] is applied. What comes from another region for this node alone is news for its region. */
private fun ControlState.awaiting(from: NodeId, id: ConfigId, part: TreePart): ControlState {
    val isRemote = membership.table[from]?.record?.region != identity.region
    val parts = when {
        part.scope != TreeScope.SELF -> listOf(part)
        isRemote -> listOf(TreePart(TreeScope.REGION))
        else -> emptyList()
    }
    return updateSpread {
        val known = waiting[id.version] ?: persistentSetOf()
        copy(waiting = waiting.put(id.version, known.addAll(parts)), senders = senders.add(from))
    }
}

private fun ControlState.noteRead(event: Event.StoreCommandCompleted): ControlState {
    val read = event.result as? StoreAnswer.DocumentRead ?: return this
    if (event.request.owner != RequestOwner.CONFIG) return this
    return updateSpread { copy(readDigest = read.document.digest()) }
}

private fun ControlState.noteRefusal(event: Event.DocumentCompiled): Transition {
    if (event.outcome !is CompileOutcome.Refused) return withoutEffects()
    val senders = dissemination.senders
    return updateSpread {
        copy(senders = persistentSetOf(), waiting = waiting.remove(event.version))
    }
        .foldTransitions(senders) { state, peer -> state.send(peer, PeerMessage.ConfigAck(applied?.id)) }
}

/**
 * Forwards a newly applied configuration to the parts of the tree that this node is responsible for.
 *
 * A node that got it neither from a peer nor by its own read of the store has published it and starts the broadcast. So
 * does the holder of the lease with what it read, since the holder before it may have died before it pushed. A relay
 * that is cut off from other regions serves its region with what it read.
 */
private fun ControlState.startSpreading(nowMillis: Long): Transition {
    val config = applied ?: return withoutEffects()
    val spread = dissemination
    if (config.id == spread.current) return withoutEffects()
    val parts = when {
        !isPushing -> emptySet()
        config.id == source.lastOffered -> sourceSubtrees()
        config.id.version in spread.waiting -> spread.waiting.filterKeys {
            it <= config.id.version
        }.values.flatten().toSet()
        config.id.digest != spread.readDigest || lease is LeaseState.Held -> setOf(TreePart(TreeScope.ALL))
        isCutOffRelay -> setOf(TreePart(TreeScope.REGION))
        else -> emptySet()
    }
    val done = spread.waiting.keys.filter { it <= config.id.version }
    val history = (listOf(HeldDocument(config.id, config.document)) + spread.history).take(MAX_HISTORY)
    return updateSpread {
        copy(
            current = config.id,
            history = history,
            forwarded = persistentSetOf(),
            waiting = done.fold(waiting) { rest, version -> rest.remove(version) },
            senders = persistentSetOf(),
            behind = behind?.takeIf { it.id.version > config.id.version },
        )
    }.foldTransitions(spread.senders) { state, peer -> state.send(peer, PeerMessage.ConfigAck(config.id)) }
        .andThen { state -> state.foldTransitions(parts) { current, part -> current.forward(part, nowMillis) } }
}

/** Documents kept as bases of deltas; a peer that is further behind is sent the whole document. */
private const val MAX_HISTORY = 4
