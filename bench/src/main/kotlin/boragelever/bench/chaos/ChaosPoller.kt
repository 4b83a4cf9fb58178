package boragelever.bench.chaos

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

/** Polls status and metrics of the nodes periodically, with at most one request of each kind in flight per node. */
internal class ChaosPoller(
    private val nodes: List<ChaosNode>,
    private val observe: (Observation) -> Unit,
) : AutoCloseable {
    private val scheduler = Executors.newSingleThreadScheduledExecutor()
    private val client = HttpClient.newBuilder()
        .version(HttpClient.Version.HTTP_1_1)
        .connectTimeout(TIMEOUT)
        .build()

    fun start() {
        nodes.forEach { node ->
            val statusInFlight = AtomicBoolean()
            val metricsInFlight = AtomicBoolean()
            poll(STATUS_PERIOD_MILLIS, statusInFlight) { fetch(node, "/status").thenAccept { readStatus(node, it) } }
            poll(METRICS_PERIOD_MILLIS, metricsInFlight) {
                fetch(node, "/metrics").thenAccept { readMetrics(node, it) }
            }
        }
    }

    override fun close() {
        scheduler.shutdownNow()
    }

    private fun poll(periodMillis: Long, inFlight: AtomicBoolean, request: () -> CompletableFuture<*>) {
        val task = Runnable {
            if (inFlight.compareAndSet(false, true)) request().whenComplete { _, _ -> inFlight.set(false) }
        }
        scheduler.scheduleAtFixedRate(task, 0, periodMillis, TimeUnit.MILLISECONDS)
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
            Observation.StatusObserved(
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
        const val STATUS_PERIOD_MILLIS = 200L
        const val METRICS_PERIOD_MILLIS = 1_000L
    }
}

/** Parses the control traffic from [metrics] in the Prometheus text format. */
internal fun parseVolume(metrics: String): ControlVolume {
    val values = metrics.lineSequence().mapNotNull { VOLUME_REGEX.matchEntire(it)?.destructured }
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

private val VOLUME_REGEX = Regex("""boragelever_control_(received|sent)_bytes_total\{scope="(\w+)"} (\S+)""")
