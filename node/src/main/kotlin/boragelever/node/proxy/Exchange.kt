package boragelever.node.proxy

import boragelever.core.NetworkAddress
import boragelever.core.call.AttemptFailure
import boragelever.core.call.FailureKind
import boragelever.node.net.ConnectionTimeout
import boragelever.node.net.ReadTimeout
import boragelever.node.net.UnexpectedEndOfStream
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import java.io.IOException
import java.net.ConnectException
import java.nio.ByteBuffer
import java.util.concurrent.TimeUnit

/** Longest idle time of a connection that is reused for a call that must not be repeated. */
private const val SAFE_IDLE_MILLIS = 1_000L

/** Upper limit of the size of a response head. */
private const val MAX_RESPONSE_HEAD_BYTES = 65_536

/** Time without a byte after which a repeatable call leaves a node for another; spans three interim responses. */
private const val HOP_IDLE_TIMEOUT_MILLIS = 1_500L

/** Shortest wait that tells an unreachable node from a slow instance: interim responses come every 450 ms. */
private const val MIN_SILENCE_MILLIS = 600L

/**
 * Failure kind of an attempt that timed out without a response head after [waitedMillis].
 *
 * @param receivedInterim true if an interim response arrived.
 * @param isExpired true if the timeout of the attempt ended the wait, false if the time without a byte did.
 */
internal fun timeoutKind(waitedMillis: Long, receivedInterim: Boolean, isExpired: Boolean): FailureKind =
    if (waitedMillis < MIN_SILENCE_MILLIS || (receivedInterim && isExpired)) FailureKind.SLOW else FailureKind.SILENT

/** A request to be sent. */
internal class OutgoingRequest(
    val target: NetworkAddress,
    val head: RequestHead,
    val body: CallBody,
    /** True if the receiver is an upstream, whose responses have to be verified. */
    val toUpstream: Boolean = false,
)

/** A request/response exchange whose response head has been read. */
internal class Exchange(
    private val pool: ConnectionPool,
    private val connection: PooledConnection,
    private val requestWriter: Job?,
    val head: ResponseHead,
    val framing: BodyFraming,
) {
    val body = BodyReader(connection.input, framing)

    /**
     * Sets the longest time without a byte of the body, and for all of it from now on; a longer wait throws
     * [ConnectionTimeout].
     */
    fun setReadTimeout(idleMillis: Long, totalMillis: Long? = null) {
        connection.input.readTimeout = ReadTimeout(idleMillis, totalMillis)
    }

    /** True if bytes of the body can be read without waiting. */
    val hasBuffered: Boolean get() = connection.input.hasBuffered

    /** Ends the exchange. The connection is reused only if nothing is left on it in either direction. */
    fun finish() {
        val requestSent = requestWriter?.isCompleted ?: true
        val isInSync = requestSent && !connection.outOfSync && framing != BodyFraming.UntilClose
        val canReuse = isInSync && body.complete && !connection.input.hasBuffered &&
            !head.headers.hasToken("Connection", "close")
        if (canReuse) pool.release(connection) else abort()
    }

    /** Resets the connection, which cancels the request at the sender of the response. */
    fun abort() {
        requestWriter?.cancel()
        connection.socket.reset()
    }

    /** True if the sender accepts new connections; then a truncated body does not mean that it has crashed. */
    suspend fun senderAcceptsConnections(): Boolean = pool.acceptsConnections(connection.target)
}

/** Sends requests and reads the heads of their responses. */
internal class ExchangeClient(private val pool: ConnectionPool, private val settings: ProxySettings) {
    /**
     * Sends [request] and waits at most [headTimeoutMillis] for the response head.
     *
     * @param repeatable true if the request may be sent again after a failure.
     * @param scope sends a streamed body, which may continue after the response head has arrived.
     * @param onDispatch called before the first byte is sent.
     */
    suspend fun send(
        request: OutgoingRequest,
        headTimeoutMillis: Long,
        repeatable: Boolean,
        scope: CoroutineScope,
        onDispatch: () -> Unit,
    ): Result<Exchange, AttemptFailure> {
        val maxIdle = if (repeatable) settings.pooledIdleMillis else minOf(SAFE_IDLE_MILLIS, settings.pooledIdleMillis)
        val connection = try {
            pool.acquire(request.target, maxIdle)
        } catch (refused: ConnectException) {
            return Err(AttemptFailure(FailureKind.REFUSED, requestSent = false))
        } catch (failure: IOException) {
            return Err(AttemptFailure(FailureKind.CONNECT_TIMEOUT, requestSent = false))
        }
        val writer = RequestWriter(request, connection, scope)
        return sendAndReceive(request, connection, writer, headTimeoutMillis, repeatable, onDispatch)
    }

