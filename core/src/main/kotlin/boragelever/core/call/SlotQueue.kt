package boragelever.core.call

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/**
 * Slots of one upstream and the calls that wait for them, first come first served.
 *
 * @param W identifies a waiting call.
 */
public data class SlotQueue<W>(
    public val slots: Int,
    public val inUse: Int = 0,
    public val waiting: PersistentList<W> = persistentListOf(),
)

/** Result of asking for a slot. */
public sealed interface SlotDecision {
    /** The call has the slot. */
    public data object Granted : SlotDecision

    /** The call waits. */
    public data object Queued : SlotDecision

    /** The queue is full. */
    public data object Shed : SlotDecision
}

/** Asks for a slot for [waiter]; at most [maxWaiting] calls wait. */
public fun <W> SlotQueue<W>.request(waiter: W, maxWaiting: Int): Pair<SlotQueue<W>, SlotDecision> =
    when {
        inUse < slots && waiting.isEmpty() -> copy(inUse = inUse + 1) to SlotDecision.Granted
        waiting.size < maxWaiting -> copy(waiting = waiting.add(waiter)) to SlotDecision.Queued
        else -> this to SlotDecision.Shed
    }

/** Gives a slot back and names the waiting call that it passes to, if any. */
public fun <W> SlotQueue<W>.release(): Pair<SlotQueue<W>, W?> {
    val next = waiting.firstOrNull()
    // After the number of slots was lowered, slots are given up until no more than that are in use.
    return if (next == null ||
        inUse > slots
    ) {
        copy(inUse = inUse - 1) to null
    } else {
        copy(waiting = waiting.removeAt(0)) to next
    }
}

/** Takes a waiting call out; `null` if it does not wait any more, because a slot was passed to it. */
public fun <W> SlotQueue<W>.abandon(waiter: W): SlotQueue<W>? =
    if (waiter in waiting) copy(waiting = waiting.remove(waiter)) else null

/** Changes the number of slots and names the waiting calls that get one at once. */
public fun <W> SlotQueue<W>.resize(slots: Int): Pair<SlotQueue<W>, List<W>> {
    val granted = waiting.take((slots - inUse).coerceAtLeast(0))
    val left = waiting.subList(granted.size, waiting.size).let { persistentListOf<W>().addAll(it) }
    return SlotQueue(slots, inUse + granted.size, left) to granted
}
