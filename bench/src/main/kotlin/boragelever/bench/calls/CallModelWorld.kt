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
private const val ZONES = 2
private const val PER_ZONE = 3
private const val REPORT_MAX_AGE_MILLIS = 1_000L

/** A host of the model with its node and its upstream. */
internal class ModelHost(val index: Int) {
    val region: Int = index / (ZONES * PER_ZONE)
    val zone: Int = index / PER_ZONE
    val instance = InstanceId("scanhub-$index")
    val record = UpstreamRecord(
        SERVICE,
        instance,
        NetworkAddress("127.0.0.1:${index + 1}"),
        SLOTS,
        connections = 130,
        UpstreamState.SERVING,
    )
    private var queue = SlotQueue<ModelHop>(SLOTS)

    /** Calls that hold a slot. */
    val inUse: Int get() = queue.inUse

    fun request(hop: ModelHop, maxWaiting: Int, priority: Int): SlotDecision<ModelHop> {
        val (next, decision) = queue.request(hop, maxWaiting, priority)
        queue = next
        return decision
    }

    /** Gives a slot back and passes it to the call that waits longest. */
    fun release() {
        val (next, waiter) = queue.release()
        queue = next
        waiter?.granted()
    }

    /** Takes a waiting call out; false if it does not wait any more. */
    fun abandon(hop: ModelHop): Boolean {
        queue = queue.cancel(hop) ?: return false
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

/** The view that one calling node has of all endpoints; owned by the model's only thread. */
internal class ModelView(private val home: ModelHost, private val policy: CallPolicy) {
    private class Entry {
        var inFlight = 0
        var reported = 0
        var reportedAtMillis = Long.MIN_VALUE / 2
        var health = EndpointHealth()
    }

    private val entries = mutableMapOf<InstanceId, Entry>()
    private var turn = home.index
    lateinit var service: CompiledService
        private set
    lateinit var snapshot: RoutingSnapshot
        private set
    var budget = retryBudget(RoutingSnapshot.DEFAULT_RETRY_SLACK)

    /** Compiles a snapshot with the endpoints of [hosts], each with the time since which it serves. */
    fun compile(hosts: Map<ModelHost, Long>) {
        val endpoints = hosts.map { (host, sinceMillis) -> endpoint(host, sinceMillis) }
        service = CompiledService(SERVICE, policy.service(), endpoints)
        val route = CompiledRoute(RouteName("scans"), policy.route(), listOf(Destination(SERVICE, 1)))
        snapshot = RoutingSnapshot(
            config = ConfigId(ConfigVersion(1), Digest("0")),
            node = NodeId("node-${home.index}"),
            routes = listOf(route),
            services = mapOf(SERVICE to service),
            // The limit of one node is not what is measured; each node of the model carries many callers.
            limits = LimitsConfig(maxConcurrentCalls = Int.MAX_VALUE),
            localUpstreams = mapOf(home.instance to home.record),
        )
    }

    fun select(context: EventContext, excluded: Set<InstanceId>): Endpoint? =
        when (policy) {
            is CallPolicy.Mesh -> selectEndpoint(service, { statsOf(it, context.nowMillis) }, context, excluded)
            is CallPolicy.RoundRobin -> service.endpoints[turn++ % service.endpoints.size]
        }

    fun begin(instance: InstanceId) {
        entry(instance).inFlight += 1
    }

    fun end(instance: InstanceId) {
        entry(instance).inFlight -= 1
    }

    fun report(instance: InstanceId, inFlight: Int, nowMillis: Long) {
        entry(instance).reported = inFlight
        entry(instance).reportedAtMillis = nowMillis
    }

    fun succeeded(instance: InstanceId, nowMillis: Long) {
        entry(instance).run { health = afterSuccess(health, service.config.outlier, nowMillis) }
    }

    fun failed(instance: InstanceId, nowMillis: Long) {
        val ejected = service.endpoints.count { entry(it.instance).health.ejectedUntilMillis > nowMillis }
        entry(instance).run {
            health = afterFailure(health, service.config.outlier, nowMillis, ejected, service.endpoints.size)
        }
    }

    private fun entry(instance: InstanceId): Entry = entries.getOrPut(instance) { Entry() }

    private fun statsOf(instance: InstanceId, nowMillis: Long): EndpointStats {
        val entry = entry(instance)
        val fresh = nowMillis - entry.reportedAtMillis < REPORT_MAX_AGE_MILLIS
        return EndpointStats(entry.inFlight, if (fresh) entry.reported else 0, entry.health.ejectedUntilMillis)
    }

    private fun endpoint(host: ModelHost, sinceMillis: Long): Endpoint =
        Endpoint(
            instance = host.instance,
            service = SERVICE,
            node = NodeId("node-${host.index}"),
            callAddress = host.record.address,
            region = RegionName("region-${host.region}"),
            zone = ZoneName("zone-${host.zone}"),
            tier = when {
                host.zone == home.zone -> LocalityTier.SAME_ZONE
                host.region == home.region -> LocalityTier.SAME_REGION
                else -> LocalityTier.OTHER_REGION
            },
            slots = SLOTS,
            servingSinceMillis = sinceMillis,
        )
}

internal fun modelHosts(): List<ModelHost> = List(REGIONS * ZONES * PER_ZONE) { ModelHost(it) }
