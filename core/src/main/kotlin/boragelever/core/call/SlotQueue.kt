package boragelever.core.call

import boragelever.core.config.QueueConfig
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/**
 * Slots of one upstream and the calls that wait for them: by priority, and first come first served within one.
 *
 * @param W identifies a waiting call.
 */
public data class SlotQueue<W>(
    public val slots: Int,
    public val inUse: Int = 0,
    public val waiting: PersistentList<SlotWaiter<W>> = persistentListOf(),
)

/** A waiting call; the lowest [priority] gets a slot first. */
public data class SlotWaiter<W>(public val waiter: W, public val priority: Int)

/** Result of asking for a slot. */
public sealed interface SlotDecision<out W> {
    /** The call has the slot. */
    public data object Granted : SlotDecision<Nothing>

    /** The call waits. */
    public data object Queued : SlotDecision<Nothing>

    /** The call waits in the place of [waiter], which is shed. */
    public data class Displaced<W>(public val waiter: W) : SlotDecision<W>

    /** The queue is full of calls that are at least as urgent. */
    public data object Shed : SlotDecision<Nothing>
}

/** Asks for a slot for [waiter]; at most [maxWaiting] calls wait. */
public fun <W> SlotQueue<W>.request(
    waiter: W,
    maxWaiting: Int,
    priority: Int = 0,
): Pair<SlotQueue<W>, SlotDecision<W>> {
    val last = waiting.lastOrNull()
    return when {
        inUse < slots && last == null -> copy(inUse = inUse + 1) to SlotDecision.Granted
        waiting.size < maxWaiting -> insert(waiter, priority) to SlotDecision.Queued
        last != null && last.priority > priority ->
            copy(waiting = waiting.removeAt(waiting.lastIndex)).insert(waiter, priority) to
                SlotDecision.Displaced(last.waiter)
        else -> this to SlotDecision.Shed
    }
}

private fun <W> SlotQueue<W>.insert(waiter: W, priority: Int): SlotQueue<W> {
    val before = waiting.indexOfFirst { it.priority > priority }
    val index = if (before < 0) waiting.size else before
    return copy(waiting = waiting.add(index, SlotWaiter(waiter, priority)))
}

/** Gives a slot back and names the waiting call that it passes to, if any. */
public fun <W> SlotQueue<W>.release(): Pair<SlotQueue<W>, W?> {
    val next = waiting.firstOrNull()
    // After the number of slots was lowered, slots are given up until no more than that are in use.
    return if (next == null || inUse > slots) {
        copy(inUse = inUse - 1) to null
    } else {
        copy(waiting = waiting.removeAt(0)) to next.waiter
    }
}

/** Takes a waiting call out; `null` if it does not wait any more, because a slot was passed to it or it was shed. */
public fun <W> SlotQueue<W>.cancel(waiter: W): SlotQueue<W>? {
    val index = waiting.indexOfFirst { it.waiter == waiter }
    return if (index < 0) null else copy(waiting = waiting.removeAt(index))
}

/** Changes the number of slots and names the waiting calls that get one at once. */
public fun <W> SlotQueue<W>.resize(slots: Int): Pair<SlotQueue<W>, List<W>> {
    val granted = waiting.take((slots - inUse).coerceAtLeast(0)).map { it.waiter }
    val left = waiting.subList(granted.size, waiting.size).let { persistentListOf<SlotWaiter<W>>().addAll(it) }
    return SlotQueue(slots, inUse + granted.size, left) to granted
}

/**
 * Returns how many calls may wait so that each gets a slot within the longest wait of [queue].
 *
 * A call that would wait longer is better refused at once than held and refused later.
 *
 * @param meanHoldMillis mean time for which calls hold a slot, or 0 if it is not known.
 */
public fun maxQueueLength(queue: QueueConfig, slots: Int, meanHoldMillis: Double): Int {
    if (meanHoldMillis <= 0) return queue.maxWaiting
    return minOf(queue.maxWaiting.toDouble(), slots * queue.maxWaitMillis / meanHoldMillis).toInt()
}
