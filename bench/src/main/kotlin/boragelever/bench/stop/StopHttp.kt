package boragelever.bench.stop

import java.io.ByteArrayOutputStream
import java.io.EOFException
import java.io.InputStream

internal const val HTTP_OK = 200

/** First line and headers of an HTTP message; header names are in lower case. */
internal class HttpHead(val firstLine: String, private val headers: Map<String, String>) {
    val status: Int get() = firstLine.split(' ').getOrNull(1)?.toIntOrNull() ?: 0
    val bodyBytes: Int get() = headers["content-length"]?.toIntOrNull() ?: 0
    val isChunked: Boolean get() = headers["transfer-encoding"].equals("chunked", ignoreCase = true)

    operator fun get(name: String): String? = headers[name.lowercase()]
}

/** Reads a head, or returns `null` if the connection ends before its first byte. */
internal fun readHttpHead(input: InputStream): HttpHead? {
    val firstLine = readLine(input) ?: return null
    val headers = generateSequence { readLine(input)?.takeIf { it.isNotEmpty() } }
        .associate { it.substringBefore(':').trim().lowercase() to it.substringAfter(':').trim() }
    return HttpHead(firstLine, headers)
}

/** Reads the whole body; throws [EOFException] if it is truncated. */
internal fun readHttpBody(input: InputStream, head: HttpHead): ByteArray {
    if (!head.isChunked) return readExactly(input, head.bodyBytes)
    val body = ByteArrayOutputStream()
    while (true) {
        val size = (readLine(input) ?: throw EOFException("no chunk")).toInt(radix = 16)
        body.write(readExactly(input, size))
        readLine(input) ?: throw EOFException("no end of a chunk")
        if (size == 0) return body.toByteArray()
    }
}

private fun readExactly(input: InputStream, size: Int): ByteArray {
    val bytes = input.readNBytes(size)
    if (bytes.size < size) throw EOFException("${bytes.size} of $size bytes")
    return bytes
}

private fun readLine(input: InputStream): String? {
    val line = StringBuilder()
    while (true) {
        when (val byte = input.read()) {
            -1 -> return if (line.isEmpty()) null else throw EOFException("in a line")
            '\n'.code -> return line.toString().removeSuffix("\r")
            else -> line.append(byte.toChar())
        }
    }
}
