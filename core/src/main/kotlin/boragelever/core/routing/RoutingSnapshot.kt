package boragelever.core.routing

import boragelever.core.Fingerprint
import boragelever.core.Incarnation
import boragelever.core.InstanceId
import boragelever.core.NetworkAddress
import boragelever.core.NodeId
import boragelever.core.RegionName
import boragelever.core.RouteName
import boragelever.core.ServiceName
import boragelever.core.ZoneName
import boragelever.core.config.ConfigId
import boragelever.core.config.LimitsConfig
import boragelever.core.config.RouteConfig
import boragelever.core.config.ServiceConfig
import boragelever.core.control.UpstreamRecord

/**
 * Everything that a traffic thread needs to carry a call; immutable and swapped as a whole.
 *
 * Each destination of each route is a key of [services].
 */
public data class RoutingSnapshot(
    /** Configuration that the snapshot was compiled from. */
    public val config: ConfigId,
    public val node: NodeId,
    /** Routes in the order in which they are tried: longest path prefix first. */
    public val routes: List<CompiledRoute>,
    public val services: Map<ServiceName, CompiledService>,
    public val limits: LimitsConfig,
    /** Upstreams beside this node by instance, in every announced state. */
    public val localUpstreams: Map<InstanceId, UpstreamRecord> = emptyMap(),
    /** Refused requests, with the monotonic time in milliseconds at which the refusal ends. */
    public val quarantined: Map<Fingerprint, Long> = emptyMap(),
    /** True once the node is stopping: it takes no new calls. */
    public val draining: Boolean = false,
    /** Retries to each service that this node may make beside a share of its calls. */
    public val retrySlack: Int = DEFAULT_RETRY_SLACK,
    /** Retries as a percentage of the calls to a service, or `null` for the budget of each route. */
    public val retryPercent: Int? = null,
    /** Service of the upstream beside this node, which upstreams are told as the caller; `null` if it is not known. */
    public val callingService: ServiceName? = null,
) {
    private val routeTable: RouteTable = routes as? RouteTable ?: RouteTable(routes)

    /** Routes that may match a request for [host], in the order in which they are tried. */
    internal fun candidates(host: String?): List<CompiledRoute> = routeTable.candidates(host)

    /** True if a call to [service] can go somewhere; `null` stands for a call whose route is not known yet. */
    public fun canRoute(service: ServiceName?): Boolean =
        service == null || !services[service]?.endpoints.isNullOrEmpty()

    /** Retries as a percentage of the calls on [route]: the bound that all nodes share, or else that of the route. */
    public fun retryPercentOf(route: CompiledRoute): Int = retryPercent ?: route.config.retry.budgetPercent

    public companion object {
        /** Retries after a quiet time if the nodes share no bound, so that services with few calls can retry at all. */
        public const val DEFAULT_RETRY_SLACK: Int = 10
    }
}

/**
 * The routes of a configuration with an index by host.
 *
 * It is made once for a configuration, since a snapshot is made for each change of a member and most have hundreds of
 * routes.
 */
internal class RouteTable(private val routes: List<CompiledRoute>) : List<CompiledRoute> by routes {
    private val hostless = routes.filter { it.config.host == null }

    /** For each host that a route names, the routes that may match a request for it. */
    private val byHost: Map<String, List<CompiledRoute>> =
        routes.filter { it.config.host != null }
            .groupBy { it.config.host.orEmpty().lowercase() }
            .mapValues { (_, named) -> if (hostless.isEmpty()) named else inOrder(named.toSet() + hostless) }

    private fun inOrder(chosen: Set<CompiledRoute>): List<CompiledRoute> = routes.filter { it in chosen }

    /** Routes that may match a request for [host], in the order in which they are tried. */
    fun candidates(host: String?): List<CompiledRoute> = host?.let { byHost[it.lowercase()] } ?: hostless

    override fun equals(other: Any?): Boolean =
        this === other || (other is List<*> && routes == ((other as? RouteTable)?.routes ?: other))

    override fun hashCode(): Int = routes.hashCode()

    override fun toString(): String = routes.toString()
}

/** A route whose destinations are resolved. */
public data class CompiledRoute(
    public val name: RouteName,
    public val config: RouteConfig,
    public val destinations: List<Destination>,
)

/** One weighted target of a route. */
public data class Destination(public val service: ServiceName, public val weight: Int)

/** A service with its endpoints; an empty list means that calls are answered at once as not run. */
public data class CompiledService(
    public val name: ServiceName,
    public val config: ServiceConfig,
    public val endpoints: List<Endpoint>,
)

/** One instance of a service as seen from this node. Draining and starting instances are left out. */
public data class Endpoint(
    public val instance: InstanceId,
    public val service: ServiceName,
    /** Node beside the instance. */
    public val node: NodeId,
    /** Where that node takes calls for its upstreams. */
    public val callAddress: NetworkAddress,
    public val region: RegionName,
    public val zone: ZoneName,
    public val tier: LocalityTier,
    public val slots: Int,
    /** Monotonic time of this node in milliseconds at which the instance was first seen serving. */
    public val servingSinceMillis: Long,
    /** False while the instance says that it is slow after its start. */
    public val warm: Boolean = true,
    /** False while the node beside the instance is suspect: the endpoint is used last. */
    public val trusted: Boolean = true,
    /** Incarnation of that node, which rises when its process starts again. */
    public val incarnation: Incarnation = Incarnation(0),
)

/** Distance of an endpoint from the calling node, nearest first. */
public enum class LocalityTier {
    SAME_ZONE,
    SAME_REGION,
    OTHER_REGION,
}
