package boragelever.core.call

import boragelever.core.config.QueueConfig
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/**
 * Slots of one upstream and the queue of calls that wait for them, by priority and then in order of arrival.
 *
 * @param W identifies a waiting call.
 */
public data class SlotQueue<W>(
    public val slots: Int,
    public val inUse: Int = 0,
    public val waiting: PersistentList<SlotWaiter<W>> = persistentListOf(),
)

/** A waiting call; the lowest [priority] value gets a slot first. */
public data class SlotWaiter<W>(public val waiter: W, public val priority: Int)

/** Result of requesting a slot. */
public sealed interface SlotDecision<out W> {
    /** The call got a slot. */
    public data object Granted : SlotDecision<Nothing>

    /** The call waits for a slot. */
    public data object Queued : SlotDecision<Nothing>

    /** The call waits in place of [waiter], which is shed. */
    public data class Displaced<W>(public val waiter: W) : SlotDecision<W>

    /** The call is shed: the queue is full of calls of the same or higher urgency. */
    public data object Shed : SlotDecision<Nothing>
}

/** Requests a slot for [waiter]; at most [maxWaiting] calls may wait. */
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
    val firstLessUrgent = waiting.indexOfFirst { it.priority > priority }
    val index = if (firstLessUrgent < 0) waiting.size else firstLessUrgent
    return copy(waiting = waiting.add(index, SlotWaiter(waiter, priority)))
}

/** Releases a slot and returns the waiting call that gets it, if any. */
public fun <W> SlotQueue<W>.release(): Pair<SlotQueue<W>, W?> {
    val next = waiting.firstOrNull()
    // After the number of slots was reduced, released slots are dropped until no more than that are in use.
    return if (next == null || inUse > slots) {
        copy(inUse = inUse - 1) to null
    } else {
        copy(waiting = waiting.removeAt(0)) to next.waiter
    }
}

/** Removes a waiting call, or returns `null` if it no longer waits because it got a slot or was shed. */
public fun <W> SlotQueue<W>.cancel(waiter: W): SlotQueue<W>? {
    val index = waiting.indexOfFirst { it.waiter == waiter }
    return if (index < 0) null else copy(waiting = waiting.removeAt(index))
}

/** Changes the number of slots and returns the waiting calls that get one immediately. */
public fun <W> SlotQueue<W>.resize(slots: Int): Pair<SlotQueue<W>, List<W>> {
    val granted = waiting.take((slots - inUse).coerceAtLeast(0)).map { it.waiter }
    val stillWaiting = waiting.subList(granted.size, waiting.size).let { persistentListOf<SlotWaiter<W>>().addAll(it) }
    return SlotQueue(slots, inUse + granted.size, stillWaiting) to granted
}

/**
 * Returns the queue length at which each waiting call still gets a slot within the maximum wait of [queue].
 *
 * A call that would wait longer is better refused immediately than after the wait.
 *
 * @param meanHoldMillis mean time for which a call holds a slot, or 0 if unknown.
 */
public fun maxQueueLength(queue: QueueConfig, slots: Int, meanHoldMillis: Double): Int {
    if (meanHoldMillis <= 0) return queue.maxWaiting
    return minOf(queue.maxWaiting.toDouble(), slots * queue.maxWaitMillis / meanHoldMillis).toInt()
}
