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
 * Everything that a traffic thread needs to handle a call. Immutable; replaced as a whole.
 *
 * [services] contains each destination of each route.
 */
public data class RoutingSnapshot(
    /** Configuration from which the snapshot was compiled. */
    public val config: ConfigId,
    public val node: NodeId,
    /** Routes in matching order: longest path prefix first. */
    public val routes: List<CompiledRoute>,
    public val services: Map<ServiceName, CompiledService>,
    public val limits: LimitsConfig,
    /** Local upstreams of this node by instance, in any state. */
    public val localUpstreams: Map<InstanceId, UpstreamRecord> = emptyMap(),
    /** Quarantined requests. */
    public val quarantined: Map<Fingerprint, Quarantine> = emptyMap(),
    /** True while the node is shutting down and accepts no new calls. */
    public val draining: Boolean = false,
    /** Monotonic time at which the process exits, once it was asked to stop, or `null` if it waits for its calls. */
    public val exitMillis: Long? = null,
    /** Retries to each service that this node may make in addition to the percentage of calls. */
    public val retrySlack: Int = DEFAULT_RETRY_SLACK,
    /** Retries as a percentage of the calls to a service, or `null` to use the budget of each route. */
    public val retryPercent: Int? = null,
    /** Service of the local upstream, which is reported to upstreams as the caller; `null` if unknown. */
    public val callingService: ServiceName? = null,
) {
    private val routeTable: RouteTable = routes as? RouteTable ?: RouteTable(routes)

    /** Returns the routes that may match a request for [host], in matching order. */
    internal fun candidates(host: String?): List<CompiledRoute> = routeTable.candidates(host)

    /** Returns whether [service] has an endpoint; `null` stands for a call whose route is not known yet. */
    public fun canRoute(service: ServiceName?): Boolean =
        service == null || !services[service]?.endpoints.isNullOrEmpty()

    /** Returns retries as a percentage of calls on [route]: the limit shared by all nodes, else that of the route. */
    public fun retryPercentOf(route: CompiledRoute): Int = retryPercent ?: route.config.retry.budgetPercent

    public companion object {
        /** Retry allowance of a service if the nodes share no limit; lets services with few calls retry at all. */
        public const val DEFAULT_RETRY_SLACK: Int = 10
    }
}

/**
 * The routes of a configuration with an index by host.
 *
 * It is created once per configuration, because a snapshot is created for each membership change and most
 * configurations have hundreds of routes.
 */
internal class RouteTable(private val routes: List<CompiledRoute>) : List<CompiledRoute> by routes {
    private val anyHost = routes.filter { it.config.host == null }

    /** For each host that a route specifies, the routes that may match a request for it. */
    private val byHost: Map<String, List<CompiledRoute>> =
        routes.filter { it.config.host != null }
            .groupBy { it.config.host.orEmpty().lowercase() }
            .mapValues { (_, named) -> if (anyHost.isEmpty()) named else inMatchingOrder(named.toSet() + anyHost) }

    private fun inMatchingOrder(chosen: Set<CompiledRoute>): List<CompiledRoute> = routes.filter { it in chosen }

    /** Returns the routes that may match a request for [host], in matching order. */
    fun candidates(host: String?): List<CompiledRoute> = host?.let { byHost[it.lowercase()] } ?: anyHost

    override fun equals(other: Any?): Boolean =
        this === other || (other is List<*> && routes == ((other as? RouteTable)?.routes ?: other))

    override fun hashCode(): Int = routes.hashCode()

    override fun toString(): String = routes.toString()
}

/** A route with its resolved destinations. */
public data class CompiledRoute(
    public val name: RouteName,
    public val config: RouteConfig,
    public val destinations: List<Destination>,
)

/** One weighted destination of a route. */
public data class Destination(public val service: ServiceName, public val weight: Int)

/** A service with its endpoints. If there are none, calls to it are refused immediately as not run. */
public data class CompiledService(
    public val name: ServiceName,
    public val config: ServiceConfig,
    public val endpoints: List<Endpoint>,
)

/** A serving instance of a service as seen from this node. Starting and draining instances are not included. */
public data class Endpoint(
    public val instance: InstanceId,
    public val service: ServiceName,
    /** Node that serves as the proxy of the instance. */
    public val node: NodeId,
    /** Address at which that node accepts calls for its local upstreams. */
    public val callAddress: NetworkAddress,
    public val region: RegionName,
    public val zone: ZoneName,
    public val tier: LocalityTier,
    public val slots: Int,
    /** Monotonic time of this node in milliseconds at which it first saw the instance serving. */
    public val servingSinceMillis: Long,
    /** False while the instance reports that it is not warmed up. */
    public val warm: Boolean = true,
    /** False while the instance's node is suspect; the endpoint is then used only as a last resort. */
    public val trusted: Boolean = true,
    /** Incarnation of the instance's node, which increases when its process restarts. */
    public val incarnation: Incarnation = Incarnation(0),
)

/** Distance of an endpoint from this node, nearest first. */
public enum class LocalityTier {
    /** In the zone of this node. */
    SAME_ZONE,

    /** In another zone of this node's region. */
    SAME_REGION,

    /** In another region. */
    OTHER_REGION,
}
