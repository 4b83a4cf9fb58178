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
 * Reads a body and tells a whole one from one that broke off.
 *
 * Ktor's decoder needs a coroutine and a channel for each body; this one reads in place and refuses any chunk line
 * that another receiver could read differently.
 */
internal class BodyReader(
    private val input: SocketInput,
    private val framing: BodyFraming,
    private val maxBytes: Long = Long.MAX_VALUE,
) {
    /** Bytes left of the body, or of the current chunk. */
    private var remainingBytes: Long = if (framing is BodyFraming.Sized) framing.bytes else 0
    private var isFirstChunk = true
    private var totalBytes: Long = 0

    /** True once the last byte of the body has been read. */
    var complete: Boolean = framing == BodyFraming.Sized(0)
        private set

    /** Reads at least one byte into [target], or returns -1 at the end of a whole body. */
    suspend fun read(target: ByteArray): Int {
        if (complete) return -1
        if (framing == BodyFraming.UntilClose) return readUntilClose(target)
        if (remainingBytes == 0L && !nextChunk()) return -1
        val count = input.read(target, 0, minOf(remainingBytes, target.size.toLong()).toInt())
        remainingBytes -= count
        totalBytes += count
        if (totalBytes > maxBytes) throw MalformedMessage(CONTENT_TOO_LARGE, "the body exceeds the limit")
        if (remainingBytes == 0L && framing is BodyFraming.Sized) complete = true
        return count
    }

    /** Reads into [sink] until it holds [limitBytes] or more; returns true if the body has ended before. */
    suspend fun readUpTo(sink: ByteArrayOutputStream, buffer: ByteArray, limitBytes: Int): Boolean {
        if (sink.size() >= limitBytes) return false
        val count = read(buffer)
        if (count < 0) return true
        sink.write(buffer, 0, count)
        return readUpTo(sink, buffer, limitBytes)
    }

    /** Reads over the rest of the body, at most [limitBytes] and a buffer; [complete] tells if that was all of it. */
    suspend fun skip(limitBytes: Long = Long.MAX_VALUE) {
        val discarded = ByteArray(bufferBytes(framing))
        var skipped = 0L
        while (!complete && skipped <= limitBytes) skipped += maxOf(0, read(discarded))
    }

    /** The end of the connection ends the body; a reset throws. */
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

    private fun badChunk() = MalformedMessage(BAD_REQUEST, "a chunk is malformed")
}

private fun Char.isHexDigit(): Boolean = this in '0'..'9' || this in 'a'..'f' || this in 'A'..'F'

/** Writes a body so that the receiver can tell a whole one from one that broke off. */
internal class BodyWriter(private val socket: EventLoopSocket, private val framing: BodyFraming) {
    private var remainingBytes: Long = if (framing is BodyFraming.Sized) framing.bytes else 0

    /** Writes [head] and [length] bytes of [bytes] with as few packets as possible. */
    suspend fun write(bytes: ByteArray, length: Int, head: ByteArray? = null) {
        val parts = when (framing) {
            is BodyFraming.Sized -> {
                remainingBytes -= length
                if (remainingBytes < 0) throw IOException("the body is longer than announced")
                listOfNotNull(head, bytes.copyOf(length))
            }
            BodyFraming.Chunked, BodyFraming.UntilClose -> {
                val size = (length.toString(HEX_RADIX) + "\r\n").encodeToByteArray()
                if (length == 0) listOfNotNull(head) else listOfNotNull(head, size, bytes.copyOf(length), LINE_END)
            }
        }
        socket.write(concatenate(parts))
    }

    /** Ends a whole body. */
    suspend fun finish() {
        if (framing !is BodyFraming.Sized) socket.write(ByteBuffer.wrap(CHUNKED_END))
        if (remainingBytes != 0L) throw IOException("the body is shorter than announced")
    }
}

private fun concatenate(parts: List<ByteArray>): ByteBuffer {
    val buffer = ByteBuffer.allocate(parts.sumOf { it.size })
    parts.forEach { buffer.put(it) }
    return buffer.flip()
}
