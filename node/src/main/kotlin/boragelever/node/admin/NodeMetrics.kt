package boragelever.node.admin

import boragelever.node.ControlStats
import boragelever.node.StoreStats
import boragelever.node.peer.TransportStats
import io.prometheus.metrics.core.metrics.CounterWithCallback
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream

private const val NANOS_PER_SECOND = 1e9

/** Configuration statistics of a node. */
public data class ConfigStats(
    /** Version in force, or 0 if there is none. */
    public val version: Long,
    /** Wall-clock time of the last applied configuration in seconds since the epoch, or 0 if there is none. */
    public val appliedAtSeconds: Double,
    /** Wall-clock time of the last publish by this node in seconds since the epoch, or 0 if there is none. */
    public val publishedAtSeconds: Double,
    /** Configurations applied. */
    public val applied: Long,
    /** Configurations that could not be applied. */
    public val refused: Long,
    /** Configurations published by this node. */
    public val published: Long,
    /** Folders rejected by this node because they were invalid. */
    public val rejectedFolders: Long,
)

/** Quarantine statistics of a node. */
public data class QuarantineStats(
    /** Requests, by fingerprint, that are refused now. */
    public val active: Int,
    /** Requests that this node has started to refuse because of crashes. */
    public val imposed: Long,
    /** Quarantines that ended because the request completed on an instance. */
    public val refuted: Long,
    /** Requests that were running at a crash of a local upstream, but had completed before. */
    public val unrelatedCrashes: Long,
)

/** Suppliers of the values of the node metrics; called at each scrape. */
public class MetricSources(
    /** Applied and published configurations. */
    public val config: () -> ConfigStats,
    /** Control thread. */
    public val control: () -> ControlStats,
    /** Connections to peers. */
    public val transport: () -> TransportStats,
    /** Store commands. */
    public val store: () -> StoreStats,
    /** Number of members by lowercase status name. */
    public val members: () -> Map<String, Int>,
    /** Calls that the proxy is handling. */
    public val callsInFlight: () -> Int,
    /** Quarantined requests. */
    public val quarantine: () -> QuarantineStats,
)

/** Registers the metrics of the node in [registry], except those of the proxy. */
public fun registerNodeMetrics(registry: PrometheusRegistry, sources: MetricSources) {
    val metrics = MetricRegistration(registry)
    metrics.registerConfig(sources)
    metrics.registerControl(sources)
    metrics.registerTransport(sources)
    metrics.registerStore(sources)
    metrics.registerQuarantine(sources)
    metrics.labelledGauge("boragelever_members", "Known members by status", "status") { sources.members() }
    metrics.gauge("boragelever_calls_in_flight", "Calls in flight") { sources.callsInFlight().toDouble() }
}

/** Writes the metrics of [registry] in the Prometheus text format. */
public fun renderMetrics(registry: PrometheusRegistry): String {
    val bytes = ByteArrayOutputStream()
    PrometheusTextFormatWriter.create().write(bytes, registry.scrape())
    return bytes.toString(Charsets.UTF_8)
}

private fun MetricRegistration.registerConfig(sources: MetricSources) {
    gauge("boragelever_config_version", "Version in force") { sources.config().version.toDouble() }
    gauge("boragelever_config_applied_timestamp_seconds", "Wall-clock time of the last applied configuration") {
        sources.config().appliedAtSeconds
    }
    gauge("boragelever_config_published_timestamp_seconds", "Wall-clock time of the last publish by this node") {
        sources.config().publishedAtSeconds
    }
    counter("boragelever_config_applied", "Configurations applied") { sources.config().applied.toDouble() }
    counter("boragelever_config_refused", "Configurations that could not be applied") {
        sources.config().refused.toDouble()
    }
    counter("boragelever_config_published", "Configurations published by this node") {
        sources.config().published.toDouble()
    }
    counter("boragelever_folder_rejected", "Folders rejected by this node") {
        sources.config().rejectedFolders.toDouble()
    }
}

