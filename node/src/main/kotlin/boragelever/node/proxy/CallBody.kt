package boragelever.node.proxy

import boragelever.core.call.RequestBody
import boragelever.core.sha256
import boragelever.node.net.ConnectionTimeout
import java.io.ByteArrayOutputStream

/** Size of the buffer for forwarding bodies. */
internal const val COPY_BUFFER_BYTES: Int = 16_384

/** Body of a received request. */
internal sealed interface CallBody {
    /** Framing of the body in the forwarded request. */
    val framing: BodyFraming

    /** The complete body is in memory and can be sent again. */
    class Buffered(val bytes: ByteArray) : CallBody {
        override val framing: BodyFraming get() = BodyFraming.Sized(bytes.size.toLong())
    }

    /**
     * The body is read from the caller while it is forwarded, so it can be sent only once.
     *
     * @param prefix bytes that have already been read from the caller.
     * @param rest reads the bytes after [prefix].
     */
    class Streamed(
        override val framing: BodyFraming,
        private val prefix: ByteArray,
        private val rest: BodyReader,
    ) : CallBody {
        private var prefixPosition = 0

        /** Reads at least one byte into [target], or returns -1 at the end of the complete body. */
        suspend fun read(target: ByteArray): Int {
            val fromPrefix = minOf(target.size, prefix.size - prefixPosition)
            if (fromPrefix > 0) {
                prefix.copyInto(target, 0, prefixPosition, prefixPosition + fromPrefix)
                prefixPosition += fromPrefix
                return fromPrefix
            }
            return rejectingStalls { rest.read(target) }
        }
    }
}

/** Size of a buffer that reads a body with [framing] in few reads, without exceeding a short body. */
internal fun bufferBytes(framing: BodyFraming): Int =
    if (framing is BodyFraming.Sized) minOf(framing.bytes, COPY_BUFFER_BYTES.toLong()).toInt() else COPY_BUFFER_BYTES

/** Converts the body to the input of the call reducer. */
internal fun CallBody.toRequestBody(): RequestBody =
    when (this) {
        is CallBody.Buffered -> RequestBody.Buffered(bytes.size, if (bytes.isEmpty()) null else sha256(bytes))
        is CallBody.Streamed -> RequestBody.Streamed((framing as? BodyFraming.Sized)?.bytes)
    }

/** Buffers a body of up to [ProxySettings.maxBufferedRequestBytes]; a larger one is streamed. */
internal suspend fun receiveBody(reader: BodyReader, framing: BodyFraming, settings: ProxySettings): CallBody {
    if (framing is BodyFraming.Sized && framing.bytes > settings.maxBufferedRequestBytes) {
        return CallBody.Streamed(framing, ByteArray(0), reader)
    }
    if (framing == BodyFraming.Sized(0)) return CallBody.Buffered(ByteArray(0))
    val sink = ByteArrayOutputStream()
    val buffer = ByteArray(bufferBytes(framing))
    val fits = rejectingStalls { reader.readUpTo(sink, buffer, limitBytes = settings.maxBufferedRequestBytes + 1) }
    return if (fits) CallBody.Buffered(sink.toByteArray()) else CallBody.Streamed(framing, sink.toByteArray(), reader)
}

private inline fun <T> rejectingStalls(read: () -> T): T =
    try {
        read()
    } catch (_: ConnectionTimeout) {
        throw MalformedMessage(REQUEST_TIMEOUT, "the request body stalled: no byte arrived within the receive timeout")
    }
