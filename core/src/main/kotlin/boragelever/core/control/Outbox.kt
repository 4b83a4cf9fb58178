package boragelever.core.control

import boragelever.core.NodeId
import kotlinx.collections.immutable.persistentMapOf

/** Wait for an acknowledgement; above the longest round trip between regions and the time of one batch. */
internal const val RETRANSMIT_MILLIS: Long = 200

/** Times that a message is sent to the same peer. */
internal const val MAX_ATTEMPTS: Int = 4

/** Peers that are tried in turn for the same part of the tree; anti-entropy repairs what they all miss. */
internal const val MAX_FAILOVERS: Int = 3

/** Shortest time between two batches; changes in between are gathered. */
private const val BATCH_MILLIS = 50L

/** Numbers of an incarnation start above those of earlier ones, so that receivers can tell repeats from restarts. */
private const val NUMBER_BITS = 20

private const val WINDOW = 64

/** Queues [updates] for [part] of the tree. They are sent now, or with the next tick if a batch was just sent. */
internal fun ControlState.broadcast(
    updates: Collection<MemberStatusRecord>,
    part: Subtree,
    nowMillis: Long,
    urgent: Boolean = false,
): Transition {
    if (updates.isEmpty() || part.scope == TreeScope.SELF) return unchanged()
    val outbox = members.outbox
    val gathered = updates.associateBy { it.record.node }
    val pending = (outbox.pendingUpdates[part] ?: persistentMapOf()).putAll(gathered)
    val queued = updateMembers { copy(outbox = outbox.copy(pendingUpdates = outbox.pendingUpdates.put(part, pending))) }
    val isDue = outbox.lastFlushMillis == null || nowMillis - outbox.lastFlushMillis >= BATCH_MILLIS
    return if (urgent || isDue) queued.flush(nowMillis) else queued.unchanged()
}

private fun ControlState.flush(nowMillis: Long): Transition {
    val pending = members.outbox.pendingUpdates
    if (pending.isEmpty()) return unchanged()
    val emptied = members.outbox.copy(pendingUpdates = persistentMapOf(), lastFlushMillis = nowMillis)
    return updateMembers { copy(outbox = emptied) }.forEach(pending.entries) { state, (part, records) ->
        val message = PeerMessage.MemberUpdate(0, records.values.toList(), TreeScope.SELF)
        state.deliverTo(state.treeEdges(part), message, nowMillis)
    }
}

/** Sends [message] along each of [hops] and repeats it until it is acknowledged. */
internal fun ControlState.deliverTo(hops: List<TreeEdge>, message: PeerMessage, nowMillis: Long): Transition =
    forEach(hops) { state, hop -> state.deliver(hop, message, nowMillis) }

internal fun ControlState.deliver(
    hop: TreeEdge,
    message: PeerMessage,
    nowMillis: Long,
    failovers: Int = 0,
): Transition {
    val number = nextNumber()
    val addressed = message.addressed(number, hop.subtree)
    val delivery = Delivery(hop.peer, addressed, hop.subtree, nowMillis, failovers = failovers)
    val outbox = members.outbox
    val deliveries = outbox.deliveries.put(number, delivery)
    val next = updateMembers { copy(outbox = outbox.copy(lastNumber = number, deliveries = deliveries)) }
    return next.send(hop.peer, addressed)
}

/** Returns a number for a message that is not repeated, with the state that has it taken. */
internal fun ControlState.takeNumber(): Pair<ControlState, Long> {
    val number = nextNumber()
    return updateMembers { copy(outbox = outbox.copy(lastNumber = number)) } to number
}

private fun ControlState.nextNumber(): Long =
    maxOf(members.outbox.lastNumber, identity.incarnation.value shl NUMBER_BITS) + 1

private fun PeerMessage.addressed(number: Long, part: Subtree): PeerMessage =
    when (this) {
        is PeerMessage.MemberUpdate -> copy(number = number, scope = part.scope, range = part.range)
        is PeerMessage.QuarantineUpdate -> copy(number = number, scope = part.scope, range = part.range)
        else -> this
    }

