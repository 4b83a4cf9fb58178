package boragelever.core.routing

import boragelever.core.ServiceName
import kotlin.random.Random

/** The parts of a request that determine its route. */
public data class RouteMatchInput(
    public val method: String,
    /** Host without port, or `null` if the request has none. */
    public val host: String?,
    /** Path without the query. */
    public val path: String,
)

/** Returns the first route of [snapshot] that matches [input], or `null` if there is none. */
public fun matchRoute(snapshot: RoutingSnapshot, input: RouteMatchInput): CompiledRoute? =
    snapshot.candidates(input.host).firstOrNull { it.matches(input) }

/**
 * Chooses the service of a call by weight, or returns `null` if no destination has a positive weight.
 *
 * Weights also apply while a destination has no endpoint or no free slots; calls that it cannot accept are refused.
 */
public fun chooseDestination(route: CompiledRoute, seed: Long): ServiceName? {
    val candidates = route.destinations.filter { it.weight > 0 }
    if (candidates.size <= 1) return candidates.firstOrNull()?.service
    var remainingWeight = Random(seed).nextInt(candidates.sumOf { it.weight })
    return candidates.first { candidate ->
        remainingWeight -= candidate.weight
        remainingWeight < 0
    }.service
}

private fun CompiledRoute.matches(input: RouteMatchInput): Boolean =
    (config.methods.isEmpty() || input.method in config.methods) &&
        (config.host == null || config.host.equals(input.host, ignoreCase = true)) &&
        isPathPrefix(config.pathPrefix, input.path)

/** Matches only at segment boundaries, so that `/scan` does not match `/scanner`. */
private fun isPathPrefix(prefix: String, path: String): Boolean =
    path.startsWith(prefix) &&
        (prefix.endsWith('/') || path.length == prefix.length || path[prefix.length] == '/')