    private suspend fun sendAndReceive(
        request: OutgoingRequest,
        connection: PooledConnection,
        writer: RequestWriter,
        headTimeoutMillis: Long,
        repeatable: Boolean,
        onDispatch: () -> Unit,
    ): Result<Exchange, AttemptFailure> {
        val sentBytesBefore = connection.socket.sentBytes
        val startNanos = System.nanoTime()
        connection.receivedInterim = false
        var exchange: Exchange? = null
        try {
            connection.input.readTimeout = ReadTimeout(hopIdleTimeoutMillis(request, repeatable), headTimeoutMillis)
            onDispatch()
            writer.start()
            return Ok(readResponse(request, connection, writer).also { exchange = it })
        } catch (timeout: ConnectionTimeout) {
            return timeoutFailure(connection, sentBytesBefore, System.nanoTime() - startNanos)
        } catch (failure: IOException) {
            val kind = writer.callerFailure ?: failureKindOf(failure, request, connection)
            return Err(AttemptFailure(kind, connection.socket.sentBytes > sentBytesBefore))
        } finally {
            if (exchange == null) {
                writer.job?.cancel()
                connection.socket.reset()
            }
        }
    }

    private suspend fun readResponse(
        request: OutgoingRequest,
        connection: PooledConnection,
        writer: RequestWriter,
    ): Exchange {
        val headerNames = settings.headerNames
        while (true) {
            val head = readResponseHead(connection.input, MAX_RESPONSE_HEAD_BYTES) { connection.receivedInterim = true }
            val framing = framingOf(head, request.head.method)
            if (!request.toUpstream || matchesRequest(request, head)) {
                if (request.toUpstream && !hasRequiredSignature(head, headerNames)) {
                    throw MalformedMessage(BAD_GATEWAY, "the response lacks the signature header of the upstream")
                }
                return Exchange(pool, connection, writer.job, head, framing)
            }
            skipResponse(connection, framing)
        }
    }

    /**
     * Returns the longest time without a byte from the receiver; 0 means no limit.
     *
     * A node sends interim responses while it waits for its upstream; an upstream does not. A call that must not be
     * repeated gains nothing from leaving a node, so it has no limit.
     */
    private fun hopIdleTimeoutMillis(request: OutgoingRequest, repeatable: Boolean): Long =
        if (repeatable && !request.toUpstream) HOP_IDLE_TIMEOUT_MILLIS else 0

    private fun matchesRequest(request: OutgoingRequest, head: ResponseHead): Boolean {
        val name = settings.headerNames.requestIdHeader ?: return true
        val responseId = head.headers[name] ?: return true
        return responseId == request.head.headers[name]
    }

    /** Discards a response to an earlier request; the connection is not reused. */
    private suspend fun skipResponse(connection: PooledConnection, framing: BodyFraming) {
        if (framing == BodyFraming.UntilClose) throw UnexpectedEndOfStream()
        connection.outOfSync = true
        BodyReader(connection.input, framing).skip()
    }

    private fun timeoutFailure(
        connection: PooledConnection,
        sentBytesBefore: Long,
        waitedNanos: Long,
    ): Result<Exchange, AttemptFailure> {
        val waitedMillis = TimeUnit.NANOSECONDS.toMillis(waitedNanos)
        val kind = timeoutKind(waitedMillis, connection.receivedInterim, connection.input.readTimeout.isExpired)
        // Other connections to the same target have probably failed too; the next attempt opens a new one.
        if (kind == FailureKind.SILENT) pool.closeIdle(connection.target)
        return Err(AttemptFailure(kind, connection.socket.sentBytes > sentBytesBefore))
    }

    private suspend fun failureKindOf(
        failure: IOException,
        request: OutgoingRequest,
        connection: PooledConnection,
    ): FailureKind =
        when {
            failure is MalformedMessage -> FailureKind.MALFORMED
            // An upstream that accepts connections is alive and has only lost one response.
            request.toUpstream && pool.acceptsConnections(connection.target) -> FailureKind.CLOSED_IDLE
            else -> FailureKind.RESET
        }
}

/** Sends one request: a buffered body together with the head, a streamed one while the response is read. */
private class RequestWriter(
    private val request: OutgoingRequest,
    private val connection: PooledConnection,
    private val scope: CoroutineScope,
) {
    var job: Job? = null
        private set

    /** Set if the request body could not be read from the caller. */
    @Volatile
    var callerFailure: FailureKind? = null
        private set

    suspend fun start() {
        val head = encodeHead(request.head)
        when (val body = request.body) {
            is CallBody.Buffered -> connection.socket.write(ByteBuffer.wrap(head + body.bytes))
            is CallBody.Streamed -> {
                connection.socket.write(ByteBuffer.wrap(head))
                job = scope.launch { copyBody(body) }
            }
        }
    }

    private suspend fun copyBody(body: CallBody.Streamed) {
        val writer = BodyWriter(connection.socket, body.framing)
        val buffer = ByteArray(COPY_BUFFER_BYTES)
        try {
            while (true) {
                val count = readFromCaller(body, buffer)
                if (count < 0) break
                writer.write(buffer, count)
            }
            writer.finish()
        } catch (failure: IOException) {
            // The reset ends the wait for the response, and the receiver sees an incomplete request.
            connection.socket.reset()
        }
    }

    private suspend fun readFromCaller(body: CallBody.Streamed, buffer: ByteArray): Int =
        try {
            body.read(buffer)
        } catch (failure: IOException) {
            callerFailure = FailureKind.REQUEST_BROKEN
            throw failure
        }
}
