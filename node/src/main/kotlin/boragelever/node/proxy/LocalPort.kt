package boragelever.node.proxy

import boragelever.node.net.EventLoopSocket
import boragelever.node.net.ReadTimeout
import boragelever.node.net.SocketInput
import kotlinx.coroutines.withTimeoutOrNull
import java.io.ByteArrayOutputStream
import java.io.IOException

/** A request to a local port of the node, by the platform or by the upstream on the same host; [path] has no query. */
public class LocalHttpRequest(public val method: String, public val path: String, public val body: String)

/** Response to a [LocalHttpRequest]; [body] is JSON or empty. */
public class LocalHttpResponse(public val statusCode: Int, public val body: String = "")

/** Handles the requests to the local ports. */
public fun interface LocalRequestHandler {
    /** Returns the response to [httpRequest]. */
    public suspend fun handle(httpRequest: LocalHttpRequest): LocalHttpResponse

    public companion object {
        /** Responds to every request with 404. */
        public val NONE: LocalRequestHandler = LocalRequestHandler { LocalHttpResponse(NOT_FOUND) }
    }
}

/** Serves the requests of one connection to a local port in sequence. */
internal class LocalConnection(private val socket: EventLoopSocket, private val handler: LocalRequestHandler) {
    private val input = SocketInput(socket)

    /** Serves until the connection is closed, times out or receives a malformed request. */
    suspend fun run() {
        try {
            var open = true
            while (open) open = awaitRequest() && serveRequest()
        } catch (closed: IOException) {
            // The client closed the connection or sent invalid HTTP; no response is sent.
        } finally {
            socket.close()
        }
    }

    private suspend fun awaitRequest(): Boolean {
        input.releaseBuffer()
        input.readTimeout = ReadTimeout(IDLE_MILLIS)
        return input.awaitByte()
    }

    private suspend fun serveRequest(): Boolean =
        withTimeoutOrNull(REQUEST_TIMEOUT_MILLIS) {
            val head = readRequestHead(input, MAX_HEAD_BYTES)
            val reader = BodyReader(input, framingOf(head), MAX_LOCAL_BODY_BYTES)
            val body = readBody(reader)
            val response = handler.handle(
                LocalHttpRequest(head.method, head.target.substringBefore('?'), body.decodeToString()),
            )
            val closes = head.headers.hasToken("Connection", "close")
            val bytes = response.body.encodeToByteArray()
            val headers = listOfNotNull(
                Header("Content-Type", "application/json").takeIf { bytes.isNotEmpty() },
                Header("Content-Length", bytes.size.toString()),
                Header("Connection", "close").takeIf { closes },
            )
            val responseHead = ResponseHead(response.statusCode, reasonPhrase(response.statusCode), Headers(headers))
            ResponseWriter(socket).writeAll(responseHead, bytes)
            !closes
        } ?: false

    private suspend fun readBody(reader: BodyReader): ByteArray {
        val sink = ByteArrayOutputStream()
        reader.readUpTo(sink, ByteArray(LOCAL_BUFFER_BYTES), limitBytes = Int.MAX_VALUE)
        return sink.toByteArray()
    }
}

private const val NOT_FOUND = 404
private const val MAX_HEAD_BYTES = 16_384
private const val MAX_LOCAL_BODY_BYTES = 16_384L
private const val LOCAL_BUFFER_BYTES = 1_024
private const val REQUEST_TIMEOUT_MILLIS = 5_000L

/** Idle timeout; the platform polls every second, and the upstream sends heartbeats about as often. */
private const val IDLE_MILLIS = 60_000L
