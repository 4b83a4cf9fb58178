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

/** Age from which a load report is ignored, because most of the calls that it counts have ended. */
private const val MAX_REPORT_AGE_MILLIS = 1_000L

/** Load and health of the endpoints that this node has called, as observed by the traffic threads. */
internal class EndpointTable(private val clock: TrafficClock) {
    private class Entry {
        val inFlight = AtomicInteger()
        val health = AtomicReference(EndpointHealth())

        @Volatile
        var report = Report(0, Long.MIN_VALUE / 2)
    }

    private data class Report(val inFlight: Int, val atMillis: Long)

    private val entries = ConcurrentHashMap<InstanceId, Entry>()

    /** Stats for [boragelever.core.routing.selectEndpoint]. */
    val statsSource: EndpointStatsSource = EndpointStatsSource { instance ->
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

    /** Counts an attempt as in flight until the returned handle is closed; closing it again has no effect. */
    fun attemptStarted(instance: InstanceId): AutoCloseable {
        val entry = entries.computeIfAbsent(instance) { Entry() }
        entry.inFlight.incrementAndGet()
        val openCount = AtomicInteger(1)
        return AutoCloseable { if (openCount.getAndSet(0) == 1) entry.inFlight.decrementAndGet() }
    }

    /** Records the load reported by a response; the calls of this node itself are counted more accurately here. */
    fun recordLoad(instance: InstanceId, load: ReportedLoad) {
        entries[instance]?.report = Report(load.inFlight, clock.nowMillis())
    }

    /** Records a completed call. */
    fun recordSuccess(instance: InstanceId, config: OutlierConfig) {
        entries[instance]?.health?.updateAndGet { afterSuccess(it, config, clock.nowMillis()) }
    }

    /** Excludes an endpoint whose node is unreachable, until the exclusion expires or the node restarts. */
    fun recordUnreachable(endpoint: Endpoint) {
        entries[endpoint.instance]?.health?.updateAndGet {
            afterUnreachable(it, clock.nowMillis(), endpoint.incarnation)
        }
    }

    /** Records a failed attempt, which may eject the endpoint. */
    fun recordFailure(instance: InstanceId, service: CompiledService) {
        val now = clock.nowMillis()
        val ejected = service.endpoints.count { statsSource.statsOf(it.instance).ejectedUntilMillis > now }
        entries[instance]?.health?.updateAndGet {
            afterFailure(it, service.config.outlier, now, ejected, service.endpoints.size)
        }
    }

    /** Removes instances that are not in [known] and have no attempt in flight. */
    fun retain(known: Set<InstanceId>) {
        entries.entries.removeIf { (instance, entry) -> instance !in known && entry.inFlight.get() == 0 }
    }
}
