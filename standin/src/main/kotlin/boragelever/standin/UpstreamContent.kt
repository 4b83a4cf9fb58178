package boragelever.standin

import boragelever.platform.StoreProtocol
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.http.content.OutgoingContent
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeFully
import kotlinx.coroutines.awaitCancellation

/** Response body of [bytes] that stalls after [stallAfterBytes] if it is longer; `null` disables the stall. */
internal class UpstreamContent(
    override val status: HttpStatusCode,
    private val bytes: ByteArray,
    private val stallAfterBytes: Int?,
) : OutgoingContent.WriteChannelContent() {
    override val contentLength: Long = bytes.size.toLong()
    override val contentType: ContentType = ContentType.Application.OctetStream

    override suspend fun writeTo(channel: ByteWriteChannel) {
        val shouldStall = stallAfterBytes != null && stallAfterBytes < bytes.size
        val countBytes = if (shouldStall) stallAfterBytes else bytes.size
        channel.writeFully(bytes, 0, countBytes)
        channel.flush()
        if (shouldStall) awaitCancellation()
    }
}

internal fun UpstreamBody.Echo.encode(): ByteArray =
    StoreProtocol.valueJson.encodeToString(UpstreamBody.Echo.serializer(), this).encodeToByteArray()
