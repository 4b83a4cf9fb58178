package boragelever.node.proxy

import boragelever.core.InstanceId
import boragelever.core.config.OutlierConfig
import boragelever.core.routing.CompiledService
import boragelever.core.routing.Endpoint
import boragelever.core.routing.EndpointHealth
import boragelever.core.routing.EndpointStats
import boragelever.core.routing.EndpointStatsSource
import boragelever.core.routing.afterFailure
import boragelever.core.routing.afterSuccess
import boragelever.core.routing.afterUnreachable
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicReference

/** Age at which a report of load is ignored; older ones describe calls that have mostly ended. */
private const val MAX_REPORT_AGE_MILLIS = 1_000L

/** Statistics of the endpoints that this node has called; owned by the traffic threads. */
internal class EndpointTable(private val clock: TrafficClock) {
    private class Entry {
        val inFlight = AtomicInteger()
        val health = AtomicReference(EndpointHealth())

        @Volatile
        var report = Report(0, Long.MIN_VALUE / 2)
    }

    private data class Report(val inFlight: Int, val atMillis: Long)

    private val entries = ConcurrentHashMap<InstanceId, Entry>()

    /** View for [boragelever.core.routing.selectEndpoint]. */
    val view: EndpointStatsSource = EndpointStatsSource { instance ->
        entries[instance]?.let { entry ->
            val report = entry.report
            val isFresh = clock.nowMillis() - report.atMillis < MAX_REPORT_AGE_MILLIS
            val health = entry.health.get()
            EndpointStats(
                inFlight = entry.inFlight.get(),
                reportedInFlight = if (isFresh) report.inFlight else 0,
                ejectedUntilMillis = health.ejectedUntilMillis,
                unreachableIncarnation = health.unreachableIncarnation,
            )
        } ?: EndpointStats()
    }

    /** Counts an attempt. The returned handle must be closed once; further closing has no effect. */
    fun attemptStarted(instance: InstanceId): AutoCloseable {
        val entry = entries.computeIfAbsent(instance) { Entry() }
        entry.inFlight.incrementAndGet()
        val openCount = AtomicInteger(1)
        return AutoCloseable { if (openCount.getAndSet(0) == 1) entry.inFlight.decrementAndGet() }
    }

    /** Notes the load that an answer carried; what is in flight from this node is known better here. */
    fun recordLoad(instance: InstanceId, load: ReportedLoad) {
        entries[instance]?.report = Report(load.inFlight, clock.nowMillis())
    }

    fun recordSuccess(instance: InstanceId, config: OutlierConfig) {
        entries[instance]?.health?.updateAndGet { afterSuccess(it, config, clock.nowMillis()) }
    }

    /** Leaves out an endpoint whose node could not be reached, until its time is over or the node starts again. */
    fun recordUnreachable(endpoint: Endpoint) {
        entries[endpoint.instance]?.health?.updateAndGet {
            afterUnreachable(it, clock.nowMillis(), endpoint.incarnation)
        }
    }

    fun recordFailure(instance: InstanceId, service: CompiledService) {
        val now = clock.nowMillis()
        val ejected = service.endpoints.count { view.statsOf(it.instance).ejectedUntilMillis > now }
        entries[instance]?.health?.updateAndGet {
            afterFailure(it, service.config.outlier, now, ejected, service.endpoints.size)
        }
    }

    /** Forgets instances that are in no snapshot any more and carry no call. */
    fun retain(known: Set<InstanceId>) {
        entries.entries.removeIf { (instance, entry) -> instance !in known && entry.inFlight.get() == 0 }
    }
}
