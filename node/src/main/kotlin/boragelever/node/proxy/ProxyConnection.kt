package boragelever.node.proxy

import boragelever.core.call.Outcome
import boragelever.core.config.LimitsConfig
import boragelever.node.net.ConnectionTimeout
import boragelever.node.net.EventLoopSocket
import boragelever.node.net.ReadTimeout
import boragelever.node.net.SocketInput
import kotlinx.coroutines.withTimeoutOrNull
import java.io.IOException

/** Methods that turn the connection into something else than HTTP. */
private val REJECTED_METHODS = setOf("CONNECT")

/** Serves the requests of one connection, one after the other. */
internal class ProxyConnection(
    private val context: TrafficContext,
    private val kind: HopKind,
    private val socket: EventLoopSocket,
) {
    private val input = SocketInput(socket)
    private val settings = context.settings

    /** Serves until the connection ends, is refused or has been idle for too long. */
    suspend fun run() {
        try {
            var open = true
            while (open) open = awaitRequest() && serveRequest()
        } catch (malformed: MalformedMessage) {
            refuse(malformed)
        } catch (closed: IOException) {
            // The caller closed its connection between or inside requests; there is no one to answer.
        } finally {
            socket.close()
        }
    }

    private suspend fun awaitRequest(): Boolean {
        input.releaseBuffer()
        val idleMillis = when (kind) {
            HopKind.CALLING -> (context.snapshots.current()?.limits ?: LimitsConfig()).callerIdleMillis
            HopKind.LAST -> settings.hopIdleMillis
        }
        input.readTimeout = ReadTimeout(idleMillis)
        return input.awaitByte()
    }

    /** Carries one call; returns true if the connection can be used for another. */
    private suspend fun serveRequest(): Boolean {
        val limits = context.snapshots.current()?.limits ?: LimitsConfig()
        val head = receiveHead(limits)
        if (head.method in REJECTED_METHODS) throw MalformedMessage(BAD_REQUEST, "the method is not served")
        val framing = framingOf(head)
        if (framing is BodyFraming.Sized && framing.bytes > limits.maxBodyBytes) {
            throw MalformedMessage(CONTENT_TOO_LARGE, "the body exceeds the limit")
        }
        val response = ResponseWriter(socket)
        if (head.headers.hasToken("Expect", "100-continue")) response.writeInterim("HTTP/1.1 100 Continue\r\n\r\n")
        val reader = BodyReader(input, framing, limits.maxBodyBytes)
        input.readTimeout = ReadTimeout(settings.receiveTimeoutMillis)
        val body = receiveBody(reader, framing, settings)
        val inFlight = context.inFlight.getValue(kind)
        inFlight.incrementAndGet()
        try {
            CallRunner(context, IncomingCall(kind, head, body, reader, response, input)).run()
        } finally {
            inFlight.decrementAndGet()
        }
        return response.complete && reader.complete && !head.headers.hasToken("Connection", "close") &&
            !context.draining
    }

    private suspend fun receiveHead(limits: LimitsConfig): RequestHead {
        input.readTimeout = ReadTimeout(idleMillis = 0, limits.headerTimeoutMillis)
        try {
            return readRequestHead(input, limits.maxHeaderBytes)
        } catch (_: ConnectionTimeout) {
            throw MalformedMessage(REQUEST_TIMEOUT, "the head of the request is late")
        }
    }

    /** Nothing of a request that cannot be read has been sent on, so it did not run. */
    private suspend fun refuse(malformed: MalformedMessage) {
        val text = "${Outcome.NOT_RUN.text}: malformed: ${malformed.message}\n".encodeToByteArray()
        val headers = listOf(
            Header("Content-Type", "text/plain; charset=utf-8"),
            Header("Content-Length", text.size.toString()),
            Header("Connection", "close"),
            Header(OUTCOME_HEADER, Outcome.NOT_RUN.text),
            Header(REASON_HEADER, "malformed"),
        )
        val head = ResponseHead(malformed.statusCode, reasonPhrase(malformed.statusCode), Headers(headers))
        try {
            ResponseWriter(socket).writeAll(head, text)
            lingerForClose()
        } catch (failure: IOException) {
            socket.reset()
        }
    }

    /** Reads what is still on its way, so that closing does not reset the connection before the answer is read. */
    private suspend fun lingerForClose() {
        val discarded = ByteArray(COPY_BUFFER_BYTES)
        socket.shutdownOutput()
        withTimeoutOrNull(LINGER_MILLIS) {
            while (input.awaitByte()) input.read(discarded, 0, discarded.size)
        }
    }
}

/** Time in which a caller that was refused early can read the refusal. */
private const val LINGER_MILLIS = 500L
