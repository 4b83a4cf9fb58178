package boragelever.bench

import java.util.PriorityQueue

/** Actions in the order of their virtual time; those of the same time run in the order in which they were added. */
internal class EventQueue(startMicros: Long) {
    private class Pending(val atMicros: Long, val order: Long, val action: () -> Unit)

    private val pending = PriorityQueue<Pending>(compareBy({ it.atMicros }, { it.order }))
    private var order = 0L

    /** Virtual time in microseconds. */
    var nowMicros: Long = startMicros
        private set

    fun at(atMicros: Long, action: () -> Unit) {
        pending.add(Pending(maxOf(atMicros, nowMicros), order++, action))
    }

    fun after(delayMicros: Long, action: () -> Unit): Unit = at(nowMicros + delayMicros, action)

    /** Runs what is due until [untilMicros] and sets the time to that. */
    fun runUntil(untilMicros: Long) {
        while (pending.isNotEmpty() && pending.peek().atMicros <= untilMicros) {
            val next = pending.poll()
            nowMicros = next.atMicros
            next.action()
        }
        nowMicros = untilMicros
    }
}
