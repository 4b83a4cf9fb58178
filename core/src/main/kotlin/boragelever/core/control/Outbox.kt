package boragelever.core.control

import boragelever.core.NodeId
import kotlinx.collections.immutable.persistentMapOf

/** Wait for an ack before a message is retransmitted; exceeds the longest round trip between regions plus one batch. */
internal const val RETRANSMIT_MILLIS: Long = 200

/** Maximum number of transmissions of a message to the same peer. */
internal const val MAX_ATTEMPTS: Int = 4

/** Maximum number of failovers of a delivery to another edge; anti-entropy repairs what all of them miss. */
internal const val MAX_FAILOVERS: Int = 3

/** Shortest interval between two batches; updates in between are queued. */
private const val BATCH_INTERVAL_MILLIS = 50L

/** Shift of the incarnation in message numbers: a restart raises them, so that they do not look like duplicates. */
private const val MESSAGE_NUMBER_BITS = 20

/** Number of message numbers below the highest one that are checked for duplicates. */
private const val DUPLICATE_WINDOW = 64

/** Queues [updates] for [subtree]. They are sent immediately, or by a later tick if a batch was just sent. */
internal fun ControlState.broadcast(
    updates: Collection<MemberStatusRecord>,
    subtree: Subtree,
    nowMillis: Long,
    urgent: Boolean = false,
): Transition {
    if (updates.isEmpty() || subtree.scope == TreeScope.SELF) return withoutEffects()
    val outbox = membership.outbox
    val byNode = updates.associateBy { it.record.node }
    val pending = (outbox.pendingUpdates[subtree] ?: persistentMapOf()).putAll(byNode)
    val next = updateMembership {
        copy(outbox = outbox.copy(pendingUpdates = outbox.pendingUpdates.put(subtree, pending)))
    }
    val isFlushDue = outbox.lastFlushMillis == null || nowMillis - outbox.lastFlushMillis >= BATCH_INTERVAL_MILLIS
    return if (urgent || isFlushDue) next.flush(nowMillis) else next.withoutEffects()
}

private fun ControlState.flush(nowMillis: Long): Transition {
    val pending = membership.outbox.pendingUpdates
    if (pending.isEmpty()) return withoutEffects()
    val flushed = membership.outbox.copy(pendingUpdates = persistentMapOf(), lastFlushMillis = nowMillis)
    return updateMembership { copy(outbox = flushed) }.foldTransitions(pending.entries) { state, (subtree, records) ->
        val message = PeerMessage.MemberUpdate(0, records.values.toList(), TreeScope.SELF)
        state.deliverTo(state.treeEdges(subtree), message, nowMillis)
    }
}

/** Sends [message] along each of [edges] and retransmits it until it is acknowledged. */
internal fun ControlState.deliverTo(edges: List<TreeEdge>, message: PeerMessage, nowMillis: Long): Transition =
    foldTransitions(edges) { state, edge -> state.deliver(edge, message, nowMillis) }

internal fun ControlState.deliver(
    edge: TreeEdge,
    message: PeerMessage,
    nowMillis: Long,
    failovers: Int = 0,
): Transition {
    val number = nextNumber()
    val addressed = message.addressed(number, edge.subtree)
    val delivery = Delivery(edge.peer, addressed, edge.subtree, nowMillis, failovers = failovers)
    val outbox = membership.outbox
    val deliveries = outbox.deliveries.put(number, delivery)
    val next = updateMembership { copy(outbox = outbox.copy(lastNumber = number, deliveries = deliveries)) }
    return next.send(edge.peer, addressed)
}

/** Returns the number of a message that is not retransmitted, and the state in which the number is used. */
internal fun ControlState.allocateNumber(): Pair<ControlState, Long> {
    val number = nextNumber()
    return updateMembership { copy(outbox = outbox.copy(lastNumber = number)) } to number
}

private fun ControlState.nextNumber(): Long =
    maxOf(membership.outbox.lastNumber, identity.incarnation.value shl MESSAGE_NUMBER_BITS) + 1

