package boragelever.node.proxy

import boragelever.core.call.Refusal
import boragelever.node.net.EventLoopSocket
import io.ktor.http.HttpStatusCode
import java.io.IOException
import java.nio.ByteBuffer

/** Writes the answer to one request and knows whether the caller has a whole one. */
internal class ResponseWriter(private val socket: EventLoopSocket) {
    private var body: BodyWriter? = null

    /** Status that was sent, or 0. */
    var statusCode: Int = 0
        private set

    /** True once the caller has been sent a whole answer. */
    var complete: Boolean = false
        private set

    private var pendingHead: ByteArray? = null

    /** True while a write runs and after it failed. */
    private var writeFailed = false

    /** Begins an answer; its head is held back until the next write or flush. */
    fun begin(head: ResponseHead, framing: BodyFraming) {
        statusCode = head.statusCode
        pendingHead = encodeHead(head)
        body = BodyWriter(socket, framing)
    }

    /** Sends the head if it is held back. */
    suspend fun flush() = write(ByteArray(0), 0)

    /** Sends a part of the body. */
    suspend fun write(bytes: ByteArray, length: Int) {
        val writer = body ?: throw IOException("no answer has begun")
        val head = pendingHead
        if (head == null && length == 0) return
        pendingHead = null
        guardedWrite { writer.write(bytes, length, head) }
    }

    /** Ends a whole answer. */
    suspend fun finish() {
        flush()
        guardedWrite { body?.finish() }
        complete = true
    }

    /** Sends an answer of this node. */
    suspend fun writeAll(head: ResponseHead, bytes: ByteArray) {
        begin(head, BodyFraming.Sized(bytes.size.toLong()))
        write(bytes, bytes.size)
        finish()
    }

    /** Ends the connection so that the caller sees that it has no whole answer. */
    fun abort() {
        complete = false
        socket.reset()
    }

    /** Tells a waiting node that the call goes on, unless the answer has begun. */
    suspend fun writeProcessing() {
        if (statusCode == 0 && !writeFailed) writeInterim("HTTP/1.1 102 Processing\r\n\r\n")
    }

    /** Writes raw bytes between requests, such as an interim answer. */
    suspend fun writeInterim(text: String) = guardedWrite { socket.write(ByteBuffer.wrap(text.encodeToByteArray())) }

    private suspend inline fun guardedWrite(block: () -> Unit) {
        if (writeFailed) throw IOException("the receiver is gone")
        writeFailed = true
        block()
        writeFailed = false
    }
}

/** Answer that tells a refusal: the outcome for programs, the remedy for people. */
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

internal fun refusalText(refusal: Refusal): String =
    "${refusal.outcome.text}: ${refusal.reason.text}: ${refusal.reason.remedy}\n"

internal fun reasonPhrase(statusCode: Int): String =
    HttpStatusCode.fromValue(statusCode).description
