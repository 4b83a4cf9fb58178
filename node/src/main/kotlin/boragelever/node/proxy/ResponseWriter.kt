package boragelever.node.proxy

import boragelever.core.call.Refusal
import boragelever.node.net.EventLoopSocket
import io.ktor.http.HttpStatusCode
import java.io.IOException
import java.nio.ByteBuffer

/** Writes the response to one request and tracks whether it is complete. */
internal class ResponseWriter(private val socket: EventLoopSocket) {
    private var body: BodyWriter? = null

    /** Status code of the response, or 0 before [begin]. */
    var statusCode: Int = 0
        private set

    /** True once the complete response has been sent. */
    var complete: Boolean = false
        private set

    private var pendingHead: ByteArray? = null

    /** True during a write and after a failed one. */
    private var writeIncomplete = false

    /** Begins the response; its head is sent with the next write or flush. */
    fun begin(head: ResponseHead, framing: BodyFraming) {
        statusCode = head.statusCode
        pendingHead = encodeHead(head)
        body = BodyWriter(socket, framing)
    }

    /** Sends the head if it has not been sent yet. */
    suspend fun flush() = write(ByteArray(0), 0)

    /** Sends the first [length] bytes of [bytes] as part of the body. */
    suspend fun write(bytes: ByteArray, length: Int) {
        val writer = body ?: throw IOException("no response has been started on this connection")
        val head = pendingHead
        if (head == null && length == 0) return
        pendingHead = null
        guardedWrite { writer.write(bytes, length, head) }
    }

    /** Ends a complete response. */
    suspend fun finish() {
        flush()
        guardedWrite { body?.finish() }
        complete = true
    }

    /** Sends a complete response with the body [bytes]. */
    suspend fun writeAll(head: ResponseHead, bytes: ByteArray) {
        begin(head, BodyFraming.Sized(bytes.size.toLong()))
        write(bytes, bytes.size)
        finish()
    }

    /** Resets the connection, which tells the caller that the response is incomplete. */
    fun abort() {
        complete = false
        socket.reset()
    }

    /** Sends `102 Processing` unless the response has begun, to tell a waiting node that the call is still running. */
    suspend fun writeProcessing() {
        if (statusCode == 0 && !writeIncomplete) writeInterim("HTTP/1.1 102 Processing\r\n\r\n")
    }

    /** Writes an interim (1xx) response, given as raw text. */
    suspend fun writeInterim(text: String) = guardedWrite { socket.write(ByteBuffer.wrap(text.encodeToByteArray())) }

    private suspend inline fun guardedWrite(block: () -> Unit) {
        if (writeIncomplete) throw IOException("an earlier write to the caller failed or is still running")
        writeIncomplete = true
        block()
        writeIncomplete = false
    }
}

/** Builds the head of a refusal, with the outcome and the reason in machine-readable headers. */
internal fun refusalHead(refusal: Refusal, bodyBytes: Int, extraHeaders: List<Header>): ResponseHead =
    ResponseHead(
        refusal.statusCode,
        reasonPhrase(refusal.statusCode),
        Headers(
            listOf(
                Header("Content-Type", "text/plain; charset=utf-8"),
                Header("Content-Length", bodyBytes.toString()),
                Header(OUTCOME_HEADER, refusal.outcome.text),
                Header(REASON_HEADER, refusal.reason.text),
            ) + extraHeaders,
        ),
    )

/** Returns the plain-text body of a refusal: outcome, reason and remedy. */
internal fun refusalText(refusal: Refusal): String =
    "${refusal.outcome.text}: ${refusal.reason.text}: ${refusal.reason.remedy}\n"

/** Returns the standard reason phrase of [statusCode]. */
internal fun reasonPhrase(statusCode: Int): String = HttpStatusCode.fromValue(statusCode).description
