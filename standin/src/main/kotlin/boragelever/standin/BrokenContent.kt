package boragelever.standin

import io.ktor.http.Headers
import io.ktor.http.HttpHeaders
import io.ktor.http.content.OutgoingContent
import io.ktor.http.headersOf
import io.ktor.utils.io.ByteWriteChannel
import kotlinx.io.IOException

/** Response body that sends no byte of its content length and closes the connection, so that the client fails. */
internal object BrokenContent : OutgoingContent.WriteChannelContent() {
    override val contentLength: Long = 1_000

    /** Without `Connection: close` the server may keep the connection open and the client waits for its time-out. */
    override val headers: Headers = headersOf(HttpHeaders.Connection, "close")

    override suspend fun writeTo(channel: ByteWriteChannel) {
        throw IOException("injected fault: the stand-in closes the connection before the end of the body")
    }
}
