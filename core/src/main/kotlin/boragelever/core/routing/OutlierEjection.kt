package boragelever.core.routing

import boragelever.core.Incarnation
import boragelever.core.config.OutlierConfig

/** Largest number of doublings of the ejection time: 5 s become at most 160 s. */
private const val MAX_DOUBLINGS = 5

/** Recent results of one endpoint, as seen by this node. */
public data class EndpointHealth(
    /** Failures since the last success. */
    public val consecutiveFailures: Int = 0,
    /** Ejections since the endpoint last served a full ejection time without failing. */
    public val ejections: Int = 0,
    /** Monotonic time in milliseconds until which the endpoint is ejected; 0 if it never was. */
    public val ejectedUntilMillis: Long = 0,
    /** Incarnation of the node that could not be reached, or `null` if the endpoint was ejected for another reason. */
    public val unreachableIncarnation: Incarnation? = null,
)

/**
 * Returns [health] after a failed attempt.
 *
 * @param ejected number of endpoints of the service that are ejected now.
 * @param total number of endpoints of the service.
 */
public fun afterFailure(
    health: EndpointHealth,
    config: OutlierConfig,
    nowMillis: Long,
    ejected: Int,
    total: Int,
): EndpointHealth {
    val failed = health.copy(consecutiveFailures = health.consecutiveFailures + 1)
    val mayEject = (ejected + 1) * 100 <= total * config.maxEjectedPercent
    val alreadyEjected = health.ejectedUntilMillis > nowMillis
    if (failed.consecutiveFailures < config.consecutiveFailures || alreadyEjected || !mayEject) return failed
    val duration = config.ejectMillis shl minOf(health.ejections, MAX_DOUBLINGS)
    return EndpointHealth(
        consecutiveFailures = 0,
        ejections = health.ejections + 1,
        ejectedUntilMillis = nowMillis + duration,
    )
}

/** Returns [health] after an attempt that did not reach the node beside the endpoint, in its [incarnation]. */
public fun afterUnreachable(health: EndpointHealth, nowMillis: Long, incarnation: Incarnation): EndpointHealth {
    val known = health.unreachableIncarnation
    val isNewLife = known != null && known < incarnation
    if (health.ejectedUntilMillis > nowMillis && !isNewLife) return health
    val earlier = if (isNewLife) 0 else health.ejections
    val duration = UNREACHABLE_MILLIS shl minOf(earlier, MAX_UNREACHABLE_DOUBLINGS)
    return health.copy(
        ejections = earlier + 1,
        ejectedUntilMillis = nowMillis + duration,
        unreachableIncarnation = incarnation,
    )
}

/** First time for which an endpoint that was not reached is left out; a node restarts within a few of these. */
private const val UNREACHABLE_MILLIS = 500L
private const val MAX_UNREACHABLE_DOUBLINGS = 2

/** Returns [health] after a successful attempt. */
public fun afterSuccess(health: EndpointHealth, config: OutlierConfig, nowMillis: Long): EndpointHealth {
    val recovered = nowMillis >= health.ejectedUntilMillis + config.ejectMillis
    return health.copy(consecutiveFailures = 0, ejections = if (recovered) 0 else health.ejections)
}