private fun PeerMessage.addressed(number: Long, subtree: Subtree): PeerMessage =
    when (this) {
        is PeerMessage.MemberUpdate -> copy(number = number, scope = subtree.scope, range = subtree.range)
        is PeerMessage.QuarantineUpdate -> copy(number = number, scope = subtree.scope, range = subtree.range)
        else -> this
    }

/** Records the ack of a delivery, which ends its retransmission. */
internal fun ControlState.recordAck(from: NodeId, number: Long): ControlState {
    val delivery = membership.outbox.deliveries[number] ?: return this
    if (delivery.peer != from) return this
    return updateMembership { copy(outbox = outbox.copy(deliveries = outbox.deliveries.remove(number))) }
}

/** Sends queued updates and retransmits what was not acknowledged in time. */
internal fun ControlState.tickOutbox(nowMillis: Long): Transition =
    flush(nowMillis).andThen { state ->
        val due = state.membership.outbox.deliveries.filterValues { nowMillis - it.sentMillis >= RETRANSMIT_MILLIS }
        state.foldTransitions(due.entries) { current, (number, delivery) ->
            current.retransmit(number, delivery, nowMillis)
        }
    }

private fun ControlState.retransmit(number: Long, delivery: Delivery, nowMillis: Long): Transition {
    if (delivery.attempts >= MAX_ATTEMPTS) return failOver(number, delivery, nowMillis)
    val resent = delivery.copy(sentMillis = nowMillis, attempts = delivery.attempts + 1)
    val next = updateMembership { copy(outbox = outbox.copy(deliveries = outbox.deliveries.put(number, resent))) }
    return next.send(delivery.peer, delivery.message)
}

private fun ControlState.failOver(number: Long, delivery: Delivery, nowMillis: Long): Transition {
    val dropped = updateMembership { copy(outbox = outbox.copy(deliveries = outbox.deliveries.remove(number))) }
    val next = if (delivery.failovers < MAX_FAILOVERS) failoverEdge(TreeEdge(delivery.peer, delivery.subtree)) else null
    if (next == null) return dropped.withoutEffects()
    return dropped.deliver(next, delivery.message, nowMillis, delivery.failovers + 1)
}

/** Fails over the subtrees below [peer]. The peer itself still gets retransmissions of what it has not acknowledged. */
internal fun ControlState.failOverAll(peer: NodeId, nowMillis: Long): Transition {
    val openDeliveries = membership.outbox.deliveries.filterValues {
        it.peer == peer && it.subtree.scope != TreeScope.SELF
    }
    return foldTransitions(openDeliveries.entries) { state, (number, delivery) ->
        state.failOver(number, delivery, nowMillis).andThen { it.narrowToSelf(number, delivery) }
    }
}

private fun ControlState.narrowToSelf(number: Long, delivery: Delivery): Transition {
    val subtree = Subtree(TreeScope.SELF)
    val narrowed = delivery.copy(subtree = subtree, message = delivery.message.addressed(number, subtree))
    return updateMembership {
        copy(outbox = outbox.copy(deliveries = outbox.deliveries.put(number, narrowed)))
    }.withoutEffects()
}

/**
 * Records the receipt of a numbered message. Returns `null` if the message is a duplicate.
 *
 * A number far below the highest one comes from a peer that restarted with a lower incarnation, and is not a duplicate.
 */
internal fun ControlState.recordReceipt(from: NodeId, number: Long): ControlState? {
    val receivedNumbers = membership.outbox.received[from]
    val next = receivedNumbers.plus(number) ?: return null
    return updateMembership { copy(outbox = outbox.copy(received = outbox.received.put(from, next))) }
}

private fun ReceivedNumbers?.plus(number: Long): ReceivedNumbers? {
    if (this == null || number <= highest - DUPLICATE_WINDOW) return ReceivedNumbers(number)
    if (number == highest) return null
    if (number > highest) {
        val shift = number - highest
        val shifted = if (shift >= DUPLICATE_WINDOW) 0 else receivedBelow shl shift.toInt()
        val bit = if (shift > DUPLICATE_WINDOW) 0 else 1L shl (shift - 1).toInt()
        return ReceivedNumbers(number, shifted or bit)
    }
    val bit = 1L shl (highest - number - 1).toInt()
    return if (receivedBelow and bit != 0L) null else copy(receivedBelow = receivedBelow or bit)
}
