package boragelever.core.control

/** Bounds how often something happens: [perSecond] on average, [burst] at once. */
public data class TokenBucket(
    public val perSecond: Int = 5,
    public val burst: Int = 10,
    public val tokens: Double = burst.toDouble(),
    /** Time up to which tokens were added, or `null` before the first use. */
    public val filledMillis: Long? = null,
)

/** Returns the bucket without one token, or `null` if it is empty. */
internal fun TokenBucket.take(nowMillis: Long): TokenBucket? {
    val elapsedMillis = nowMillis - (filledMillis ?: nowMillis)
    val filled = minOf(burst.toDouble(), tokens + elapsedMillis * perSecond / 1_000.0)
    return if (filled < 1) null else copy(tokens = filled - 1, filledMillis = nowMillis)
}
