package boragelever.bench.calls

import java.io.BufferedInputStream
import java.io.EOFException
import java.io.IOException
import java.net.InetSocketAddress
import java.net.Socket

private const val TIMEOUT_MILLIS = 5_000
private const val STATUS_START = 9
private const val STATUS_END = 12
private const val LENGTH_PREFIX = "content-length:"

/** Address and request of the calls of one measured path. */
internal data class CallTarget(
    val name: String,
    val port: Int,
    val path: String = "/scans/1",
    val method: String = "GET",
    val headers: Map<String, String> = emptyMap(),
)

/**
 * Minimal blocking HTTP/1.1 client with one connection on loopback.
 *
 * A client library would add its own queueing and thread switches to the measured latencies.
 */
internal class CallClient(private val target: CallTarget) : AutoCloseable {
    private val socket = Socket()
    private val input: BufferedInputStream
    private val request = encodeRequest(target, emptyMap())

    init {
        socket.tcpNoDelay = true
        socket.soTimeout = TIMEOUT_MILLIS
        socket.connect(InetSocketAddress("127.0.0.1", target.port), TIMEOUT_MILLIS)
        input = BufferedInputStream(socket.getInputStream())
    }

    /** Sends one request, reads the complete response and returns its status code. */
    fun call(headers: Map<String, String> = emptyMap()): Int {
        socket.getOutputStream().write(if (headers.isEmpty()) request else encodeRequest(target, headers))
        val status = readLine().substring(STATUS_START, STATUS_END).toInt()
        var length = 0
        while (true) {
            val line = readLine()
            if (line.isEmpty()) break
            if (line.startsWith(LENGTH_PREFIX, ignoreCase = true)) {
                length = line.substring(LENGTH_PREFIX.length).trim().toInt()
            }
        }
        if (input.readNBytes(length).size < length) throw EOFException("response body is shorter than Content-Length")
        return status
    }

    override fun close() = socket.close()

    private fun readLine(): String {
        val line = StringBuilder()
        while (true) {
            when (val byte = input.read()) {
                -1 -> throw EOFException("connection closed before the end of the response head")
                '\n'.code -> return line.toString()
                '\r'.code -> Unit
                else -> line.append(byte.toChar())
            }
        }
    }
}

/** Sends one call on a new connection; returns the status code, or `null` if no complete response arrived. */
internal fun callOnce(target: CallTarget): Int? =
    try {
        CallClient(target).use { it.call() }
    } catch (failure: IOException) {
        null
    }

private fun encodeRequest(target: CallTarget, headers: Map<String, String>): ByteArray {
    val lines = (target.headers + headers).map { (name, value) -> "$name: $value\r\n" }.joinToString("")
    val body = if (target.method == "GET") "" else "Content-Length: 0\r\n"
    return "${target.method} ${target.path} HTTP/1.1\r\nHost: bench\r\n$lines$body\r\n".encodeToByteArray()
}
