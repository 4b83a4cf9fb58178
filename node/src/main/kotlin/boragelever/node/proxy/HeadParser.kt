package boragelever.node.proxy

/**
 * Parses the head of an HTTP message from its bytes, which end with an empty line.
 *
 * Ktor's parser reads from a channel character by character and took half of the CPU time of a call. This parser
 * refuses whatever another receiver could interpret differently: lines without CR, folded lines, spaces around names.
 *
 * @param statusCode status of the [MalformedMessage] that is thrown.
 */
internal class HeadParser(private val bytes: ByteArray, private val statusCode: Int) {
    private var position = 0

    /** Reads the request line or status line, without CR LF. */
    fun firstLine(): String {
        val end = lineEnd()
        return decode(position, end).also { position = end + LINE_END_BYTES }
    }

    /** Reads the headers up to the empty line. */
    fun headers(): Headers {
        val entries = ArrayList<Header>(EXPECTED_HEADERS)
        while (true) {
            val end = lineEnd()
            if (end == position) return Headers(entries)
            entries += header(end)
            position = end + LINE_END_BYTES
        }
    }

    private fun header(end: Int): Header {
        var colon = position
        while (colon < end && bytes[colon] != COLON) {
            if (!isTokenCharacter(bytes[colon].toInt())) throw malformed("a header name contains an invalid character")
            colon += 1
        }
        if (colon == end || colon == position) throw malformed("a header line has no name or no colon")
        var valueStart = colon + 1
        var valueEnd = end
        while (valueStart < valueEnd && isWhitespace(bytes[valueStart])) valueStart += 1
        while (valueEnd > valueStart && isWhitespace(bytes[valueEnd - 1])) valueEnd -= 1
        for (index in valueStart until valueEnd) {
            val byte = bytes[index]
            if (byte in 0 until SPACE && byte != TAB) throw malformed("a header value contains a control character")
        }
        return Header(decode(position, colon), decode(valueStart, valueEnd))
    }

    private fun lineEnd(): Int {
        var index = position
        while (index + 1 < bytes.size) {
            if (bytes[index] == LINE_FEED) throw malformed("a header line does not end with CR LF")
            if (bytes[index] == CARRIAGE_RETURN) {
                if (bytes[index + 1] == LINE_FEED) return index
                throw malformed("a CR is not followed by LF")
            }
            index += 1
        }
        throw malformed("the message head is incomplete")
    }

    private fun decode(from: Int, to: Int): String = String(bytes, from, to - from, Charsets.ISO_8859_1)

    private fun malformed(problem: String) = MalformedMessage(statusCode, problem)

    private companion object {
        const val LINE_END_BYTES = 2
        const val EXPECTED_HEADERS = 12
        const val COLON = ':'.code.toByte()
        const val SPACE = ' '.code.toByte()
        const val TAB = '\t'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val LINE_FEED = '\n'.code.toByte()

        fun isWhitespace(byte: Byte): Boolean = byte == SPACE || byte == TAB
    }
}

/** True if [text] is an HTTP token, as methods and header names are. */
internal fun isToken(text: String): Boolean = text.isNotEmpty() && text.all { isTokenCharacter(it.code) }

private const val TOKEN_PUNCTUATION = "!#\$%&'*+-.^_`|~"
private const val ASCII_CHARACTERS = 128
private val tokenCharacters =
    BooleanArray(ASCII_CHARACTERS) { it.toChar().isLetterOrDigit() || it.toChar() in TOKEN_PUNCTUATION }

private fun isTokenCharacter(code: Int): Boolean = code in 0 until ASCII_CHARACTERS && tokenCharacters[code]
