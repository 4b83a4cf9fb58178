package boragelever.node.proxy

import boragelever.node.net.SocketEventLoop
import kotlinx.coroutines.CoroutineScope
import java.util.concurrent.atomic.AtomicInteger

/** State shared by all calls of a node; all of it may be used from any traffic thread. */
internal class SharedTraffic(
    val settings: ProxySettings,
    val snapshots: SnapshotSource,
    val telemetry: ProxyTelemetry,
    val clock: TrafficClock,
    val claims: ClaimStore,
    val localUpstreams: LocalUpstreams,
) {
    /** Monotonic time at which the proxy was created. */
    val startedMillis: Long = clock.nowMillis()
    val endpoints = EndpointTable(clock)
    val retryBudgets = RetryBudgets()
    val responseSizes = ResponseSizes()

    /** Number of calls in flight for each hop. */
    val inFlight: Map<HopKind, AtomicInteger> = HopKind.entries.associateWith { AtomicInteger() }

    /** Number of requests on both ports from their first byte to the end of their response. */
    val unfinishedRequests = AtomicInteger()

    /** True once [ProxyServer.beginDrain] was called. */
    @Volatile
    var draining = false
}

/** State shared by the calls of one traffic thread. */
internal class TrafficContext(
    private val shared: SharedTraffic,
    val loop: SocketEventLoop,
    val pool: ConnectionPool,
    /** Scope of work that outlives a call, such as recording its response. */
    val background: CoroutineScope,
) {
    val settings: ProxySettings get() = shared.settings
    val snapshots: SnapshotSource get() = shared.snapshots
    val telemetry: ProxyTelemetry get() = shared.telemetry
    val clock: TrafficClock get() = shared.clock
    val claims: ClaimStore get() = shared.claims
    val localUpstreams: LocalUpstreams get() = shared.localUpstreams
    val startedMillis: Long get() = shared.startedMillis
    val endpoints: EndpointTable get() = shared.endpoints
    val retryBudgets: RetryBudgets get() = shared.retryBudgets
    val responseSizes: ResponseSizes get() = shared.responseSizes
    val inFlight: Map<HopKind, AtomicInteger> get() = shared.inFlight
    val unfinishedRequests: AtomicInteger get() = shared.unfinishedRequests
    val draining: Boolean get() = shared.draining
    val client = ExchangeClient(pool, settings)
}
