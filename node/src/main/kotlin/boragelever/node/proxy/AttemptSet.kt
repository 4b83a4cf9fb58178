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
import boragelever.node.net.ConnectionSilent
import com.github.michaelbull.result.onErr
import com.github.michaelbull.result.onOk
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import java.io.ByteArrayOutputStream
import java.io.IOException

/** A refusal of a node is a short text; a longer body is not read but cut off. */
private const val MAX_REFUSAL_BYTES = 4_096L
private const val SERVER_ERROR = 500

/** Failures by which a node shows that it takes no calls at all. */
private val UNREACHABLE = setOf(FailureKind.REFUSED, FailureKind.CONNECT_TIMEOUT, FailureKind.SILENT)

/** The attempts of one call, with what is counted and traced for them. */
internal class AttemptSet(
    private val context: TrafficContext,
    private val call: IncomingCall,
    private val post: (CallEvent) -> Unit,
) {
    private inner class Attempt(val start: CallEffect.StartAttempt, val trace: AttemptTrace) {
        var job: Job? = null
        var exchange: Exchange? = null

        /** Beginning of the body, read before anything is passed on. */
        var held: ByteArray = ByteArray(0)

        /** Counts the attempt as load of its endpoint. */
        var counted: AutoCloseable? = null

        /** Names the call among those that run in the local upstream. */
        var listed: AutoCloseable? = null
        private var ended = false

        val instance: InstanceId
            get() = when (val target = start.target) {
                is AttemptTarget.RemoteNode -> target.endpoint.instance
                is AttemptTarget.LocalUpstream -> target.upstream.instance
            }

        fun end(result: String, outcome: Outcome?) {
            counted?.close()
            if (!ended) {
                trace.ended(result, outcome)
                results += "$instance $result"
            }
            ended = true
        }
    }

    private val running = mutableMapOf<Int, Attempt>()
    private var keeping = false
    private var kept: ByteArrayOutputStream? = null
    private var keepLimit = 0L
    private var keptBytes = 0L
    private var passed: Exchange? = null

    /** Attempts started so far. */
    var started = 0
        private set

    /** Instance and result of each attempt that has ended. */
    val results = mutableListOf<String>()

    fun start(scope: CoroutineScope, start: CallEffect.StartAttempt, trace: CallTrace) {
        started += 1
        val instance = when (val target = start.target) {
            is AttemptTarget.RemoteNode -> target.endpoint.instance
            is AttemptTarget.LocalUpstream -> target.upstream.instance
        }
        val attempt = Attempt(start, trace.attemptStarted(start.attempt, instance))
        running[start.attempt] = attempt
        if (start.target is AttemptTarget.RemoteNode) attempt.counted = context.endpoints.begin(instance)
        attempt.job = scope.launch { send(scope, attempt) }
    }

    /** Keeps the body of the answer that is passed on, up to [maxBytes]. */
    fun keepAnswer(maxBytes: Long) {
        keeping = true
        kept = ByteArrayOutputStream()
        keepLimit = maxBytes
    }

    /** The answer that was passed on, or `null` if none was. */
    fun keptAnswer(): KeptAnswer? {
        val exchange = passed ?: return null
        return KeptAnswer(
            exchange.head.statusCode,
            exchange.head.headers["Content-Type"],
            keptBytes,
            kept?.toByteArray(),
        )
    }

    fun cancel(number: Int) {
        val attempt = running.remove(number) ?: return
        attempt.job?.cancel()
        attempt.exchange?.abort()
        attempt.listed?.close()
        attempt.end("cancelled", null)
    }

    /** An endpoint that used up the whole time of a call counts as failed. */
    fun noteDeadline() {
        running.values.filter { it.exchange == null }.forEach { noteFailure(it) }
    }

    fun close() {
        running.keys.toList().forEach { cancel(it) }
    }

    fun passAnswer(scope: CoroutineScope, number: Int, outcome: Outcome) {
        val attempt = running[number] ?: return
        val exchange = attempt.exchange ?: return
        passed = exchange
        val load = (attempt.start.target as? AttemptTarget.LocalUpstream)?.let { context.locals.load(attempt.instance) }
        val head = passedHead(exchange, outcome, load, context.closing(call))
        call.reply.begin(head, exchange.framing)
        attempt.job = scope.launch { pass(attempt, exchange) }
    }

    fun passRest(scope: CoroutineScope, number: Int) {
        val attempt = running[number] ?: return
        val exchange = attempt.exchange ?: return
        attempt.job = scope.launch { pass(attempt, exchange) }
    }

    private suspend fun send(scope: CoroutineScope, attempt: Attempt) {
        val start = attempt.start
        val head = attemptHead(
            call,
            start,
            context.settings.dialect,
            context.snapshots.current()?.callingService,
            attempt.trace.traceparent,
        )
        val isUpstream = start.target is AttemptTarget.LocalUpstream
        val request = OutgoingRequest(start.target.address, head, call.body, isUpstream)
        val result = context.client.send(request, start.headTimeoutMillis, start.repeatable, scope) {
            noteRunning(attempt)
        }
        result.onOk { answered(attempt, it) }.onErr { failed(attempt, it) }
    }

    /** From the first byte on, the request may be what the upstream dies of. */
    private fun noteRunning(attempt: Attempt) {
        val target = attempt.start.target as? AttemptTarget.LocalUpstream ?: return
        attempt.listed = target.fingerprint?.let { context.locals.running(attempt.instance, it) }
    }

    private suspend fun answered(attempt: Attempt, exchange: Exchange) {
        attempt.exchange = exchange
        exchange.boundWaits(attempt.start.idleTimeoutMillis)
        val fromNode = attempt.start.target is AttemptTarget.RemoteNode
        val stated = answerHeadOf(exchange.head, exchange.framing, trusted = fromNode, context.settings.dialect)
        if (fromNode) {
            parseLoad(exchange.head.headers[LOAD])?.let { context.endpoints.report(attempt.instance, it) }
            noteAnswer(attempt, stated)
        }
        if (stated.outcome == Outcome.NOT_RUN) {
            drain(exchange)
            settle(attempt, stated.refusal?.text ?: stated.statusCode.toString(), stated.outcome)
        }
        val isHeld = fromNode && attempt.start.repeatable && stated.outcome == Outcome.COMPLETED
        if (isHeld && !hold(attempt, exchange)) return
        post(CallEvent.ResponseStarted(context.clock.eventContext(), attempt.start.attempt, stated))
    }

    /** Reads the body up to a limit, so that a response that breaks off early can be asked for again. */
    private suspend fun hold(attempt: Attempt, exchange: Exchange): Boolean {
        val sink = ByteArrayOutputStream(bufferBytes(exchange.framing))
        val buffer = ByteArray(bufferBytes(exchange.framing))
        try {
            exchange.body.gather(sink, buffer, context.settings.heldAnswerBytes)
        } catch (malformed: MalformedMessage) {
            return brokeOff(attempt, exchange, FailureKind.MALFORMED)
        } catch (ended: IOException) {
            return brokeOff(attempt, exchange, FailureKind.RESET)
        }
        attempt.held = sink.toByteArray()
        return true
    }

    private fun brokeOff(attempt: Attempt, exchange: Exchange, kind: FailureKind): Boolean {
        exchange.abort()
        attempt.exchange = null
        failed(attempt, AttemptFailure(kind, requestSent = true))
        return false
    }

    private fun failed(attempt: Attempt, failure: AttemptFailure) {
        if (failure.kind != FailureKind.REQUEST_BROKEN) noteFailure(attempt, failure.kind in UNREACHABLE)
        post(CallEvent.AttemptFailed(context.clock.eventContext(), attempt.start.attempt, failure))
        // The call stays listed until it ends, so that a report of the upstream's death names it.
        attempt.end(failure.kind.name.lowercase(), null)
    }

    private fun noteAnswer(attempt: Attempt, answer: ResponseInfo) {
        val failed = answer.outcome == Outcome.UNKNOWN || answer.refusal == RefusalReason.UPSTREAM_REFUSED ||
            (answer.outcome == Outcome.COMPLETED && answer.statusCode >= SERVER_ERROR)
        when {
            failed -> noteFailure(attempt)
            answer.outcome == Outcome.COMPLETED -> serviceOf(attempt)?.let {
                context.endpoints.succeeded(attempt.instance, it.config.outlier)
            }
        }
    }

    private fun noteFailure(attempt: Attempt, unreachable: Boolean = false) {
        val endpoint = (attempt.start.target as? AttemptTarget.RemoteNode)?.endpoint ?: return
        val service = serviceOf(attempt) ?: return
        if (unreachable) {
            context.endpoints.unreachable(endpoint)
        } else {
            context.endpoints.failed(attempt.instance, service)
        }
    }

    private fun serviceOf(attempt: Attempt) =
        (attempt.start.target as? AttemptTarget.RemoteNode)
            ?.let { context.snapshots.current()?.services?.get(it.endpoint.service) }

    private suspend fun drain(exchange: Exchange) {
        try {
            exchange.body.skip(MAX_REFUSAL_BYTES)
        } catch (failure: IOException) {
            exchange.abort()
        }
        exchange.end()
    }

    /** Passes the body on in constant memory: the next part is read only after the caller's socket took the last. */
    private suspend fun pass(attempt: Attempt, exchange: Exchange) {
        val buffer = ByteArray(if (exchange.body.complete) 0 else bufferBytes(exchange.framing))
        var sent = attempt.held.size.toLong()
        var failure = if (sent > 0) passPart(attempt.held, attempt.held.size) else null
        while (failure == null && !exchange.body.complete) {
            val count = try {
                if (!exchange.hasBuffered) tell { flush() }
                exchange.body.read(buffer)
            } catch (broken: IOException) {
                failure = failureOf(broken, exchange)
                break
            }
            if (count < 0) break
            failure = passPart(buffer, count)
            sent += count
        }
        if (failure == null && !tell { finish() }) failure = BodyFailure.RECEIVER_GONE
        conclude(attempt, exchange, sent, failure)
    }

    private suspend fun passPart(bytes: ByteArray, count: Int): BodyFailure? {
        keep(bytes, count)
        return if (tell { write(bytes, count) }) null else BodyFailure.RECEIVER_GONE
    }

    private suspend fun failureOf(broken: IOException, exchange: Exchange): BodyFailure =
        when {
            broken is ConnectionSilent -> BodyFailure.STALLED
            broken is MalformedMessage -> BodyFailure.MALFORMED
            // A sender that accepts new connections has broken off one answer but is alive.
            exchange.senderAccepts() -> BodyFailure.MALFORMED
            else -> BodyFailure.RESET
        }

    private fun conclude(attempt: Attempt, exchange: Exchange, sent: Long, failure: BodyFailure?) {
        val number = attempt.start.attempt
        val eventContext = context.clock.eventContext()
        if (failure == null) {
            serviceOf(attempt)?.let { context.sizes.note(it.name, sent) }
            exchange.end()
            settle(attempt, exchange.head.statusCode.toString(), Outcome.COMPLETED)
            post(CallEvent.BodyCompleted(eventContext, number))
        } else {
            exchange.abort()
            if (failure != BodyFailure.RECEIVER_GONE) noteFailure(attempt)
            post(CallEvent.BodyFailed(eventContext, number, sent, failure))
            attempt.end(failure.name.lowercase(), Outcome.UNKNOWN)
        }
    }

    /** Writes to the caller. An answer that is kept for a repeat is read to its end even if the caller is gone. */
    private suspend fun tell(write: suspend ReplyWriter.() -> Unit): Boolean =
        try {
            call.reply.write()
            true
        } catch (failure: IOException) {
            keeping
        }

    private fun keep(buffer: ByteArray, count: Int) {
        keptBytes += count
        if (keptBytes > keepLimit) kept = null else kept?.write(buffer, 0, count)
    }

    private fun settle(attempt: Attempt, result: String, outcome: Outcome?) {
        attempt.listed?.close()
        attempt.end(result, outcome)
        running.remove(attempt.start.attempt)
    }
}