/** Notes the acknowledgement of a delivery. */
internal fun ControlState.acknowledged(from: NodeId, number: Long): ControlState {
    val delivery = members.outbox.deliveries[number] ?: return this
    if (delivery.peer != from) return this
    return updateMembers { copy(outbox = outbox.copy(deliveries = outbox.deliveries.remove(number))) }
}

/** Sends gathered records and repeats what was not acknowledged in time. */
internal fun ControlState.tickOutbox(nowMillis: Long): Transition =
    flush(nowMillis).andThen { state ->
        val due = state.members.outbox.deliveries.filterValues { nowMillis - it.sentMillis >= RETRANSMIT_MILLIS }
        state.forEach(due.entries) { current, (number, delivery) -> current.repeat(number, delivery, nowMillis) }
    }

private fun ControlState.repeat(number: Long, delivery: Delivery, nowMillis: Long): Transition {
    if (delivery.attempts >= MAX_ATTEMPTS) return handOver(number, delivery, nowMillis)
    val repeated = delivery.copy(sentMillis = nowMillis, attempts = delivery.attempts + 1)
    val next = updateMembers { copy(outbox = outbox.copy(deliveries = outbox.deliveries.put(number, repeated))) }
    return next.send(delivery.peer, delivery.message)
}

private fun ControlState.handOver(number: Long, delivery: Delivery, nowMillis: Long): Transition {
    val dropped = updateMembers { copy(outbox = outbox.copy(deliveries = outbox.deliveries.remove(number))) }
    val next = if (delivery.failovers < MAX_FAILOVERS) failoverEdge(TreeEdge(delivery.peer, delivery.subtree)) else null
    if (next == null) return dropped.unchanged()
    return dropped.deliver(next, delivery.message, nowMillis, delivery.failovers + 1)
}

/** Hands over the subtrees below [peer]. The peer itself is still sent what it has not acknowledged. */
internal fun ControlState.failOverAll(peer: NodeId, nowMillis: Long): Transition {
    val open = members.outbox.deliveries.filterValues { it.peer == peer && it.subtree.scope != TreeScope.SELF }
    return forEach(open.entries) { state, (number, delivery) ->
        state.handOver(number, delivery, nowMillis).andThen { it.narrowToSelf(number, delivery) }
    }
}

private fun ControlState.narrowToSelf(number: Long, delivery: Delivery): Transition {
    val part = Subtree(TreeScope.SELF)
    val narrowed = delivery.copy(subtree = part, message = delivery.message.addressed(number, part))
    return updateMembers {
        copy(outbox = outbox.copy(deliveries = outbox.deliveries.put(number, narrowed)))
    }.unchanged()
}

/**
 * Notes the receipt of a numbered message. Returns `null` if it was received before.
 *
 * A number far below the highest one belongs to a peer that restarted with a lower incarnation and counts as new.
 */
internal fun ControlState.receivedFirst(from: NodeId, number: Long): ControlState? {
    val known = members.outbox.received[from]
    val next = known.plus(number) ?: return null
    return updateMembers { copy(outbox = outbox.copy(received = outbox.received.put(from, next))) }
}

private fun ReceivedNumbers?.plus(number: Long): ReceivedNumbers? {
    if (this == null || number <= highest - WINDOW) return ReceivedNumbers(number)
    if (number == highest) return null
    if (number > highest) {
        val shift = number - highest
        val moved = if (shift >= WINDOW) 0 else receivedBelow shl shift.toInt()
        val mark = if (shift > WINDOW) 0 else 1L shl (shift - 1).toInt()
        return ReceivedNumbers(number, moved or mark)
    }
    val mark = 1L shl (highest - number - 1).toInt()
    return if (receivedBelow and mark != 0L) null else copy(receivedBelow = receivedBelow or mark)
}
