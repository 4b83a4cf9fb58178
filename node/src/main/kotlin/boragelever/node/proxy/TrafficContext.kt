package boragelever.node.proxy

import kotlinx.coroutines.CoroutineScope
import java.util.concurrent.atomic.AtomicInteger

/** What all calls of a node share; every part of it is safe to use from any traffic thread. */
internal class TrafficContext(
    val settings: ProxySettings,
    val snapshots: SnapshotSource,
    val telemetry: ProxyTelemetry,
    val clock: TrafficClock,
    val pool: ConnectionPool,
    val claims: ClaimStore,
    val locals: LocalUpstreams,
    /** Runs what outlives a call, such as recording its answer. */
    val background: CoroutineScope,
) {
    val endpoints = EndpointTable(clock)
    val budgets = RetryBudgets()
    val client = ExchangeClient(pool, settings)

    /** Calls in flight by port. */
    val inFlight: Map<HopKind, AtomicInteger> = HopKind.entries.associateWith { AtomicInteger() }

    @Volatile
    var draining = false
}
