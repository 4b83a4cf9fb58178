package boragelever.node.proxy

import boragelever.core.InstanceId
import boragelever.core.call.AttemptFailure
import boragelever.core.call.AttemptTarget
import boragelever.core.call.BodyFailure
import boragelever.core.call.CallEffect
import boragelever.core.call.CallEvent
import boragelever.core.call.FailureKind
import boragelever.core.call.Outcome
import boragelever.core.call.RefusalReason
import boragelever.core.call.ResponseInfo
import boragelever.node.net.ConnectionTimeout
import com.github.michaelbull.result.onErr
import com.github.michaelbull.result.onOk
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import java.io.ByteArrayOutputStream
import java.io.IOException

/** Largest refusal body that is discarded to reuse the connection; the refusals of nodes are shorter. */
private const val MAX_REFUSAL_BODY_BYTES = 4_096L

/** Longest time that a call waits for the body of a refusal, which only serves to reuse the connection. */
private const val MAX_DRAIN_MILLIS = 100L
private const val SERVER_ERROR = 500

/** Time within which the calls that a crash interrupts report it. */
private const val CRASH_DETECTION_MILLIS = 1_000L

/** Failure kinds that show that the node accepts no calls at all. */
private val UNREACHABLE = setOf(FailureKind.REFUSED, FailureKind.CONNECT_TIMEOUT, FailureKind.SILENT)

