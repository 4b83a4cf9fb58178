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

/** A node with the addresses that the run gave it. */
internal data class ChaosNode(val node: NodeId, val proxy: NetworkAddress, val admin: NetworkAddress)

/** A call as a caller means it; its requests differ only in their ids. */
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
 * A caller of a booking repeats it with its key while the answer is unknown, and some repeat it at once.
 */
internal class ChaosCaller(
    private val nodes: List<ChaosNode>,
    seed: Long,
    private val observe: (Observation) -> Unit,
) : AutoCloseable {
    private val random = Random(seed)
    private val clock = Executors.newScheduledThreadPool(2)
    private val client = HttpClient.newBuilder()
        .version(HttpClient.Version.HTTP_1_1)
        .connectTimeout(CONNECT_TIMEOUT)
        .build()
    private val inFlight = AtomicInteger()
    private val requests = AtomicInteger()
    private var calls = 0

    /** Begins to send [callsPerSecond]. */
    fun start(callsPerSecond: Int) {
        val period = TimeUnit.SECONDS.toNanos(1) / callsPerSecond
        clock.scheduleAtFixedRate(::next, 0, period, TimeUnit.NANOSECONDS)
    }

    /** Stops new calls and waits, up to a bound, for the answers of the others. */
    override fun close() {
        clock.shutdown()
        val end = System.currentTimeMillis() + MAX_WAIT_MILLIS
        while (inFlight.get() > 0 && System.currentTimeMillis() < end) Thread.sleep(POLL_MILLIS)
    }

    /** Plans the next call; left out while [MAX_IN_FLIGHT] calls wait. */
    private fun next() {
        val kind = MIX[calls % MIX.size]
        val call = PlannedCall(calls++, kind)
        val first = nodes.random(random)
        val others = List(MAX_REQUESTS - 1) { nodes.random(random) }
        val isImpatient = kind == CallKind.BOOKING && random.nextInt(PERCENT) < IMPATIENT_PERCENT
        if (inFlight.get() >= MAX_IN_FLIGHT) return
        send(call, listOf(first) + others)
        if (isImpatient) send(call, others.take(1))
    }

    private fun send(call: PlannedCall, nodes: List<ChaosNode>) {
        val node = nodes.first()
        val request = RequestId("r${requests.incrementAndGet()}")
        val startedMillis = System.currentTimeMillis()
        inFlight.incrementAndGet()
        exchange(call, node, request).whenComplete { response, failure ->
            val result = if (response == null) broken(failure) else answered(call, response)
            val endedMillis = System.currentTimeMillis()
            observe(Observation.CallEnded(endedMillis, startedMillis, request, node.node, call.kind, result))
            val rest = nodes.drop(1)
            if (call.key != null && result.isOpen() && rest.isNotEmpty()) repeatLater(call, rest)
            inFlight.decrementAndGet()
        }
    }

    private fun repeatLater(call: PlannedCall, nodes: List<ChaosNode>) {
        if (!clock.isShutdown) clock.schedule({ send(call, nodes) }, REPEAT_MILLIS, TimeUnit.MILLISECONDS)
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
            .header(REQUEST_ID, request.value)
            .method(call.method, body)
        call.key?.let { builder.header("Idempotency-Key", it.value) }
        return client.sendAsync(builder.build(), HttpResponse.BodyHandlers.ofByteArray())
    }

    private companion object {
        val REQUEST_ID = checkNotNull(platformHeaderNames.requestIdHeader)
        val MIX = listOf(
            CallKind.BOOKING,
            CallKind.READ,
            CallKind.BOOKING,
            CallKind.READ,
            CallKind.DOWNLOAD,
        )
        val CONNECT_TIMEOUT: Duration = Duration.ofSeconds(1)
        val CALL_TIMEOUT: Duration = Duration.ofSeconds(4)
        const val MAX_IN_FLIGHT = 300
        const val MAX_REQUESTS = 3
        const val MAX_WAIT_MILLIS = 6_000L
        const val POLL_MILLIS = 20L
        const val REPEAT_MILLIS = 300L
        const val IMPATIENT_PERCENT = 5
        const val PERCENT = 100
    }
}

/** True if the caller can't tell whether the call ran. */
private fun CallResult.isOpen(): Boolean =
    when (this) {
        is CallResult.Broken -> true
        is CallResult.Answered -> outcome != Outcome.COMPLETED
    }

private fun broken(failure: Throwable?): CallResult {
    val cause = generateSequence(failure) { it.cause }.lastOrNull()
    return CallResult.Broken(cause?.let { "${it::class.simpleName} ${it.message.orEmpty()}" } ?: "no answer")
}

private fun answered(call: PlannedCall, response: HttpResponse<ByteArray>): CallResult {
    val outcome = Outcome.parse(response.headers().firstValue("boragelever-outcome").orElse(null))
    val reason = response.headers().firstValue("boragelever-reason").orElse(null)
    val body = when {
        response.statusCode() !in 200..299 -> BodyCheck.ERROR
        isWhole(call, response.body()) -> BodyCheck.WHOLE
        else -> BodyCheck.WRONG
    }
    return CallResult.Answered(response.statusCode(), outcome, reason, body)
}

private fun isWhole(call: PlannedCall, body: ByteArray): Boolean =
    when (call.kind) {
        CallKind.DOWNLOAD -> body.contentEquals(expectedDownload)
        CallKind.BOOKING, CallKind.READ -> {
            val echo = """{"method":"${call.method}","path":"${call.path}","""
            body.decodeToString().startsWith(echo) && body.last() == '}'.code.toByte()
        }
    }

private val expectedDownload: ByteArray =
    boragelever.standin.UpstreamBody.Download(0, DOWNLOAD_BYTES - 1, DOWNLOAD_BYTES).bytes()
