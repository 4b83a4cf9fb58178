package boragelever.node.proxy

import boragelever.node.net.SocketInput

internal const val BAD_REQUEST: Int = 400
internal const val REQUEST_TIMEOUT: Int = 408
internal const val CONTENT_TOO_LARGE: Int = 413
internal const val HEADERS_TOO_LARGE: Int = 431
internal const val BAD_GATEWAY: Int = 502
internal const val SERVICE_UNAVAILABLE: Int = 503
internal const val VERSION_NOT_SUPPORTED: Int = 505

/** One header field. */
internal data class Header(val name: String, val value: String)

/** Header fields in message order; names are case-insensitive. */
internal class Headers(val entries: List<Header>) {
    /** Returns the first value of [name], or `null`. */
    operator fun get(name: String): String? = entries.firstOrNull { it.name.equals(name, ignoreCase = true) }?.value

    /** Returns all values of [name]. */
    fun all(name: String): List<String> = entries.filter { it.name.equals(name, ignoreCase = true) }.map { it.value }

    /** True if [token] is an element of a comma-separated list in the header [name]; case is ignored. */
    fun hasToken(name: String, token: String): Boolean =
        all(name).any { line -> line.split(',').any { it.trim().equals(token, ignoreCase = true) } }
}

/** Head of an HTTP request; [target] is the path with the query. */
internal class RequestHead(val method: String, val target: String, val headers: Headers)

/** Head of an HTTP response. */
internal class ResponseHead(val statusCode: Int, val reason: String, val headers: Headers)

/** How the end of a message body is determined. */
internal sealed interface BodyFraming {
    /** The body has a `Content-Length` of [bytes]. */
    data class Sized(val bytes: Long) : BodyFraming

    /** The body has the transfer encoding `chunked`. */
    data object Chunked : BodyFraming

    /** The body ends when the connection is closed; it is complete unless the connection is reset. */
    data object UntilClose : BodyFraming
}

/** Framing of the forwarded body, by which the receiver can distinguish a complete body from a truncated one. */
internal fun BodyFraming.forwardedFraming(): BodyFraming =
    when (this) {
        is BodyFraming.Sized, BodyFraming.Chunked -> this
        BodyFraming.UntilClose -> BodyFraming.Chunked
    }

/** Reads a request head; throws [MalformedMessage] unless it is valid HTTP/1.1 of at most [maxBytes]. */
internal suspend fun readRequestHead(input: SocketInput, maxBytes: Int): RequestHead {
    val parser = HeadParser(input.readHead(maxBytes), BAD_REQUEST)
    val parts = parser.firstLine().split(' ')
    if (parts.size != REQUEST_LINE_PARTS || !isToken(parts[0]) || parts[1].isEmpty()) {
        throw MalformedMessage(BAD_REQUEST, "the request line is malformed")
    }
    if (parts[2] != "HTTP/1.1") throw MalformedMessage(VERSION_NOT_SUPPORTED, "only HTTP/1.1 is supported")
    val headers = parser.headers()
    // With two Host headers, this node could choose the route by one and the upstream could use the other.
    if (headers.all("Host").size != 1) throw MalformedMessage(BAD_REQUEST, "exactly one Host header is required")
    return RequestHead(parts[0], parts[1], headers)
}

private const val REQUEST_LINE_PARTS = 3

/** Bound of the interim responses to one request; a node sends one every 450 ms while the call runs. */
private const val MAX_INTERIM_RESPONSES = 10_000

/**
 * Reads the head of a final response; calls [onInterim] for each interim (1xx) response before it.
 *
 * A loop whose first read precedes it, as C1 requires; see [BodyReader.readUpTo].
 */
