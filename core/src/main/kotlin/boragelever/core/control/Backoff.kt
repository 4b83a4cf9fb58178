package boragelever.core.control

import boragelever.core.EventContext
import kotlin.random.Random

/** Returns a random generator for one decision; each [purpose] gets an independent sequence for the same event. */
internal fun EventContext.random(purpose: String): Random = Random(seed xor purpose.hashCode().toLong())

/**
 * Returns a wait from 0 to `baseMillis * 2^attempt` milliseconds, at most [capMillis], drawn from the event's seed.
 *
 * Full jitter spreads the retries of nodes that failed at the same time over the whole interval.
 */
internal fun EventContext.fullJitterMillis(purpose: String, attempt: Int, baseMillis: Long, capMillis: Long): Long {
    val boundMillis = minOf(capMillis, baseMillis shl attempt.coerceIn(0, MAX_DOUBLINGS))
    return random(purpose).nextLong(boundMillis + 1)
}

/** Returns a wait from 0.5 to 1.5 times [meanMillis], drawn from the event's seed. */
internal fun EventContext.jitterAroundMillis(purpose: String, meanMillis: Long): Long =
    meanMillis / 2 + random(purpose).nextLong(meanMillis + 1)

private const val MAX_DOUBLINGS = 20
