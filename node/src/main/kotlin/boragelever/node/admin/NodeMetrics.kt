package boragelever.node.admin

import boragelever.node.ControlFigures
import boragelever.node.StoreFigures
import boragelever.node.peer.TransportFigures
import io.prometheus.metrics.core.metrics.CounterWithCallback
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream

private const val NANOS_PER_SECOND = 1e9

/** Configuration figures of a node. */
public data class ConfigFigures(
    public val version: Long,
    /** Wall-clock time of the last apply in seconds, or 0 before the first. */
    public val appliedAtSeconds: Double,
    /** Wall-clock time of the last publish by this node in seconds, or 0 if it published nothing. */
    public val publishedAtSeconds: Double,
    public val applied: Long,
    public val refused: Long,
    public val published: Long,
    public val rejectedFolders: Long,
)

/** Sources of the metrics of a node; called at each scrape. */
public class MetricSources(
    public val config: () -> ConfigFigures,
    public val control: () -> ControlFigures,
    public val transport: () -> TransportFigures,
    public val store: () -> StoreFigures,
    /** Members by status word. */
    public val members: () -> Map<String, Int>,
    public val callsInFlight: () -> Int,
)

/** Registers the metrics of the control side in [registry]. */
public fun registerNodeMetrics(registry: PrometheusRegistry, sources: MetricSources) {
    val metrics = MetricRegistration(registry)
    metrics.registerConfig(sources)
    metrics.registerControl(sources)
    metrics.registerTransport(sources)
    metrics.registerStore(sources)
    metrics.gauges("boragelever_members", "Known members by status", "status") { sources.members() }
    metrics.gauge("boragelever_calls_in_flight", "Calls that are being carried") { sources.callsInFlight().toDouble() }
}

/** Writes the metrics of [registry] in the Prometheus text format. */
public fun renderMetrics(registry: PrometheusRegistry): String {
    val bytes = ByteArrayOutputStream()
    PrometheusTextFormatWriter.create().write(bytes, registry.scrape())
    return bytes.toString(Charsets.UTF_8)
}

private fun MetricRegistration.registerConfig(sources: MetricSources) {
    gauge("boragelever_config_version", "Version in force") { sources.config().version.toDouble() }
    gauge("boragelever_config_applied_timestamp_seconds", "Wall-clock time of the last apply") {
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

private fun MetricRegistration.registerControl(sources: MetricSources) {
    counter("boragelever_control_events", "Events reduced") { sources.control().events.toDouble() }
    counter("boragelever_control_reduce_seconds", "Time spent in the reducer") {
        sources.control().reduceNanos / NANOS_PER_SECOND
    }
    gauge("boragelever_control_reduce_max_seconds", "Longest reduction of one event") {
        sources.control().longestReduceNanos / NANOS_PER_SECOND
    }
    counter("boragelever_control_skipped_ticks", "Ticks left out because the control thread was behind") {
        sources.control().skippedTicks.toDouble()
    }
    counter("boragelever_control_failures", "Events whose reduction failed") { sources.control().failures.toDouble() }
    gauge("boragelever_control_queue_depth", "Events that wait") { sources.control().queueDepth.toDouble() }
}

private fun MetricRegistration.registerTransport(sources: MetricSources) {
    counters("boragelever_control_received_bytes", "Control traffic received", "scope") {
        val bytes = sources.transport().bytes
        mapOf("same_region" to bytes.inSameRegion.toDouble(), "other_region" to bytes.inOtherRegion.toDouble())
    }
    counters("boragelever_control_sent_bytes", "Control traffic sent", "scope") {
        val bytes = sources.transport().bytes
        mapOf("same_region" to bytes.outSameRegion.toDouble(), "other_region" to bytes.outOtherRegion.toDouble())
    }
    gauge("boragelever_peer_connections", "Open connections to peers") {
        sources.transport().openConnections.toDouble()
    }
    counter("boragelever_peer_dropped_messages", "Messages dropped because the peer was slow or unreachable") {
        sources.transport().droppedMessages.toDouble()
    }
}

private fun MetricRegistration.registerStore(sources: MetricSources) {
    counter("boragelever_store_reads", "Read commands to the store") { sources.store().reads.toDouble() }
    counter("boragelever_store_writes", "Write commands to the store") { sources.store().writes.toDouble() }
    counter("boragelever_store_failures", "Commands that the store did not answer") {
        sources.store().failures.toDouble()
    }
}

/** Registers metrics whose values are read at each scrape. */
private class MetricRegistration(private val registry: PrometheusRegistry) {
    fun gauge(name: String, help: String, value: () -> Double) {
        GaugeWithCallback.builder().name(name).help(help).callback { it.call(value()) }.register(registry)
    }

    fun gauges(name: String, help: String, label: String, values: () -> Map<String, Int>) {
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

    fun counters(name: String, help: String, label: String, values: () -> Map<String, Double>) {
        CounterWithCallback
            .builder()
            .name(name)
            .help(help)
            .labelNames(label)
            .callback { target -> values().forEach { (key, value) -> target.call(value, key) } }
            .register(registry)
    }
}
