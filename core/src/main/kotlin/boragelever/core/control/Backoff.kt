package boragelever.core.control

import boragelever.core.EventContext
import kotlin.random.Random

/** Random numbers for one decision; [purpose] keeps decisions on the same event independent of each other. */
internal fun EventContext.random(purpose: String): Random = Random(seed xor purpose.hashCode().toLong())

/**
 * Returns a wait of 0 to `base * 2^attempt` milliseconds, at most [capMillis], drawn from the event's seed.
 *
 * Full jitter spreads nodes that failed at the same moment over the whole interval.
 */
internal fun EventContext.fullJitterMillis(purpose: String, attempt: Int, baseMillis: Long, capMillis: Long): Long {
    val boundMillis = minOf(capMillis, baseMillis shl attempt.coerceIn(0, MAX_DOUBLINGS))
    return random(purpose).nextLong(boundMillis + 1)
}

/** Returns a wait of half to one and a half times [meanMillis], drawn from the event's seed. */
internal fun EventContext.spreadMillis(purpose: String, meanMillis: Long): Long =
    meanMillis / 2 + random(purpose).nextLong(meanMillis + 1)

private const val MAX_DOUBLINGS = 20
