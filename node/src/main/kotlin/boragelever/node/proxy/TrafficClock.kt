package boragelever.node.proxy

import boragelever.core.EventContext
import java.util.concurrent.ThreadLocalRandom

/** Time and randomness for calls; replaced in tests. */
internal interface TrafficClock {
    /** Monotonic time in milliseconds. */
    fun nowMillis(): Long

    /** Wall-clock time in milliseconds since the epoch, only for records that people read. */
    fun epochMillis(): Long

    /** Time and a random number for an event that happens now. */
    fun eventContext(): EventContext
}

private const val NANOS_PER_MILLI = 1_000_000L

/** Clock and random numbers of the JVM. */
internal object SystemTrafficClock : TrafficClock {
    override fun nowMillis(): Long = System.nanoTime() / NANOS_PER_MILLI

    override fun epochMillis(): Long = System.currentTimeMillis()

    override fun eventContext(): EventContext = EventContext(nowMillis(), ThreadLocalRandom.current().nextLong())
}