internal suspend fun readResponseHead(input: SocketInput, maxBytes: Int, onInterim: () -> Unit): ResponseHead {
    var head = parseResponseHead(input.readHead(maxBytes))
    var interimCount = 0
    while (head.statusCode < FINAL_STATUS) {
        interimCount += 1
        if (interimCount > MAX_INTERIM_RESPONSES) throw MalformedMessage(BAD_GATEWAY, "too many interim responses")
        onInterim()
        head = parseResponseHead(input.readHead(maxBytes))
    }
    return head
}

private const val FINAL_STATUS = 200
private const val SWITCHING_PROTOCOLS = 101

private fun parseResponseHead(bytes: ByteArray): ResponseHead {
    val parser = HeadParser(bytes, BAD_GATEWAY)
    val parts = parser.firstLine().split(' ', limit = STATUS_LINE_PARTS)
    val statusCode = parts.getOrNull(1)?.takeIf { it.length == STATUS_DIGITS }?.toIntOrNull()
    val isHttp = parts[0] == "HTTP/1.1" || parts[0] == "HTTP/1.0"
    if (!isHttp || statusCode == null) throw MalformedMessage(BAD_GATEWAY, "the status line is malformed")
    if (statusCode == SWITCHING_PROTOCOLS) throw MalformedMessage(BAD_GATEWAY, "protocol upgrades are not supported")
    return ResponseHead(statusCode, parts.getOrNull(2).orEmpty(), parser.headers())
}

private const val STATUS_LINE_PARTS = 3
private const val STATUS_DIGITS = 3

/** Returns the body framing of a request; throws [MalformedMessage] if receivers could interpret it differently. */
internal fun framingOf(request: RequestHead): BodyFraming = declaredFraming(request.headers) ?: BodyFraming.Sized(0)

/** Returns the body framing of a response to a request with [method]. */
internal fun framingOf(response: ResponseHead, method: String): BodyFraming {
    val hasNoBody = method == "HEAD" || response.statusCode == 204 || response.statusCode == 304
    if (hasNoBody) return BodyFraming.Sized(0)
    return declaredFraming(response.headers) ?: BodyFraming.UntilClose
}

private fun declaredFraming(headers: Headers): BodyFraming? {
    val encodings = headers.all("Transfer-Encoding")
    val lengths = headers.all("Content-Length").flatMap { it.split(',') }.map { it.trim() }.distinct()
    return when {
        encodings.isNotEmpty() && lengths.isNotEmpty() ->
            throw MalformedMessage(BAD_REQUEST, "Content-Length and Transfer-Encoding must not be combined")
        encodings.isNotEmpty() -> {
            val chunked = encodings.singleOrNull()?.trim().equals("chunked", ignoreCase = true)
            if (chunked) BodyFraming.Chunked else throw MalformedMessage(BAD_REQUEST, "unsupported Transfer-Encoding")
        }
        lengths.isNotEmpty() -> BodyFraming.Sized(parseLength(lengths))
        else -> null
    }
}

private fun parseLength(lengths: List<String>): Long {
    val text = lengths.singleOrNull()
    val valid = text != null && text.isNotEmpty() && text.all { it in '0'..'9' }
    return text?.takeIf { valid }?.toLongOrNull() ?: throw MalformedMessage(BAD_REQUEST, "Content-Length is malformed")
}

/** Encodes a request head with the empty line. */
internal fun encodeHead(request: RequestHead): ByteArray =
    encode("${request.method} ${request.target} HTTP/1.1", request.headers)

/** Encodes a response head with the empty line. */
internal fun encodeHead(response: ResponseHead): ByteArray =
    encode("HTTP/1.1 ${response.statusCode} ${response.reason}", response.headers)

private fun encode(firstLine: String, headers: Headers): ByteArray {
    val text = StringBuilder(EXPECTED_HEAD_CHARS)
    text.append(firstLine).append("\r\n")
    headers.entries.forEach { text.append(it.name).append(": ").append(it.value).append("\r\n") }
    text.append("\r\n")
    return text.toString().toByteArray(Charsets.ISO_8859_1)
}

private const val EXPECTED_HEAD_CHARS = 512
