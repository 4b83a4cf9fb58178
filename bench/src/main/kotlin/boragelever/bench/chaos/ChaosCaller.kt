package boragelever.bench.chaos

import boragelever.core.IdempotencyKey
import boragelever.core.NetworkAddress
import boragelever.core.NodeId
import boragelever.core.call.Outcome
import boragelever.platform.platformHeaderNames
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration
import java.util.concurrent.CompletableFuture
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random

/** A node of the run with its proxy and admin addresses. */
internal data class ChaosNode(val node: NodeId, val proxy: NetworkAddress, val admin: NetworkAddress)

/** One logical call; the requests that send it (the first and its client retries) differ only in their request ids. */
private data class PlannedCall(val number: Int, val kind: CallKind) {
    val key: IdempotencyKey? = IdempotencyKey("chaos-$number").takeIf { kind == CallKind.BOOKING }

    val method: String = if (kind == CallKind.BOOKING) "POST" else "GET"

    val path: String =
        when (kind) {
            CallKind.BOOKING -> "/bookings/$number"
            CallKind.READ -> "/scans/$number"
            CallKind.DOWNLOAD -> "/download/$number"
        }
}

/**
 * Sends calls at a steady rate to nodes chosen by [seed].
 *
 * A booking is sent again with the same idempotency key until a response with the outcome `completed` arrives, at most
 * [MAX_REQUESTS_PER_CALL] times. A share of the bookings is also sent twice concurrently.
 */
internal class ChaosCaller(
    private val nodes: List<ChaosNode>,
    seed: Long,
    private val observe: (Observation) -> Unit,
) : AutoCloseable {
    private val random = Random(seed)
    private val scheduler = Executors.newScheduledThreadPool(2)
    private val client = HttpClient.newBuilder()
        .version(HttpClient.Version.HTTP_1_1)
        .connectTimeout(CONNECT_TIMEOUT)
        .build()
    private val inFlight = AtomicInteger()
    private val sentRequests = AtomicInteger()
    private var calls = 0

    /** Starts sending [callsPerSecond] calls per second. */
    fun start(callsPerSecond: Int) {
        val period = TimeUnit.SECONDS.toNanos(1) / callsPerSecond
        scheduler.scheduleAtFixedRate(::sendNext, 0, period, TimeUnit.NANOSECONDS)
    }

    /** Stops new calls and waits up to [CLOSE_TIMEOUT_MILLIS] for the calls in flight. */
    override fun close() {
        scheduler.shutdown()
        val deadlineMillis = System.currentTimeMillis() + CLOSE_TIMEOUT_MILLIS
        while (inFlight.get() > 0 && System.currentTimeMillis() < deadlineMillis) Thread.sleep(POLL_INTERVAL_MILLIS)
    }

    /** Sends the next call, or skips it while [MAX_IN_FLIGHT] requests are in flight. */
    private fun sendNext() {
        val kind = CALL_MIX[calls % CALL_MIX.size]
        val call = PlannedCall(calls++, kind)
        val firstNode = nodes.random(random)
        val retryNodes = List(MAX_REQUESTS_PER_CALL - 1) { nodes.random(random) }
        val retriesConcurrently = kind == CallKind.BOOKING && random.nextInt(PERCENT) < CONCURRENT_RETRY_PERCENT
        if (inFlight.get() >= MAX_IN_FLIGHT) return
        send(call, listOf(firstNode) + retryNodes)
        if (retriesConcurrently) send(call, retryNodes.take(1))
    }

    private fun send(call: PlannedCall, nodes: List<ChaosNode>) {
        val node = nodes.first()
        val request = RequestId("r${sentRequests.incrementAndGet()}")
        val startedMillis = System.currentTimeMillis()
        inFlight.incrementAndGet()
        exchange(call, node, request).whenComplete { response, failure ->
            val result = if (response == null) failedResult(failure) else responseResult(call, response)
            val endedMillis = System.currentTimeMillis()
            observe(Observation.CallEnded(endedMillis, startedMillis, request, node.node, call.kind, result))
            val retryNodes = nodes.drop(1)
            if (call.key != null && result.isRetried() && retryNodes.isNotEmpty()) scheduleClientRetry(call, retryNodes)
            inFlight.decrementAndGet()
        }
    }

    private fun scheduleClientRetry(call: PlannedCall, nodes: List<ChaosNode>) {
        if (!scheduler.isShutdown) scheduler.schedule({ send(call, nodes) }, RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS)
    }

    private fun exchange(
        call: PlannedCall,
        node: ChaosNode,
        request: RequestId,
    ): CompletableFuture<HttpResponse<ByteArray>> {
        val body = if (call.key == null) {
            HttpRequest.BodyPublishers.noBody()
        } else {
            HttpRequest.BodyPublishers.ofString("""{"booking":${call.number}}""")
        }
        val builder = HttpRequest.newBuilder(URI("http://${node.proxy}${call.path}"))
            .timeout(CALL_TIMEOUT)
            .header(REQUEST_ID_HEADER, request.value)
            .method(call.method, body)
        call.key?.let { builder.header("Idempotency-Key", it.value) }
        return client.sendAsync(builder.build(), HttpResponse.BodyHandlers.ofByteArray())
    }

    private companion object {
        val REQUEST_ID_HEADER = checkNotNull(platformHeaderNames.requestIdHeader)
        val CALL_MIX = listOf(
            CallKind.BOOKING,
            CallKind.READ,
            CallKind.BOOKING,
            CallKind.READ,
            CallKind.DOWNLOAD,
        )
        val CONNECT_TIMEOUT: Duration = Duration.ofSeconds(1)
        val CALL_TIMEOUT: Duration = Duration.ofSeconds(4)
        const val MAX_IN_FLIGHT = 300
        const val MAX_REQUESTS_PER_CALL = 3
        const val CLOSE_TIMEOUT_MILLIS = 6_000L
        const val POLL_INTERVAL_MILLIS = 20L
        const val RETRY_DELAY_MILLIS = 300L
        const val CONCURRENT_RETRY_PERCENT = 5
        const val PERCENT = 100
    }
}

