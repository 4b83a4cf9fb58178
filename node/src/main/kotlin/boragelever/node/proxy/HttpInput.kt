package boragelever.node.proxy

import boragelever.node.net.SocketInput
import boragelever.node.net.UnexpectedEndOfStream
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.nio.ByteBuffer

private const val LINE_FEED = '\n'.code.toByte()
private const val CARRIAGE_RETURN = '\r'.code.toByte()

/** A message violates HTTP/1.1 or a limit. [statusCode] is the status of the response if it is a request. */
internal class MalformedMessage(val statusCode: Int, message: String) : IOException(message)

/** Reads a message head up to and including the empty line; throws [MalformedMessage] beyond [maxBytes]. */
internal suspend fun SocketInput.readHead(maxBytes: Int): ByteArray {
    skipEmptyLine()
    var previous: ByteArray? = null
    val scanner = HeadEndScanner()
    while (true) {
        if (!awaitByte()) throw UnexpectedEndOfStream()
        val start = buffered.position()
        val isComplete = scanner.advance(buffered)
        val part = ByteArray(buffered.position() - start)
        buffered.get(start, part)
        val collected = previous?.plus(part) ?: part
        if (collected.size > maxBytes) throw MalformedMessage(HEADERS_TOO_LARGE, "the head exceeds the size limit")
        if (isComplete) return collected
        previous = collected
    }
}

/** Skips one empty line before the message, which HTTP/1.1 allows. */
private suspend fun SocketInput.skipEmptyLine() {
    if (!awaitByte()) throw UnexpectedEndOfStream()
    if (buffered.get(buffered.position()) != CARRIAGE_RETURN) return
    buffered.get()
    if (!awaitByte()) throw UnexpectedEndOfStream()
    if (buffered.get() != LINE_FEED) throw MalformedMessage(BAD_REQUEST, "a CR is not followed by LF")
}

/** Reads one line of at most [maxBytes] and returns it without CR LF. */
internal suspend fun SocketInput.readLine(maxBytes: Int): String {
    val line = ByteArrayOutputStream(32)
    collectLine(line, maxBytes)
    val bytes = line.toByteArray()
    val end = bytes.size - 2
    if (end < 0 || bytes[end] != CARRIAGE_RETURN) throw MalformedMessage(BAD_REQUEST, "a line does not end with CR LF")
    return String(bytes, 0, end, Charsets.ISO_8859_1)
}

/** Collects a line in a loop whose first wait precedes it, as C1 requires; see [BodyReader.readUpTo]. */
private suspend fun SocketInput.collectLine(line: ByteArrayOutputStream, maxBytes: Int) {
    requireByte()
    while (!appendLine(line, maxBytes)) requireByte()
}

private suspend fun SocketInput.requireByte() {
    if (!awaitByte()) throw UnexpectedEndOfStream()
}

/** Appends the buffered part of a line to [line]; returns true at the end of the line. */
private fun SocketInput.appendLine(line: ByteArrayOutputStream, maxBytes: Int): Boolean {
    while (buffered.hasRemaining()) {
        val byte = buffered.get()
        if (line.size() >= maxBytes) throw MalformedMessage(HEADERS_TOO_LARGE, "a line exceeds the size limit")
        line.write(byte.toInt())
        if (byte == LINE_FEED) return true
    }
    return false
}

/** Finds the empty line that ends a message head, across several reads. */
private class HeadEndScanner {
    private var lineBytes = 0
    private var previousByte: Byte = 0

    /** Advances [buffer] past the empty line and returns true, or to its end and returns false. */
    fun advance(buffer: ByteBuffer): Boolean {
        while (buffer.hasRemaining()) {
            val byte = buffer.get()
            if (byte == LINE_FEED) {
                if (lineBytes == 1 && previousByte == CARRIAGE_RETURN) return true
                lineBytes = 0
            } else {
                lineBytes += 1
            }
            previousByte = byte
        }
        return false
    }
}
