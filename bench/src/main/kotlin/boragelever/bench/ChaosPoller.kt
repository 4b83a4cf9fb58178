package boragelever.bench

import boragelever.core.ConfigVersion
import boragelever.core.Digest
import boragelever.node.admin.NodeStatus
import boragelever.node.admin.adminJson
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration
import java.util.concurrent.CompletableFuture
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean

/** Reads status and metrics of the nodes at fixed intervals, with one request of each kind open per node. */
internal class ChaosPoller(
    private val nodes: List<ChaosNode>,
    private val observe: (Observation) -> Unit,
) : AutoCloseable {
    private val clock = Executors.newSingleThreadScheduledExecutor()
    private val client = HttpClient.newBuilder()
        .version(HttpClient.Version.HTTP_1_1)
        .connectTimeout(TIMEOUT)
        .build()

    fun start() {
        nodes.forEach { node ->
            val statusBusy = AtomicBoolean()
            val metricsBusy = AtomicBoolean()
            every(STATUS_MILLIS, statusBusy) { fetch(node, "/status").thenAccept { readStatus(node, it) } }
            every(METRICS_MILLIS, metricsBusy) { fetch(node, "/metrics").thenAccept { readMetrics(node, it) } }
        }
    }

    override fun close() {
        clock.shutdownNow()
    }

    private fun every(periodMillis: Long, busy: AtomicBoolean, ask: () -> CompletableFuture<*>) {
        val task = Runnable {
            if (busy.compareAndSet(false, true)) ask().whenComplete { _, _ -> busy.set(false) }
        }
        clock.scheduleAtFixedRate(task, 0, periodMillis, TimeUnit.MILLISECONDS)
    }

    private fun fetch(node: ChaosNode, path: String): CompletableFuture<String> {
        val request = HttpRequest.newBuilder(URI("http://${node.admin}$path")).timeout(TIMEOUT).build()
        return client.sendAsync(request, HttpResponse.BodyHandlers.ofString()).thenApply { it.body() }
    }

    private fun readStatus(node: ChaosNode, text: String) {
        val nowMillis = System.currentTimeMillis()
        val status = adminJson.decodeFromString(NodeStatus.serializer(), text)
        val config = status.config ?: return
        observe(
            Observation.StatusSeen(
                nowMillis,
                node.node,
                ConfigVersion(config.version),
                Digest(config.digest),
                nowMillis - (config.ageMs ?: 0),
                status.publisher.folderErrors.isNotEmpty(),
            ),
        )
    }

    private fun readMetrics(node: ChaosNode, text: String) {
        observe(Observation.VolumeRead(System.currentTimeMillis(), node.node, parseVolume(text)))
    }

    private companion object {
        val TIMEOUT: Duration = Duration.ofSeconds(1)
        const val STATUS_MILLIS = 200L
        const val METRICS_MILLIS = 1_000L
    }
}

/** Reads the control traffic from metrics in the Prometheus text format. */
internal fun parseVolume(metrics: String): ControlVolume {
    val values = metrics.lineSequence().mapNotNull { VOLUME_LINE.matchEntire(it)?.destructured }
        .associate { (direction, scope, value) -> (direction to scope) to value.toDouble().toLong() }
    val receivedAcross = values["received" to "other_region"] ?: 0
    val sentAcross = values["sent" to "other_region"] ?: 0
    return ControlVolume(
        receivedAcross + (values["received" to "same_region"] ?: 0),
        sentAcross + (values["sent" to "same_region"] ?: 0),
        receivedAcross,
        sentAcross,
    )
}

private val VOLUME_LINE = Regex("""boragelever_control_(received|sent)_bytes_total\{scope="(\w+)"} (\S+)""")
