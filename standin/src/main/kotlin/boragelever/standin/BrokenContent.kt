package boragelever.standin

import io.ktor.http.content.OutgoingContent
import io.ktor.utils.io.ByteWriteChannel
import kotlinx.io.IOException

/** Announces a body and breaks the connection before it is complete, so that the client cannot read the answer. */
internal object BrokenContent : OutgoingContent.WriteChannelContent() {
    override val contentLength: Long = 1_000

    override suspend fun writeTo(channel: ByteWriteChannel) {
        throw IOException("the stand-in breaks this connection on purpose")
    }
}
