package boragelever.node.proxy

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource

/** Guards against request smuggling: message heads that two receivers interpret differently. */
class HeadParserTest {
    @ParameterizedTest
    @CsvSource(
        "'A: b', 'A=b'",
        "'A:b', 'A=b'",
        "'A:   b c  ', 'A=b c'",
        "'A:', 'A='",
        "'A: b|B: c', 'A=b B=c'",
        "'', ''",
    )
    fun `headers are parsed`(lines: String, expected: String) {
        val text = "GET / HTTP/1.1\r\n" + lines.split('|').filter { it.isNotEmpty() }.joinToString("") { "$it\r\n" }
        val parser = HeadParser((text + "\r\n").encodeToByteArray(), BAD_REQUEST)
        assertEquals("GET / HTTP/1.1", parser.firstLine())
        assertEquals(expected, parser.headers().entries.joinToString(" ") { "${it.name}=${it.value}" })
    }

    @ParameterizedTest
    @ValueSource(
        strings = [
            "A : b\r\n\r\n", " folded\r\n\r\n", "A: b\n\r\n", "A: b\rc\r\n\r\n", ": b\r\n\r\n", "A b\r\n\r\n",
            "A: b\u0000\r\n\r\n", "A: b\r\n",
        ],
    )
    fun `ambiguous headers are refused`(text: String) {
        val failure = assertThrows(MalformedMessage::class.java) {
            HeadParser(text.encodeToByteArray(), BAD_REQUEST).headers()
        }
        assertEquals(BAD_REQUEST, failure.statusCode)
    }
}
