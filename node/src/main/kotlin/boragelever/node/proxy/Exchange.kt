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
import java.io.IOException
import java.net.ConnectException
import java.nio.ByteBuffer
import java.util.concurrent.TimeUnit
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch

/** Age of idleness up to which a connection is reused for a call that must not be repeated. */
private const val SAFE_IDLE_MILLIS = 1_000L

/** Limit for the head of an answer. */
private const val MAX_RESPONSE_HEAD_BYTES = 65_536

/** Silence of a node after which a call that may be repeated goes elsewhere; it spans three signs of life. */
private const val HOP_IDLE_TIMEOUT_MILLIS = 1_500L

/** Wait that is too short to tell a dead node from a slow instance: a sign of life comes each 450 ms. */
private const val MIN_SILENCE_MILLIS = 600L

/**
 * Kind of an attempt that ended without the head of an answer after [waitedMillis].
 *
 * @param receivedInterim true if a sign of life arrived.
 * @param isExpired true if the time for the attempt ended the wait, false if the last sign of life was too long ago.
 */
internal fun timeoutKind(waitedMillis: Long, receivedInterim: Boolean, isExpired: Boolean): FailureKind =
    if (waitedMillis < MIN_SILENCE_MILLIS || (receivedInterim && isExpired)) FailureKind.SLOW else FailureKind.SILENT

/** A request to send. */
internal class OutgoingRequest(
    val target: NetworkAddress,
    val head: RequestHead,
    val body: CallBody,
    /** True if the receiver is an upstream, whose responses have to be checked. */
    val toUpstream: Boolean = false,
)

/** An answer whose head has been read. */
internal class Exchange(
    private val pool: ConnectionPool,
    private val connection: PooledConnection,
    private val requestWriter: Job?,
    val head: ResponseHead,
    val framing: BodyFraming,
) {
    val body = BodyReader(connection.input, framing)

    /** Bounds the time without a byte of the body; a longer wait throws [ConnectionTimeout]. */
    fun setIdleTimeout(idleMillis: Long) {
        connection.input.readTimeout = ReadTimeout(idleMillis)
    }

    /** True if bytes of the body can be read without waiting. */
    val hasBuffered: Boolean get() = connection.input.hasBuffered

    /** Ends the exchange: the connection is reused only if nothing is left on it in either direction. */
    fun finish() {
        val requestSent = requestWriter?.isCompleted ?: true
        val isReusable = requestSent && !connection.outOfSync && framing != BodyFraming.UntilClose
        val canReuse = isReusable && body.complete && !connection.input.hasBuffered &&
            !head.headers.hasToken("Connection", "close")
        if (canReuse) pool.release(connection) else abort()
    }

    /** Closes the connection, which the sender sees as a cancellation. */
    fun abort() {
        requestWriter?.cancel()
        connection.socket.reset()
    }

    /** True if the sender accepts new connections, so that a broken body does not mean that it died. */
    suspend fun senderAcceptsConnections(): Boolean = pool.acceptsConnections(connection.target)
}

/** Sends requests and reads the heads of their answers. */
internal class ExchangeClient(private val pool: ConnectionPool, private val settings: ProxySettings) {
    /**
     * Sends [request] and waits at most [headTimeoutMillis] for the head of the answer.
     *
     * @param scope runs the sending of a streamed body, which may go on after the head of the answer.
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
        val sentBefore = connection.socket.sentBytes
        val startNanos = System.nanoTime()
        connection.receivedInterim = false
        var exchange: Exchange? = null
        try {
            connection.input.readTimeout = ReadTimeout(hopIdleTimeoutMillis(request, repeatable), headTimeoutMillis)
            onDispatch()
            writer.start()
            return Ok(readResponse(request, connection, writer).also { exchange = it })
        } catch (timeout: ConnectionTimeout) {
            return timeoutFailure(connection, sentBefore, System.nanoTime() - startNanos)
        } catch (failure: IOException) {
            val kind = writer.callerFailure ?: failureKindOf(failure, request, connection)
            return Err(AttemptFailure(kind, connection.socket.sentBytes > sentBefore))
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
        val dialect = settings.dialect
        while (true) {
            val head = readResponseHead(connection.input, MAX_RESPONSE_HEAD_BYTES) { connection.receivedInterim = true }
            val framing = framingOf(head, request.head.method)
            if (!request.toUpstream || matchesRequest(request, head)) {
                if (request.toUpstream && !hasRequiredSignature(head, dialect)) {
                    throw MalformedMessage(BAD_GATEWAY, "the success has no signature of the upstream")
                }
                return Exchange(pool, connection, writer.job, head, framing)
            }
            skipResponse(connection, framing)
        }
    }

    /** A node that waits for its upstream gives signs of life; a call that may run once waits for it all the same. */
    private fun hopIdleTimeoutMillis(request: OutgoingRequest, repeatable: Boolean): Long =
        if (repeatable && !request.toUpstream) HOP_IDLE_TIMEOUT_MILLIS else 0

    private fun matchesRequest(request: OutgoingRequest, head: ResponseHead): Boolean {
        val name = settings.dialect.requestIdHeader ?: return true
        val responseId = head.headers[name] ?: return true
        return responseId == request.head.headers[name]
    }

    /** Reads over a response to an earlier request; the connection is not used again. */
    private suspend fun skipResponse(connection: PooledConnection, framing: BodyFraming) {
        if (framing == BodyFraming.UntilClose) throw UnexpectedEndOfStream()
        connection.outOfSync = true
        BodyReader(connection.input, framing).skip()
    }

    private fun timeoutFailure(
        connection: PooledConnection,
        sentBefore: Long,
        waitedNanos: Long,
    ): Result<Exchange, AttemptFailure> {
        val waitedMillis = TimeUnit.NANOSECONDS.toMillis(waitedNanos)
        val kind = timeoutKind(waitedMillis, connection.receivedInterim, connection.input.readTimeout.isExpired)
        // A connection that went silent is often not the only one to its target; the next attempt opens a new one.
        if (kind == FailureKind.SILENT) pool.closeIdle(connection.target)
        return Err(AttemptFailure(kind, connection.socket.sentBytes > sentBefore))
    }

    private suspend fun failureKindOf(
        failure: IOException,
        request: OutgoingRequest,
        connection: PooledConnection,
    ): FailureKind =
        when {
            failure is MalformedMessage -> FailureKind.MALFORMED
            // An upstream that accepts connections has lost one response and is alive.
            request.toUpstream && pool.acceptsConnections(connection.target) -> FailureKind.CLOSED_IDLE
            else -> FailureKind.RESET
        }
}

/** Sends one request: a held body at once, a streamed one beside the reading of the answer. */
private class RequestWriter(
    private val request: OutgoingRequest,
    private val connection: PooledConnection,
    private val scope: CoroutineScope,
) {
    var job: Job? = null
        private set

    /** Set if the body could not be read from the caller. */
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
            // Closing the connection ends the wait for the answer; the receiver sees an incomplete request.
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
