package boragelever.node.peer

import kotlin.random.Random

/** Upper bound of the delay after the first failure. */
private const val INITIAL_MAX_DELAY_MILLIS = 100L

/** Below the anti-entropy interval, so that a recovered peer is reconnected soon. */
private const val MAX_DELAY_MILLIS = 5_000L

/** Returns the delay before the next dial after [failures] failures in a row: exponential backoff with full jitter. */
internal fun reconnectDelayMillis(failures: Int, random: Random): Long {
    if (failures <= 0) return 0
    val doublings = minOf(failures - 1, Long.SIZE_BITS / 4)
    return random.nextLong(minOf(MAX_DELAY_MILLIS, INITIAL_MAX_DELAY_MILLIS shl doublings) + 1)
}
