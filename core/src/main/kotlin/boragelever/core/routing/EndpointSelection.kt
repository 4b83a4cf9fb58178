package boragelever.core.routing

import boragelever.core.EventContext
import boragelever.core.Incarnation
import boragelever.core.InstanceId
import boragelever.core.config.CrossRegion
import boragelever.core.config.LocalityConfig
import kotlin.math.max
import kotlin.math.min
import kotlin.random.Random

/** Statistics of one endpoint that the traffic threads of this node collect. */
public data class EndpointStats(
    /** Calls in flight from this node to the endpoint. */
    public val inFlight: Int = 0,
    /** Calls in flight that the endpoint last reported; 0 if the report is outdated. */
    public val reportedInFlight: Int = 0,
    /** Monotonic time in milliseconds at which the ejection ends; 0 if the endpoint is not ejected. */
    public val ejectedUntilMillis: Long = 0,
    /** Incarnation in which the endpoint's node was unreachable; `null` if it was ejected for another reason. */
    public val unreachableIncarnation: Incarnation? = null,
)

/** Provides the endpoint statistics of the traffic threads. */
public fun interface EndpointStatsSource {
    /** Returns the statistics of [instance], or default values if it has not received a call. */
    public fun statsOf(instance: InstanceId): EndpointStats
}

/** Minimum fraction of its slots that a new endpoint counts with, so that it gets some traffic immediately. */
private const val MIN_SLOW_START_FRACTION = 0.1

/** Fraction of its slots that an instance counts with while it reports that it is not warmed up. */
private const val COLD_FRACTION = 0.5

/**
 * Chooses the endpoint for one attempt, or returns `null` if the service has no endpoint that this call may still use.
 *
 * The nearest tier is used until the configured percentage of its slots is busy. Above that, calls overflow to the next
 * tier in proportion to the free slots there. Within a tier, the less loaded of two random endpoints is chosen.
 *
 * @param excluded instances that this call has already tried.
 * @param large true if responses are large; such calls stay in the region while it has a usable endpoint.
 */
public fun selectEndpoint(
    service: CompiledService,
    source: EndpointStatsSource,
    context: EventContext,
    excluded: Set<InstanceId> = emptySet(),
    large: Boolean = false,
): Endpoint? {
    val random = Random(context.seed)
    val candidates = usableCandidates(service, source, context.nowMillis)
    val inRegion = candidates.filter { it.endpoint.tier != LocalityTier.OTHER_REGION }
    val permitted = when (service.config.locality.crossRegion) {
        CrossRegion.SPILL -> if (large) inRegion.ifEmpty { candidates } else candidates
        CrossRegion.LAST_RESORT -> inRegion.ifEmpty { candidates }
        CrossRegion.NEVER -> inRegion
    }
    val untried = permitted.filter { it.endpoint.instance !in excluded }
    val preferred = untried.filter { it.endpoint.trusted }.ifEmpty { untried }
    val tier = chooseTier(preferred, service.config.locality, random)
    return chooseByLoad(tier, random)?.endpoint
}

/** An endpoint with the load and capacity that this node assumes for it. */
private class Candidate(val endpoint: Endpoint, val load: Int, val capacity: Double) {
    val freeSlots: Double get() = max(0.0, capacity - load)

    /** Load relative to capacity if the call is added. */
    val utilization: Double get() = (load + 1) / capacity
}

/** Omits ejected endpoints unless too few are healthy, since the load would then concentrate on the remaining ones. */
private fun usableCandidates(service: CompiledService, source: EndpointStatsSource, nowMillis: Long): List<Candidate> {
    val endpointsWithStats = service.endpoints.map { it to source.statsOf(it.instance) }
    val healthy = endpointsWithStats.filter { (endpoint, stats) ->
        stats.ejectedUntilMillis <= nowMillis || stats.isOlderThan(endpoint.incarnation)
    }
    val isPanic = healthy.size * 100 < endpointsWithStats.size * service.config.outlier.panicPercent
    return (if (isPanic) endpointsWithStats else healthy).map { (endpoint, stats) ->
        Candidate(
            endpoint = endpoint,
            load = max(stats.inFlight, stats.reportedInFlight),
            capacity = endpoint.slots * warmupFraction(endpoint, service.config.slowStartMillis, nowMillis),
        )
    }
}

/** True if the node was unreachable in an earlier incarnation than [incarnation], which the restart has superseded. */
private fun EndpointStats.isOlderThan(incarnation: Incarnation): Boolean =
    unreachableIncarnation != null && unreachableIncarnation < incarnation

private fun warmupFraction(endpoint: Endpoint, slowStartMillis: Long, nowMillis: Long): Double {
    if (!endpoint.warm) return COLD_FRACTION
    if (slowStartMillis <= 0) return 1.0
    val share = (nowMillis - endpoint.servingSinceMillis).toDouble() / slowStartMillis
    return min(1.0, max(MIN_SLOW_START_FRACTION, share))
}

private fun chooseTier(candidates: List<Candidate>, locality: LocalityConfig, random: Random): List<Candidate> {
    val tiers = candidates.groupBy { it.endpoint.tier }.toSortedMap().values.toList()
    for ((index, tier) in tiers.withIndex()) {
        val next = tiers.getOrNull(index + 1) ?: return tier
        if (random.nextDouble() >= spillProbability(tier, next, locality.spillPercent)) return tier
    }
    return emptyList()
}

/** Probability of choosing [next] over [tier]: 0 below the spill threshold, 1 if only [next] has free slots. */
private fun spillProbability(tier: List<Candidate>, next: List<Candidate>, spillPercent: Int): Double {
    val capacity = tier.sumOf { it.capacity }
    val free = tier.sumOf { it.freeSlots }
    val threshold = spillPercent / 100.0
    val busy = 1 - free / capacity
    if (busy < threshold) return 0.0
    val overflowShare = if (threshold >= 1) 1.0 else (busy - threshold) / (1 - threshold)
    val offeredSlots = overflowShare * next.sumOf { it.freeSlots }
    return if (offeredSlots <= 0) 0.0 else offeredSlots / (offeredSlots + free)
}

private fun chooseByLoad(tier: List<Candidate>, random: Random): Candidate? {
    if (tier.size <= 1) return tier.firstOrNull()
    val first = random.nextInt(tier.size)
    val second = (first + 1 + random.nextInt(tier.size - 1)) % tier.size
    return if (tier[second].utilization < tier[first].utilization) tier[second] else tier[first]
}
