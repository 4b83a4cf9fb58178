package boragelever.node.peer

import kotlin.random.Random

private const val FIRST_CEILING_MILLIS = 100L

/** Stays below the interval of anti-entropy, so that a peer that is back is found soon. */
private const val LAST_CEILING_MILLIS = 5_000L

/** Returns the delay before the next dial after [failures] failures in a row: full jitter below a doubling ceiling. */
internal fun reconnectDelayMillis(failures: Int, random: Random): Long {
    if (failures <= 0) return 0
    val doublings = minOf(failures - 1, Long.SIZE_BITS / 4)
    return random.nextLong(minOf(LAST_CEILING_MILLIS, FIRST_CEILING_MILLIS shl doublings) + 1)
}
