package boragelever.bench.calls

import boragelever.core.ConfigVersion
import boragelever.core.Digest
import boragelever.core.InstanceId
import boragelever.core.NetworkAddress
import boragelever.core.NodeId
import boragelever.core.RegionName
import boragelever.core.RouteName
import boragelever.core.ZoneName
import boragelever.core.config.ConfigId
import boragelever.core.config.LimitsConfig
import boragelever.core.config.RouteConfig
import boragelever.core.config.ServiceConfig
import boragelever.core.control.UpstreamRecord
import boragelever.core.control.UpstreamState
import boragelever.core.routing.CompiledRoute
import boragelever.core.routing.CompiledService
import boragelever.core.routing.Destination
import boragelever.core.routing.Endpoint
import boragelever.core.routing.LocalityTier
import boragelever.core.routing.RoutingSnapshot
import boragelever.core.store.StoreCommand
import boragelever.core.store.StoreResult
import boragelever.node.proxy.ProxyPorts
import boragelever.node.proxy.ProxyServer
import boragelever.node.proxy.ProxySettings
import boragelever.platform.Platform
import boragelever.platform.isWrite
import boragelever.standin.MemoryPlatform
import boragelever.standin.UpstreamSettings
import boragelever.standin.UpstreamStandIn
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import java.util.concurrent.Callable
import java.util.concurrent.Executors
import java.util.concurrent.atomic.AtomicLong

private const val WRITE_MILLIS = 5L
private const val WRITES_PER_SECOND = 300L
private const val CLAIM_SLOTS = 1_024
private const val HTTP_OK = 200

/** In-memory store, shared by all nodes, that delays each write and limits the number of writes per second. */
internal class RateLimitedPlatform(private val store: MemoryPlatform = MemoryPlatform()) : Platform by store {
    private val nextNanos = AtomicLong(System.nanoTime())
    val writes = AtomicLong()

    override suspend fun execute(command: StoreCommand): StoreResult {
        if (!command.isWrite) return store.execute(command)
        writes.incrementAndGet()
        val writeAtNanos = reserveWriteNanos()
        delay((writeAtNanos - System.nanoTime()).coerceAtLeast(0) / 1_000_000 + WRITE_MILLIS)
        return store.execute(command)
    }

    /** Reserves the next write under the rate limit and returns its time. */
    private fun reserveWriteNanos(): Long {
        val now = System.nanoTime()
        return nextNanos.updateAndGet { maxOf(it + 1_000_000_000 / WRITES_PER_SECOND, now) }
    }
}

/** Throughput of calls with an idempotency key, each of which writes a claim, through [nodes] nodes. */
internal class ClaimThroughput(
    val nodes: Int,
    val callers: Int,
    val perSecond: Double,
    val failures: Long,
    val p50Millis: Double,
    val p99Millis: Double,
    val writesPerSecond: Double,
)

/** Measures calls with idempotency keys in a closed loop; each acquires a claim, runs and records its response. */
internal fun measureClaims(nodes: Int, callers: Int, millis: Long): ClaimThroughput {
    val platform = RateLimitedPlatform()
    val settings = UpstreamSettings(ClaimNode.service, ClaimNode.instance, CLAIM_SLOTS, CLAIM_SLOTS)
    return UpstreamStandIn(settings).use { upstream ->
        val servers = List(nodes) { ClaimNode(it, platform, upstream.address) }
        try {
            val result = runClosedLoop(servers.map { it.ports.proxy }, callers, millis)
            val seconds = millis / 1_000.0
            ClaimThroughput(
                nodes,
                callers,
                (result.latencies.totalCount - result.failures) / seconds,
                result.failures,
                result.micros(50.0) / 1_000,
                result.micros(99.0) / 1_000,
                platform.writes.get() / seconds,
            )
        } finally {
            servers.forEach { it.close() }
        }
    }
}

private fun runClosedLoop(ports: List<Int>, callers: Int, millis: Long): CallResult {
    val pool = Executors.newFixedThreadPool(callers) { Thread(it, "claim").apply { isDaemon = true } }
    val endNanos = System.nanoTime() + millis * 1_000_000
    val tasks = List(callers) { caller ->
        Callable {
            val target = CallTarget("claims", ports[caller % ports.size], method = "POST")
            CallResult().also { result ->
                CallClient(target).use { client ->
                    var number = 0
                    while (System.nanoTime() < endNanos) {
                        val startNanos = System.nanoTime()
                        val status = client.call(mapOf("Idempotency-Key" to "key-$caller-${number++}"))
                        result.latencies.recordValue(System.nanoTime() - startNanos)
                        if (status != HTTP_OK) result.failures += 1
                    }
                }
            }
        }
    }
    try {
        return CallResult().also { total -> pool.invokeAll(tasks).forEach { total.add(it.get()) } }
    } finally {
        pool.shutdownNow()
    }
}

/** Proxy of a node with one local upstream, without the control plane. */
private class ClaimNode(number: Int, platform: Platform, private val upstream: NetworkAddress) : AutoCloseable {
    private val node = NodeId("node-$number")

    @Volatile
    private var snapshot: RoutingSnapshot? = null
    private val server = ProxyServer(ProxySettings(node, "127.0.0.1"), { snapshot }, platform, { })
    val ports: ProxyPorts = runBlocking { server.start() }

    init {
        snapshot = snapshotFor(ports)
    }

    override fun close() = runBlocking { server.close() }

    private fun snapshotFor(ports: ProxyPorts): RoutingSnapshot {
        val record = UpstreamRecord(
            service,
            instance,
            upstream,
            CLAIM_SLOTS,
            CLAIM_SLOTS,
            UpstreamState.SERVING,
        )
        val route = RouteConfig(pathPrefix = "/", destinations = mapOf(service to 1))
        return RoutingSnapshot(
            config = ConfigId(ConfigVersion(1), Digest("0")),
            node = node,
            routes = listOf(CompiledRoute(RouteName("claims"), route, listOf(Destination(service, 1)))),
            services = mapOf(service to CompiledService(service, ServiceConfig(), listOf(endpoint(ports)))),
            limits = LimitsConfig(),
            localUpstreams = mapOf(instance to record),
        )
    }

    private fun endpoint(ports: ProxyPorts): Endpoint =
        Endpoint(
            instance = instance,
            service = service,
            node = node,
            callAddress = NetworkAddress("127.0.0.1:${ports.hop}"),
            region = RegionName("khomas"),
            zone = ZoneName("a"),
            tier = LocalityTier.SAME_ZONE,
            slots = CLAIM_SLOTS,
            servingSinceMillis = Long.MIN_VALUE / 2,
        )

    companion object {
        val service = SERVICE
        val instance = InstanceId("claims-0")
    }
}
