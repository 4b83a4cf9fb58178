package boragelever.node.proxy

import boragelever.core.call.Outcome
import boragelever.core.config.LimitsConfig
import boragelever.node.net.ConnectionTimeout
import boragelever.node.net.EventLoopSocket
import boragelever.node.net.ReadTimeout
import boragelever.node.net.SocketInput
import kotlinx.coroutines.withTimeoutOrNull
import java.io.IOException

/** Unsupported methods, which turn the connection into a tunnel for another protocol. */
private val REJECTED_METHODS = setOf("CONNECT")

/** Serves the calls of one connection of a caller or another node, in sequence. */
internal class ProxyConnection(
    private val context: TrafficContext,
    private val kind: HopKind,
    private val socket: EventLoopSocket,
) {
    private val input = SocketInput(socket)
    private val settings = context.settings

    /** Serves until the connection is closed, receives a malformed request or has been idle for too long. */
    suspend fun run() {
        try {
            var open = true
            while (open) open = awaitRequest() && serveCountedRequest()
        } catch (malformed: MalformedMessage) {
            refuse(malformed)
        } catch (closed: IOException) {
            // The caller closed the connection, between requests or within one, so no response can be sent.
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

    /** Counts the request from its first byte, so that a stopping node doesn't exit while it is being received. */
    private suspend fun serveCountedRequest(): Boolean {
        context.unfinishedRequests.incrementAndGet()
        try {
            return serveRequest()
        } finally {
            context.unfinishedRequests.decrementAndGet()
        }
    }

    /** Handles one call; returns true if the connection can be used for another one. */
    private suspend fun serveRequest(): Boolean {
        val limits = context.snapshots.current()?.limits ?: LimitsConfig()
        val head = receiveHead(limits)
        if (head.method in REJECTED_METHODS) throw MalformedMessage(BAD_REQUEST, "the method is not supported")
        val framing = framingOf(head)
        if (framing is BodyFraming.Sized && framing.bytes > limits.maxBodyBytes) {
            throw MalformedMessage(CONTENT_TOO_LARGE, "the body exceeds the size limit")
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
            throw MalformedMessage(REQUEST_TIMEOUT, "the request head did not arrive within the time limit")
        }
    }

    /** Refuses a malformed request with outcome `not-run`: nothing of it has been forwarded. */
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

    /** Reads the bytes in transit, so that closing does not reset the connection before the caller has the response. */
    private suspend fun lingerForClose() {
        val discarded = ByteArray(COPY_BUFFER_BYTES)
        socket.shutdownOutput()
        withTimeoutOrNull(LINGER_MILLIS) {
            while (input.awaitByte()) input.read(discarded, 0, discarded.size)
        }
    }
}

/** Time that a caller has to read a refusal that was sent before its request was complete. */
private const val LINGER_MILLIS = 500L
