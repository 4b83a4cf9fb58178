package boragelever.standin

import io.ktor.http.Headers
import io.ktor.http.HttpHeaders
import io.ktor.http.content.OutgoingContent
import io.ktor.http.headersOf
import io.ktor.utils.io.ByteWriteChannel
import kotlinx.io.IOException

/** Announces a body and breaks the connection before it is complete, so that the client cannot read the answer. */
internal object BrokenContent : OutgoingContent.WriteChannelContent() {
    override val contentLength: Long = 1_000

    /** Without it the server may keep the connection open, and the client waits for its time-out. */
    override val headers: Headers = headersOf(HttpHeaders.Connection, "close")

    override suspend fun writeTo(channel: ByteWriteChannel) {
        throw IOException("the stand-in breaks this connection on purpose")
    }
}
