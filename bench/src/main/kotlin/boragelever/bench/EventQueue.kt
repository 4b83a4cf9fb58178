package boragelever.bench

import java.util.PriorityQueue

/** Runs actions in the order of their virtual time; actions of the same time run in the order they were added. */
internal class EventQueue(startMicros: Long) {
    private class ScheduledAction(val atMicros: Long, val sequence: Long, val action: () -> Unit)

    private val pending = PriorityQueue<ScheduledAction>(compareBy({ it.atMicros }, { it.sequence }))
    private var sequence = 0L

    /** Virtual time in microseconds. */
    var nowMicros: Long = startMicros
        private set

    /** Schedules [action] at [atMicros], or at the current time if that has passed. */
    fun scheduleAt(atMicros: Long, action: () -> Unit) {
        pending.add(ScheduledAction(maxOf(atMicros, nowMicros), sequence++, action))
    }

    fun scheduleAfter(delayMicros: Long, action: () -> Unit): Unit = scheduleAt(nowMicros + delayMicros, action)

    /** Runs all actions that are due by [untilMicros] and advances the virtual time to it. */
    fun runUntil(untilMicros: Long) {
        while (pending.isNotEmpty() && pending.peek().atMicros <= untilMicros) {
            val next = pending.poll()
            nowMicros = next.atMicros
            next.action()
        }
        nowMicros = untilMicros
    }
}
