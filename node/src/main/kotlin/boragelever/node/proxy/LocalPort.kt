package boragelever.node.proxy

import boragelever.node.net.LoopSocket
import boragelever.node.net.SocketInput
import boragelever.node.net.WaitBound
import kotlinx.coroutines.withTimeoutOrNull
import java.io.ByteArrayOutputStream
import java.io.IOException

/** A request of the platform or of the upstream beside the node to one of the node's local ports. */
public class LocalCall(public val method: String, public val path: String, public val body: String)

/** Answer to a [LocalCall]; [body] is JSON or empty. */
public class LocalReply(public val statusCode: Int, public val body: String = "")

/** Answers the requests to the local ports. */
public fun interface LocalHandler {
    /** Returns the answer to [call]. */
    public suspend fun handle(call: LocalCall): LocalReply

    public companion object {
        /** Knows no request. */
        public val NONE: LocalHandler = LocalHandler { LocalReply(NOT_FOUND) }
    }
}

/** Serves the requests of one connection to a local port, one after the other. */
internal class LocalConnection(private val socket: LoopSocket, private val handler: LocalHandler) {
    private val input = SocketInput(socket)

    suspend fun run() {
        try {
            var open = true
            while (open) open = awaitRequest() && serveOne()
        } catch (ended: IOException) {
            // The other side closed its connection or sent no HTTP; nobody waits for an answer.
        } finally {
            socket.close()
        }
    }

    private suspend fun awaitRequest(): Boolean {
        input.trim()
        input.waitBound = WaitBound(IDLE_MILLIS)
        return input.awaitByte()
    }

    private suspend fun serveOne(): Boolean =
        withTimeoutOrNull(REQUEST_TIMEOUT_MILLIS) {
            val head = readRequestHead(input, MAX_HEAD_BYTES)
            val reader = BodyReader(input, framingOf(head), MAX_LOCAL_BODY_BYTES)
            val body = readWhole(reader)
            val reply = handler.handle(LocalCall(head.method, head.target.substringBefore('?'), body.decodeToString()))
            val closes = head.headers.hasToken("Connection", "close")
            val bytes = reply.body.encodeToByteArray()
            val headers = listOfNotNull(
                Header("Content-Type", "application/json").takeIf { bytes.isNotEmpty() },
                Header("Content-Length", bytes.size.toString()),
                Header("Connection", "close").takeIf { closes },
            )
            val responseHead = ResponseHead(reply.statusCode, reasonPhrase(reply.statusCode), Headers(headers))
            ReplyWriter(socket).sendWhole(responseHead, bytes)
            !closes
        } ?: false

    private suspend fun readWhole(reader: BodyReader): ByteArray {
        val sink = ByteArrayOutputStream()
        reader.gather(sink, ByteArray(LOCAL_BUFFER_BYTES), limitBytes = Int.MAX_VALUE)
        return sink.toByteArray()
    }
}

private const val NOT_FOUND = 404
private const val MAX_HEAD_BYTES = 16_384
private const val MAX_LOCAL_BODY_BYTES = 16_384L
private const val LOCAL_BUFFER_BYTES = 1_024
private const val REQUEST_TIMEOUT_MILLIS = 5_000L

/** The platform asks each second and the instance speaks about as often. */
private const val IDLE_MILLIS = 60_000L
