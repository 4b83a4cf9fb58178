package boragelever.node.proxy

import boragelever.core.call.Refusal
import boragelever.node.net.LoopSocket
import io.ktor.http.HttpStatusCode
import java.io.IOException
import java.nio.ByteBuffer

/** Writes the answer to one request and knows whether the caller has a whole one. */
internal class ReplyWriter(private val socket: LoopSocket) {
    private var body: BodyWriter? = null

    /** Status that was sent, or 0. */
    var statusCode: Int = 0
        private set

    /** True once the caller has been sent a whole answer. */
    var whole: Boolean = false
        private set

    private var pendingHead: ByteArray? = null

    /** True while a write runs and after it failed. */
    private var broken = false

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
        guarded { writer.write(bytes, length, head) }
    }

    /** Ends a whole answer. */
    suspend fun finish() {
        flush()
        guarded { body?.finish() }
        whole = true
    }

    /** Sends an answer of this node. */
    suspend fun sendWhole(head: ResponseHead, bytes: ByteArray) {
        begin(head, BodyFraming.Sized(bytes.size.toLong()))
        write(bytes, bytes.size)
        finish()
    }

    /** Ends the connection so that the caller sees that it has no whole answer. */
    fun abort() {
        whole = false
        socket.reset()
    }

    /** Tells a waiting node that the call goes on, unless the answer has begun. */
    suspend fun signOfLife() {
        if (statusCode == 0 && !broken) interim("HTTP/1.1 102 Processing\r\n\r\n")
    }

    /** Writes raw bytes between requests, such as an interim answer. */
    suspend fun interim(text: String) = guarded { socket.write(ByteBuffer.wrap(text.encodeToByteArray())) }

    private suspend inline fun guarded(block: () -> Unit) {
        if (broken) throw IOException("the receiver is gone")
        broken = true
        block()
        broken = false
    }
}

/** Answer that tells a refusal: the outcome for programs, the remedy for people. */
internal fun refusalHead(refusal: Refusal, bodyBytes: Int, extra: List<Header>): ResponseHead =
    ResponseHead(
        refusal.statusCode,
        reasonPhrase(refusal.statusCode),
        Headers(
            listOf(
                Header("Content-Type", "text/plain; charset=utf-8"),
                Header("Content-Length", bodyBytes.toString()),
                Header(OUTCOME, refusal.outcome.text),
                Header(REASON, refusal.reason.text),
            ) + extra,
        ),
    )

internal fun refusalText(refusal: Refusal): String =
    "${refusal.outcome.text}: ${refusal.reason.text}: ${refusal.reason.remedy}\n"

internal fun reasonPhrase(statusCode: Int): String =
    HttpStatusCode.fromValue(statusCode).description
