package boragelever.core.routing

import boragelever.core.Incarnation
import boragelever.core.config.OutlierConfig

/** Maximum number of doublings of the ejection time: the default of 5 s grows to at most 160 s. */
private const val MAX_DOUBLINGS = 5

/** Health of one endpoint as observed by this node. */
public data class EndpointHealth(
    /** Number of failures since the last success. */
    public val consecutiveFailures: Int = 0,
    /** Number of ejections; reset by a success at least [OutlierConfig.ejectMillis] after the last ejection ended. */
    public val ejections: Int = 0,
    /** Monotonic time in milliseconds at which the last ejection ends; 0 if there was none. */
    public val ejectedUntilMillis: Long = 0,
    /** Incarnation in which the endpoint's node was unreachable; `null` if it was ejected for another reason. */
    public val unreachableIncarnation: Incarnation? = null,
)

/**
 * Returns [health] after a failed attempt.
 *
 * @param ejected number of endpoints of the service that are currently ejected.
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
    val durationMillis = config.ejectMillis shl minOf(health.ejections, MAX_DOUBLINGS)
    return EndpointHealth(
        consecutiveFailures = 0,
        ejections = health.ejections + 1,
        ejectedUntilMillis = nowMillis + durationMillis,
    )
}

/** Returns [health] after an attempt that could not reach the endpoint's node, which has this [incarnation]. */
public fun afterUnreachable(health: EndpointHealth, nowMillis: Long, incarnation: Incarnation): EndpointHealth {
    val lastIncarnation = health.unreachableIncarnation
    val isNewIncarnation = lastIncarnation != null && lastIncarnation < incarnation
    if (health.ejectedUntilMillis > nowMillis && !isNewIncarnation) return health
    val priorEjections = if (isNewIncarnation) 0 else health.ejections
    val durationMillis = UNREACHABLE_EJECTION_MILLIS shl minOf(priorEjections, MAX_UNREACHABLE_DOUBLINGS)
    return health.copy(
        ejections = priorEjections + 1,
        ejectedUntilMillis = nowMillis + durationMillis,
        unreachableIncarnation = incarnation,
    )
}

/** Duration of the first ejection of an unreachable endpoint; a node restarts within a few such periods. */
private const val UNREACHABLE_EJECTION_MILLIS = 500L
private const val MAX_UNREACHABLE_DOUBLINGS = 2

/** Returns [health] after a successful attempt. */
public fun afterSuccess(health: EndpointHealth, config: OutlierConfig, nowMillis: Long): EndpointHealth {
    val recovered = nowMillis >= health.ejectedUntilMillis + config.ejectMillis
    return health.copy(consecutiveFailures = 0, ejections = if (recovered) 0 else health.ejections)
}