private fun MetricRegistration.registerQuarantine(sources: MetricSources) {
    gauge("boragelever_quarantined_requests", "Requests, by fingerprint, that are refused") {
        sources.quarantine().active.toDouble()
    }
    counter("boragelever_quarantines_imposed", "Requests that this node started to refuse because of crashes") {
        sources.quarantine().imposed.toDouble()
    }
    counter("boragelever_quarantines_refuted", "Quarantines that ended because the request completed") {
        sources.quarantine().refuted.toDouble()
    }
    counter("boragelever_crashes_unrelated", "Requests that ran at a crash of a local upstream but had completed") {
        sources.quarantine().unrelatedCrashes.toDouble()
    }
}

private fun MetricRegistration.registerControl(sources: MetricSources) {
    counter("boragelever_control_events", "Events reduced") { sources.control().events.toDouble() }
    counter("boragelever_control_reduce_seconds", "Time spent in the reducer") {
        sources.control().reduceNanos / NANOS_PER_SECOND
    }
    gauge("boragelever_control_reduce_max_seconds", "Longest reduction of one event") {
        sources.control().longestReduceNanos / NANOS_PER_SECOND
    }
    counter("boragelever_control_skipped_ticks", "Ticks skipped because the control thread was behind") {
        sources.control().skippedTicks.toDouble()
    }
    counter("boragelever_control_failures", "Events whose reduction or effects failed") {
        sources.control().failures.toDouble()
    }
    gauge("boragelever_control_queue_depth", "Events in the queue of the control thread") {
        sources.control().queueDepth.toDouble()
    }
}

private fun MetricRegistration.registerTransport(sources: MetricSources) {
    labelledCounter("boragelever_control_received_bytes", "Control traffic received", "scope") {
        val traffic = sources.transport().traffic
        mapOf(
            "same_region" to traffic.receivedSameRegionBytes.toDouble(),
            "other_region" to traffic.receivedOtherRegionBytes.toDouble(),
        )
    }
    labelledCounter("boragelever_control_sent_bytes", "Control traffic sent", "scope") {
        val traffic = sources.transport().traffic
        mapOf(
            "same_region" to traffic.sentSameRegionBytes.toDouble(),
            "other_region" to traffic.sentOtherRegionBytes.toDouble(),
        )
    }
    gauge("boragelever_peer_connections", "Open connections to peers") {
        sources.transport().openConnections.toDouble()
    }
    counter("boragelever_peer_dropped_messages", "Messages dropped because the peer was slow or unreachable") {
        sources.transport().droppedMessages.toDouble()
    }
}

private fun MetricRegistration.registerStore(sources: MetricSources) {
    counter("boragelever_store_reads", "Read commands sent to the store") { sources.store().reads.toDouble() }
    counter("boragelever_store_writes", "Write commands sent to the store") { sources.store().writes.toDouble() }
    counter("boragelever_store_failures", "Store commands that failed or whose response was lost") {
        sources.store().failures.toDouble()
    }
}

/** Registers metrics whose values are read from callbacks at each scrape. */
private class MetricRegistration(private val registry: PrometheusRegistry) {
    fun gauge(name: String, help: String, value: () -> Double) {
        GaugeWithCallback.builder().name(name).help(help).callback { it.call(value()) }.register(registry)
    }

    fun labelledGauge(name: String, help: String, label: String, values: () -> Map<String, Int>) {
        GaugeWithCallback
            .builder()
            .name(name)
            .help(help)
            .labelNames(label)
            .callback { target -> values().forEach { (key, value) -> target.call(value.toDouble(), key) } }
            .register(registry)
    }

    fun counter(name: String, help: String, value: () -> Double) {
        CounterWithCallback.builder().name(name).help(help).callback { it.call(value()) }.register(registry)
    }

    fun labelledCounter(name: String, help: String, label: String, values: () -> Map<String, Double>) {
        CounterWithCallback
            .builder()
            .name(name)
            .help(help)
            .labelNames(label)
            .callback { target -> values().forEach { (key, value) -> target.call(value, key) } }
            .register(registry)
    }
}
