package boragelever.node.proxy

import boragelever.node.net.EventLoopSocket
import boragelever.node.net.SocketInput
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.nio.ByteBuffer

private const val MAX_CHUNK_LINE_BYTES = 256
private const val MAX_TRAILER_BYTES = 8_192
private const val MAX_CHUNK_DIGITS = 15
private const val HEX_RADIX = 16
private val CHUNKED_END = "0\r\n\r\n".encodeToByteArray()
private val LINE_END = "\r\n".encodeToByteArray()

/**
 * Reads a message body and distinguishes a complete body from a truncated one.
 *
 * Ktor's decoder needs a coroutine and a channel for each body. This reader decodes in place and refuses any chunk size
 * line that another receiver could interpret differently.
 *
 * @param maxBytes largest accepted size; a larger body throws [MalformedMessage].
 */
internal class BodyReader(
    private val input: SocketInput,
    private val framing: BodyFraming,
    private val maxBytes: Long = Long.MAX_VALUE,
) {
    /** Unread bytes of a sized body or of the current chunk. */
    private var remainingBytes: Long = if (framing is BodyFraming.Sized) framing.bytes else 0
    private var isFirstChunk = true
    private var totalBytes: Long = 0

    /** True once the last byte of the body has been read. */
    var complete: Boolean = framing == BodyFraming.Sized(0)
        private set

    /**
     * Reads at least one byte into [target], or returns -1 at the end of the complete body.
     *
     * Throws [MalformedMessage] if the body is malformed or too large, and another [IOException] if it is truncated.
     */
    suspend fun read(target: ByteArray): Int {
        if (complete) return -1
        if (framing == BodyFraming.UntilClose) return readUntilClose(target)
        if (remainingBytes == 0L && !nextChunk()) return -1
        val count = input.read(target, 0, minOf(remainingBytes, target.size.toLong()).toInt())
        remainingBytes -= count
        totalBytes += count
        if (totalBytes > maxBytes) throw MalformedMessage(CONTENT_TOO_LARGE, "the body exceeds the size limit")
        if (remainingBytes == 0L && framing is BodyFraming.Sized) complete = true
        return count
    }

    /**
     * Reads into [sink] until it contains at least [limitBytes]; returns true if the body ended before that.
     *
     * A loop, because a read of bytes at hand does not suspend: a recursion for each chunk would overflow the stack.
     * The first read precedes it, since C1 does not compile a loop that is entered only at its suspension point.
     */
    suspend fun readUpTo(sink: ByteArrayOutputStream, buffer: ByteArray, limitBytes: Int): Boolean {
        if (sink.size() >= limitBytes) return false
        var count = read(buffer)
        while (count >= 0) {
            sink.write(buffer, 0, count)
            if (sink.size() >= limitBytes) return false
            count = read(buffer)
        }
        return true
    }

    /**
     * Discards the rest of the body, but stops when more than [limitBytes] have been read.
     *
     * [complete] is true afterwards if the end was reached.
     */
    suspend fun skip(limitBytes: Long = Long.MAX_VALUE) {
        val discarded = ByteArray(bufferBytes(framing))
        var skipped = 0L
        while (!complete && skipped <= limitBytes) skipped += maxOf(0, read(discarded))
    }

    /** Treats the end of the stream as the end of the body; a reset throws. */
    private suspend fun readUntilClose(target: ByteArray): Int {
        if (!input.awaitByte()) {
            complete = true
            return -1
        }
        return input.read(target, 0, target.size)
    }

    private suspend fun nextChunk(): Boolean {
        if (!isFirstChunk && input.readLine(2).isNotEmpty()) throw badChunk()
        isFirstChunk = false
        remainingBytes = parseChunkSize(input.readLine(MAX_CHUNK_LINE_BYTES))
        if (remainingBytes > 0) return true
        var trailerBytes = 0
        while (true) {
            val line = input.readLine(MAX_TRAILER_BYTES - trailerBytes)
            if (line.isEmpty()) break
            trailerBytes += line.length
        }
        complete = true
        return false
    }

    private fun parseChunkSize(line: String): Long {
        val digits = line.substringBefore(';').trimEnd(' ', '\t')
        val isValid = digits.length in 1..MAX_CHUNK_DIGITS && digits.all { it.isHexDigit() }
        return if (isValid) digits.toLong(HEX_RADIX) else throw badChunk()
    }

    private fun badChunk() = MalformedMessage(BAD_REQUEST, "the chunked encoding of the body is malformed")
}

private fun Char.isHexDigit(): Boolean = this in '0'..'9' || this in 'a'..'f' || this in 'A'..'F'

/** Writes a message body so that the receiver can distinguish a complete body from a truncated one. */
internal class BodyWriter(private val socket: EventLoopSocket, private val framing: BodyFraming) {
    private var remainingBytes: Long = if (framing is BodyFraming.Sized) framing.bytes else 0

    /** Writes [head] and the first [length] bytes of [bytes] in one write. */
    suspend fun write(bytes: ByteArray, length: Int, head: ByteArray? = null) {
        val parts = when (framing) {
            is BodyFraming.Sized -> {
                remainingBytes -= length
                if (remainingBytes < 0) throw IOException("the body is longer than its Content-Length")
                listOfNotNull(head, bytes.copyOf(length))
            }
            BodyFraming.Chunked, BodyFraming.UntilClose -> {
                val size = (length.toString(HEX_RADIX) + "\r\n").encodeToByteArray()
                if (length == 0) listOfNotNull(head) else listOfNotNull(head, size, bytes.copyOf(length), LINE_END)
            }
        }
        socket.write(concatenate(parts))
    }

    /** Ends a complete body; throws [IOException] if bytes of a sized body are missing. */
    suspend fun finish() {
        if (framing !is BodyFraming.Sized) socket.write(ByteBuffer.wrap(CHUNKED_END))
        if (remainingBytes != 0L) throw IOException("the body is shorter than its Content-Length")
    }
}

private fun concatenate(parts: List<ByteArray>): ByteBuffer {
    val buffer = ByteBuffer.allocate(parts.sumOf { it.size })
    parts.forEach { buffer.put(it) }
    return buffer.flip()
}
