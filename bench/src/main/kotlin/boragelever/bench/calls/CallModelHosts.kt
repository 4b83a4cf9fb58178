package boragelever.bench.calls

import boragelever.core.ConfigVersion
import boragelever.core.Digest
import boragelever.core.EventContext
import boragelever.core.InstanceId
import boragelever.core.NetworkAddress
import boragelever.core.NodeId
import boragelever.core.RegionName
import boragelever.core.RouteName
import boragelever.core.ZoneName
import boragelever.core.call.SlotDecision
import boragelever.core.call.SlotQueue
import boragelever.core.call.cancel
import boragelever.core.call.release
import boragelever.core.call.request
import boragelever.core.call.retryBudget
import boragelever.core.config.ConfigId
import boragelever.core.config.LimitsConfig
import boragelever.core.control.UpstreamRecord
import boragelever.core.control.UpstreamState
import boragelever.core.routing.CompiledRoute
import boragelever.core.routing.CompiledService
import boragelever.core.routing.Destination
import boragelever.core.routing.Endpoint
import boragelever.core.routing.EndpointHealth
import boragelever.core.routing.EndpointStats
import boragelever.core.routing.LocalityTier
import boragelever.core.routing.RoutingSnapshot
import boragelever.core.routing.afterFailure
import boragelever.core.routing.afterSuccess
import boragelever.core.routing.selectEndpoint

private const val REGIONS = 3
private const val ZONES_PER_REGION = 2
private const val HOSTS_PER_ZONE = 3
private const val REPORT_MAX_AGE_MILLIS = 1_000L

/** A simulated host with one node and one upstream. */
internal class ModelHost(val index: Int) {
    val region: Int = index / (ZONES_PER_REGION * HOSTS_PER_ZONE)
    val zone: Int = index / HOSTS_PER_ZONE
    val instance = InstanceId("scanhub-$index")
    val record = UpstreamRecord(
        SERVICE,
        instance,
        NetworkAddress("127.0.0.1:${index + 1}"),
        SLOTS_PER_UPSTREAM,
        connections = 130,
        UpstreamState.SERVING,
    )
    private var queue = SlotQueue<ModelLastHop>(SLOTS_PER_UPSTREAM)

    /** Number of calls that hold a slot. */
    val slotsInUse: Int get() = queue.inUse

    fun requestSlot(lastHop: ModelLastHop, maxWaiting: Int, priority: Int): SlotDecision<ModelLastHop> {
        val (nextQueue, decision) = queue.request(lastHop, maxWaiting, priority)
        queue = nextQueue
        return decision
    }

    /** Releases a slot; if calls are waiting, the queue grants it to the next one. */
    fun releaseSlot() {
        val (nextQueue, waiter) = queue.release()
        queue = nextQueue
        waiter?.onSlotGranted()
    }

    /** Removes a waiting call from the queue; returns false if it is not waiting. */
    fun cancelWaiting(lastHop: ModelLastHop): Boolean {
        queue = queue.cancel(lastHop) ?: return false
        return true
    }

    /** One-way latency to [other] in microseconds. */
    fun latencyMicros(other: ModelHost): Long =
        when {
            other.index == index -> 50
            other.zone == zone -> 200
            other.region == region -> 1_000
            else -> 12_000
        }
}

/**
 * Routing state of one node as a first hop: its snapshot, endpoint health and retry budget.
 *
 * Not synchronized; only the model's thread uses it.
 */
internal class ModelRouter(private val firstHop: ModelHost, private val policy: CallPolicy) {
    private class Entry {
        var inFlight = 0
        var reportedLoad = 0
        var reportedAtMillis = Long.MIN_VALUE / 2
        var health = EndpointHealth()
    }

    private val entries = mutableMapOf<InstanceId, Entry>()
    private var nextEndpoint = firstHop.index
    lateinit var service: CompiledService
        private set
    lateinit var snapshot: RoutingSnapshot
        private set
    var budget = retryBudget(RoutingSnapshot.DEFAULT_RETRY_SLACK)

    /** Builds a snapshot with the endpoints of [hosts]; the values are the times in ms since which they serve. */
    fun compileSnapshot(hosts: Map<ModelHost, Long>) {
        val endpoints = hosts.map { (host, servingSinceMillis) -> endpoint(host, servingSinceMillis) }
        service = CompiledService(SERVICE, policy.serviceConfig(), endpoints)
        val route = CompiledRoute(RouteName("scans"), policy.routeConfig(), listOf(Destination(SERVICE, 1)))
        snapshot = RoutingSnapshot(
            config = ConfigId(ConfigVersion(1), Digest("0")),
            node = NodeId("node-${firstHop.index}"),
            routes = listOf(route),
            services = mapOf(SERVICE to service),
            // The limit of a single node is not under test, and each simulated node serves many callers.
            limits = LimitsConfig(maxConcurrentCalls = Int.MAX_VALUE),
            localUpstreams = mapOf(firstHop.instance to firstHop.record),
        )
    }

    fun select(context: EventContext, excluded: Set<InstanceId>): Endpoint? =
        when (policy) {
            is CallPolicy.Mesh -> selectEndpoint(service, { statsOf(it, context.nowMillis) }, context, excluded)
            is CallPolicy.RoundRobin -> service.endpoints[nextEndpoint++ % service.endpoints.size]
        }

    fun attemptStarted(instance: InstanceId) {
        entry(instance).inFlight += 1
    }

    fun attemptEnded(instance: InstanceId) {
        entry(instance).inFlight -= 1
    }

    fun recordLoad(instance: InstanceId, inFlight: Int, nowMillis: Long) {
        entry(instance).reportedLoad = inFlight
        entry(instance).reportedAtMillis = nowMillis
    }

    fun recordSuccess(instance: InstanceId, nowMillis: Long) {
        entry(instance).run { health = afterSuccess(health, service.config.outlier, nowMillis) }
    }

    fun recordFailure(instance: InstanceId, nowMillis: Long) {
        val ejected = service.endpoints.count { entry(it.instance).health.ejectedUntilMillis > nowMillis }
        entry(instance).run {
            health = afterFailure(health, service.config.outlier, nowMillis, ejected, service.endpoints.size)
        }
    }

    private fun entry(instance: InstanceId): Entry = entries.getOrPut(instance) { Entry() }

    private fun statsOf(instance: InstanceId, nowMillis: Long): EndpointStats {
        val entry = entry(instance)
        val isRecent = nowMillis - entry.reportedAtMillis < REPORT_MAX_AGE_MILLIS
        return EndpointStats(entry.inFlight, if (isRecent) entry.reportedLoad else 0, entry.health.ejectedUntilMillis)
    }

    private fun endpoint(host: ModelHost, servingSinceMillis: Long): Endpoint =
        Endpoint(
            instance = host.instance,
            service = SERVICE,
            node = NodeId("node-${host.index}"),
            callAddress = host.record.address,
            region = RegionName("region-${host.region}"),
            zone = ZoneName("zone-${host.zone}"),
            tier = when {
                host.zone == firstHop.zone -> LocalityTier.SAME_ZONE
                host.region == firstHop.region -> LocalityTier.SAME_REGION
                else -> LocalityTier.OTHER_REGION
            },
            slots = SLOTS_PER_UPSTREAM,
            servingSinceMillis = servingSinceMillis,
        )
}

internal fun createModelHosts(): List<ModelHost> = List(REGIONS * ZONES_PER_REGION * HOSTS_PER_ZONE) { ModelHost(it) }