/** True if the call is not known to have completed, so that a booking is sent again with its key. */
private fun CallResult.isRetried(): Boolean =
    when (this) {
        is CallResult.Failed -> true
        is CallResult.Responded -> outcome != Outcome.COMPLETED
    }

private fun failedResult(failure: Throwable?): CallResult {
    val cause = generateSequence(failure) { it.cause }.lastOrNull()
    return CallResult.Failed(cause?.let { "${it::class.simpleName} ${it.message.orEmpty()}" } ?: "no response")
}

private fun responseResult(call: PlannedCall, response: HttpResponse<ByteArray>): CallResult {
    val outcome = Outcome.parse(response.headers().firstValue("boragelever-outcome").orElse(null))
    val reason = response.headers().firstValue("boragelever-reason").orElse(null)
    val body = when {
        response.statusCode() !in 200..299 -> BodyCheck.ERROR
        isExpectedBody(call, response.body()) -> BodyCheck.EXPECTED
        else -> BodyCheck.UNEXPECTED
    }
    return CallResult.Responded(response.statusCode(), outcome, reason, body)
}

private fun isExpectedBody(call: PlannedCall, body: ByteArray): Boolean =
    when (call.kind) {
        CallKind.DOWNLOAD -> body.contentEquals(expectedDownload)
        CallKind.BOOKING, CallKind.READ -> {
            val echoPrefix = """{"method":"${call.method}","path":"${call.path}","""
            body.decodeToString().startsWith(echoPrefix) && body.last() == '}'.code.toByte()
        }
    }

private val expectedDownload: ByteArray =
    boragelever.standin.UpstreamBody.Download(0, DOWNLOAD_BYTES - 1, DOWNLOAD_BYTES).bytes()
