package boragelever.node.peer

import kotlin.math.ceil

/** Bounds how often something happens: [burst] times at once, then [perSecond]. Used by one coroutine. */
internal class TokenBucket(private val perSecond: Int, private val burst: Int, startMillis: Long) {
    private var tokens = burst.toDouble()
    private var filledAtMillis = startMillis

    /** Takes a token and returns 0, or returns the time in milliseconds until there is one. */
    fun take(nowMillis: Long): Long {
        tokens = minOf(burst.toDouble(), tokens + (nowMillis - filledAtMillis) * perSecond / MILLIS_PER_SECOND)
        filledAtMillis = nowMillis
        if (tokens < 1) return ceil((1 - tokens) * MILLIS_PER_SECOND / perSecond).toLong()
        tokens -= 1
        return 0
    }
}

private const val MILLIS_PER_SECOND = 1_000.0