/** Runs the attempts of one call, forwards the chosen response and records load, health and traces. */
internal class AttemptSet(
    private val context: TrafficContext,
    private val call: IncomingCall,
    private val post: (CallEvent) -> Unit,
) {
    private inner class Attempt(val start: CallEffect.StartAttempt, val trace: AttemptTrace) {
        var job: Job? = null
        var exchange: Exchange? = null

        /** Start of the response body, buffered before anything is forwarded. */
        var bufferedBody: ByteArray = ByteArray(0)

        /** Counts the attempt in the load of its endpoint until closed. */
        var loadHandle: AutoCloseable? = null

        /** Lists the call as running in the local upstream until closed. */
        var runningHandle: AutoCloseable? = null
        private var ended = false

        val instance: InstanceId
            get() = when (val target = start.target) {
                is AttemptTarget.RemoteNode -> target.endpoint.instance
                is AttemptTarget.LocalUpstream -> target.upstream.instance
            }

        fun end(result: String, outcome: Outcome?) {
            loadHandle?.close()
            if (!ended) {
                trace.ended(result, outcome)
                results += "$instance $result"
            }
            ended = true
        }
    }

    private val running = mutableMapOf<Int, Attempt>()
    private var recordsResponse = false
    private var recordedBody: ByteArrayOutputStream? = null
    private var maxRecordedBytes = 0L
    private var forwardedBytes = 0L
    private var forwarded: Exchange? = null

    /** Number of attempts started so far. */
    var started = 0
        private set

    /** Instance and result of each ended attempt, separated by a space. */
    val results = mutableListOf<String>()

    /** Starts an attempt in [scope]. */
    fun start(scope: CoroutineScope, start: CallEffect.StartAttempt, trace: CallTrace) {
        started += 1
        val instance = when (val target = start.target) {
            is AttemptTarget.RemoteNode -> target.endpoint.instance
            is AttemptTarget.LocalUpstream -> target.upstream.instance
        }
        val attempt = Attempt(start, trace.attemptStarted(start.attempt, instance))
        running[start.attempt] = attempt
        if (start.target is AttemptTarget.RemoteNode) attempt.loadHandle = context.endpoints.attemptStarted(instance)
        attempt.job = scope.launch { send(scope, attempt) }
    }

    /** Buffers the body of the forwarded response for the claim row, unless it exceeds [maxBytes]. */
    fun recordBody(maxBytes: Long) {
        recordsResponse = true
        recordedBody = ByteArrayOutputStream()
        maxRecordedBytes = maxBytes
    }

    /** Returns the forwarded response, or `null` if none was forwarded. */
    fun forwardedResponse(): ForwardedResponse? {
        val exchange = forwarded ?: return null
        return ForwardedResponse(
            exchange.head.statusCode,
            exchange.head.headers["Content-Type"],
            forwardedBytes,
            recordedBody?.toByteArray(),
        )
    }

    /** Cancels a running attempt and resets its connection. */
    fun cancel(number: Int) {
        val attempt = running.remove(number) ?: return
        attempt.job?.cancel()
        attempt.exchange?.abort()
        attempt.runningHandle?.close()
        attempt.end("cancelled", null)
    }

    /** Records a failure for each endpoint that has not responded by the deadline of the call. */
    fun recordDeadline() {
        running.values.filter { it.exchange == null }.forEach { recordFailure(it) }
    }

    /** Cancels all running attempts. */
    fun close() {
        running.keys.toList().forEach { cancel(it) }
    }

    /** Forwards the head and the body of the response of an attempt. */
    fun forwardResponse(scope: CoroutineScope, number: Int, outcome: Outcome) {
        val attempt = running[number] ?: return
        val exchange = attempt.exchange ?: return
        forwarded = exchange
        val load = (attempt.start.target as? AttemptTarget.LocalUpstream)
            ?.let { context.localUpstreams.load(attempt.instance) }
        val head = forwardedResponseHead(exchange, outcome, load, context.closeHeaders(call))
        call.response.begin(head, exchange.framing)
        attempt.job = scope.launch { forwardBody(attempt, exchange) }
    }

    /** Forwards the body of a resumed attempt after the part that the caller has already received. */
    fun forwardRemainder(scope: CoroutineScope, number: Int) {
        val attempt = running[number] ?: return
        val exchange = attempt.exchange ?: return
        attempt.job = scope.launch { forwardBody(attempt, exchange) }
    }

    private suspend fun send(scope: CoroutineScope, attempt: Attempt) {
        val start = attempt.start
        val head = attemptRequestHead(
            call,
            start,
            context.settings.headerNames,
            context.snapshots.current()?.callingService,
            attempt.trace.traceparent,
        )
        val isUpstream = start.target is AttemptTarget.LocalUpstream
        val request = OutgoingRequest(start.target.address, head, call.body, isUpstream)
        val result = context.client.send(request, start.headTimeoutMillis, start.repeatable, scope) {
            registerRunning(attempt)
        }
        result.onOk { onResponseHead(attempt, it) }.onErr { onFailure(attempt, it) }
    }

    /** From its first byte on, the request may crash the upstream, so the call is listed as running before that. */
    private fun registerRunning(attempt: Attempt) {
        val target = attempt.start.target as? AttemptTarget.LocalUpstream ?: return
        attempt.runningHandle =
            target.fingerprint?.let { context.localUpstreams.callStarted(attempt.instance, it, target.isTrial) }
    }

    private suspend fun onResponseHead(attempt: Attempt, exchange: Exchange) {
        attempt.exchange = exchange
        exchange.setReadTimeout(attempt.start.idleTimeoutMillis)
        val isFromNode = attempt.start.target is AttemptTarget.RemoteNode
        val response = responseInfoOf(
            exchange.head,
            exchange.framing,
            trusted = isFromNode,
            context.settings.headerNames,
        )
        if (isFromNode) {
            parseLoad(exchange.head.headers[LOAD_HEADER])?.let { context.endpoints.recordLoad(attempt.instance, it) }
            recordResult(attempt, response)
        }
        if (response.outcome == Outcome.NOT_RUN) {
            drain(exchange)
            finishAttempt(attempt, response.refusal?.text ?: response.statusCode.toString(), response.outcome)
        }
        val buffersStart = isFromNode && attempt.start.repeatable && response.outcome == Outcome.COMPLETED
        if (buffersStart && !bufferStart(attempt, exchange)) return
        post(CallEvent.ResponseStarted(context.clock.eventContext(), attempt.start.attempt, response))
    }

    /** Buffers the start of the body, so that a response that is truncated early can be requested again. */
    private suspend fun bufferStart(attempt: Attempt, exchange: Exchange): Boolean {
        val sink = ByteArrayOutputStream(bufferBytes(exchange.framing))
        val buffer = ByteArray(bufferBytes(exchange.framing))
        try {
            exchange.body.readUpTo(sink, buffer, context.settings.maxBufferedResponseBytes)
        } catch (malformed: MalformedMessage) {
            return onTruncated(attempt, exchange, FailureKind.MALFORMED)
        } catch (closed: IOException) {
            return onTruncated(attempt, exchange, FailureKind.RESET)
        }
        attempt.bufferedBody = sink.toByteArray()
        return true
    }

    private fun onTruncated(attempt: Attempt, exchange: Exchange, kind: FailureKind): Boolean {
        exchange.abort()
        attempt.exchange = null
        onFailure(attempt, AttemptFailure(kind, requestSent = true))
        return false
    }

    private fun onFailure(attempt: Attempt, failure: AttemptFailure) {
        if (failure.kind != FailureKind.REQUEST_BROKEN) recordFailure(attempt, failure.kind in UNREACHABLE)
        post(CallEvent.AttemptFailed(context.clock.eventContext(), attempt.start.attempt, failure))
        // The call stays listed until it ends, so that a report of the upstream crash includes it.
        attempt.end(failure.kind.name.lowercase(), null)
    }

    private fun recordResult(attempt: Attempt, response: ResponseInfo) {
        val failed = response.outcome == Outcome.UNKNOWN || response.refusal == RefusalReason.UPSTREAM_REFUSED ||
            (response.outcome == Outcome.COMPLETED && response.statusCode >= SERVER_ERROR)
        when {
            failed -> recordFailure(attempt)
            response.outcome == Outcome.COMPLETED -> serviceOf(attempt)?.let {
                context.endpoints.recordSuccess(attempt.instance, it.config.outlier)
            }
        }
    }

    private fun recordFailure(attempt: Attempt, unreachable: Boolean = false) {
        val endpoint = (attempt.start.target as? AttemptTarget.RemoteNode)?.endpoint ?: return
        val service = serviceOf(attempt) ?: return
        if (unreachable) {
            context.endpoints.recordUnreachable(endpoint)
        } else {
            context.endpoints.recordFailure(attempt.instance, service)
        }
    }

    private fun serviceOf(attempt: Attempt) =
        (attempt.start.target as? AttemptTarget.RemoteNode)
            ?.let { context.snapshots.current()?.services?.get(it.endpoint.service) }

    private suspend fun drain(exchange: Exchange) {
        exchange.setReadTimeout(idleMillis = 0, MAX_DRAIN_MILLIS)
        try {
            exchange.body.skip(MAX_REFUSAL_BODY_BYTES)
        } catch (failure: IOException) {
            exchange.abort()
        }
        exchange.finish()
    }

    /** Forwards the body in constant memory: each part is read only after the caller's socket took the previous one. */
    private suspend fun forwardBody(attempt: Attempt, exchange: Exchange) {
        val buffer = ByteArray(if (exchange.body.complete) 0 else bufferBytes(exchange.framing))
        var sentBytes = attempt.bufferedBody.size.toLong()
        var failure = if (sentBytes > 0) forwardPart(attempt.bufferedBody, attempt.bufferedBody.size) else null
        while (failure == null && !exchange.body.complete) {
            val count = try {
                if (!exchange.hasBuffered) writeToCaller { flush() }
                exchange.body.read(buffer)
            } catch (broken: IOException) {
                failure = bodyFailureOf(broken, exchange)
                break
            }
            if (count < 0) break
            failure = forwardPart(buffer, count)
            sentBytes += count
        }
        if (failure == null && !writeToCaller { finish() }) failure = BodyFailure.RECEIVER_GONE
        finishBody(attempt, exchange, sentBytes, failure)
    }

    private suspend fun forwardPart(bytes: ByteArray, count: Int): BodyFailure? {
        record(bytes, count)
        return if (writeToCaller { write(bytes, count) }) null else BodyFailure.RECEIVER_GONE
    }

    private suspend fun bodyFailureOf(broken: IOException, exchange: Exchange): BodyFailure =
        when {
            broken is ConnectionTimeout -> BodyFailure.STALLED
            broken is MalformedMessage -> BodyFailure.MALFORMED
            // A sender that accepts new connections has truncated one response but is alive.
            exchange.senderAcceptsConnections() -> BodyFailure.MALFORMED
            else -> BodyFailure.RESET
        }

    private fun finishBody(attempt: Attempt, exchange: Exchange, sentBytes: Long, failure: BodyFailure?) {
        val number = attempt.start.attempt
        val eventContext = context.clock.eventContext()
        if (failure == null) {
            serviceOf(attempt)?.let { context.responseSizes.record(it.name, sentBytes) }
            recordCompletion(attempt, exchange)
            exchange.finish()
            finishAttempt(attempt, exchange.head.statusCode.toString(), Outcome.COMPLETED)
            post(CallEvent.BodyCompleted(eventContext, number))
        } else {
            exchange.abort()
            if (failure != BodyFailure.RECEIVER_GONE) recordFailure(attempt)
            post(CallEvent.BodyFailed(eventContext, number, sentBytes, failure))
            attempt.end(failure.name.lowercase(), Outcome.UNKNOWN)
        }
    }

    /** Records that the upstream completed the request without crashing. A response of status 5xx shows too little. */
    private fun recordCompletion(attempt: Attempt, exchange: Exchange) {
        val fingerprint = (attempt.start.target as? AttemptTarget.LocalUpstream)?.fingerprint ?: return
        if (exchange.head.statusCode >= SERVER_ERROR) return
        val upstreams = context.localUpstreams
        if (exchange.framing != BodyFraming.UntilClose) {
            upstreams.completedRequests.record(attempt.instance, fingerprint)
            return
        }
        // A crash also closes the connection, which ends such a body.
        val endedMillis = context.clock.nowMillis()
        context.loop.schedule(CRASH_DETECTION_MILLIS) {
            val crashed = upstreams.hasCrashedSince(attempt.instance, endedMillis)
            if (!crashed) upstreams.completedRequests.record(attempt.instance, fingerprint)
        }
    }

    /**
     * Writes to the caller and returns true if forwarding continues.
     *
     * A response that is recorded for client retries is read to its end even if the caller has disconnected.
     */
    private suspend fun writeToCaller(write: suspend ResponseWriter.() -> Unit): Boolean =
        try {
            call.response.write()
            true
        } catch (failure: IOException) {
            recordsResponse
        }

    private fun record(buffer: ByteArray, count: Int) {
        forwardedBytes += count
        if (forwardedBytes > maxRecordedBytes) recordedBody = null else recordedBody?.write(buffer, 0, count)
    }

    private fun finishAttempt(attempt: Attempt, result: String, outcome: Outcome?) {
        attempt.runningHandle?.close()
        attempt.end(result, outcome)
        running.remove(attempt.start.attempt)
    }
}
