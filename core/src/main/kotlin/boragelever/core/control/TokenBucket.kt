package boragelever.core.control

import kotlin.math.ceil

/** Rate limit of [perSecond] tokens per second on average and bursts of up to [burst]. Times are in milliseconds. */
public data class TokenBucket(
    public val perSecond: Double = 5.0,
    public val burst: Double = 10.0,
    public val tokens: Double = burst,
    /** Time of the last refill, or `null` before the first use. */
    public val lastRefillMillis: Long? = null,
)

/** Returns the bucket with one token less, or `null` if it has none. */
public fun TokenBucket.tryTake(nowMillis: Long): TokenBucket? {
    val refilled = refilled(nowMillis)
    return if (refilled.tokens < 1) null else refilled.copy(tokens = refilled.tokens - 1)
}

/** Returns the time until the bucket has a token, in milliseconds; 0 if it has one. */
public fun TokenBucket.waitMillis(nowMillis: Long): Long {
    val missing = 1 - refilled(nowMillis).tokens
    return if (missing <= 0) 0 else ceil(missing * MILLIS_PER_SECOND / perSecond).toLong()
}

private fun TokenBucket.refilled(nowMillis: Long): TokenBucket {
    val elapsedMillis = nowMillis - (lastRefillMillis ?: nowMillis)
    return copy(
        tokens = minOf(burst, tokens + elapsedMillis * perSecond / MILLIS_PER_SECOND),
        lastRefillMillis = nowMillis,
    )
}

private const val MILLIS_PER_SECOND = 1_000.0
