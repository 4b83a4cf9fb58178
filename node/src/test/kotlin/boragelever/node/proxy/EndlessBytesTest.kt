package boragelever.node.proxy

import boragelever.core.NodeId
import boragelever.core.call.CallHeaderNames
import boragelever.core.config.RouteConfig
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import java.net.InetAddress
import java.net.Socket
import java.net.SocketException
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

private const val HEAD = "HTTP/1.1 200 OK\r\n"
private const val CHUNKED = "Transfer-Encoding: chunked\r\n"
private const val WAIT_SECONDS = 20L
private const val TIMEOUT_MILLIS = 1_500L
private const val TINY_CHUNKS = 200_000

/** A chunk whose decoding takes longer than its transfer, so that the reader never waits for the sender. */
private const val TINY_CHUNK = "1\r\nx\r\n"

/** Largest request body that a node buffers. */
private const val MAX_BUFFERED_BYTES = 65_536

/** Long enough that blocks of 8 KiB fill each read buffer, so that the reader never waits for the sender. */
private val FILLER = "x".repeat(8_192)

/**
 * Senders whose bytes never end, at full speed and slowly, in heads and bodies.
 *
 * Guards against a traffic thread that one connection keeps to itself, stack and heap that grow with the bytes, calls
 * that never end and connections that stay open. The node has one traffic thread, which the other call needs as well.
 */
class EndlessBytesTest {
    internal class Case(
        val name: String,
        val step: UpstreamStep.RespondEndlessly,
        val expected: String,
        val method: String = "POST",
    ) {
        override fun toString() = name
    }

    @ParameterizedTest
    @MethodSource("cases")
    internal fun `an endless response ends the call truthfully and slows no other call`(case: Case) {
        FakeUpstream(case.step).use { upstream ->
            mesh(upstream).use { mesh ->
                val request = "${case.method} /x HTTP/1.1\r\nHost: h\r\nx-id: 1\r\nConnection: close\r\n\r\n"
                val response = openCall(mesh.proxyPort, request)
                awaitUntil { upstream.requests.size == 1 }
                assertEquals("200 completed", outcomeOf(rawCall(mesh.proxyPort, GET)), "the call beside it")
                assertEquals(case.expected, outcomeOf(readMessage(response).orEmpty()))
                assertTrue(upstream.endlessResponsesClosed.await(WAIT_SECONDS, TimeUnit.SECONDS), "connection closed")
                response.close()
            }
        }
    }

    @ParameterizedTest
    @MethodSource("callers")
    internal fun `an endless request is refused and slows no other call`(case: CallerCase) {
        FakeUpstream().use { upstream ->
            mesh(upstream).use { mesh ->
                val closed = sendEndlessly(mesh.proxyPort, case.start, case.block)
                assertEquals("200 completed", outcomeOf(rawCall(mesh.proxyPort, GET)), "the call beside it")
                closed.join(TimeUnit.SECONDS.toMillis(WAIT_SECONDS))
                assertTrue(!closed.isAlive, "the connection of the endless request is closed")
                assertEquals(1, upstream.requests.size)
            }
        }
    }

    @ParameterizedTest
    @MethodSource("bodies")
    internal fun `a long body is forwarded to its end however it is split`(case: BodyCase) {
        FakeUpstream(UpstreamStep.Respond(case.response)).use { upstream ->
            mesh(upstream).use { mesh ->
                val response = rawCall(mesh.proxyPort, GET)
                val size = Regex("\r\n([0-9a-f]+)\r\n").findAll(
                    response.substringAfter("\r\n\r\n", "").let {
                        "\r\n$it"
                    },
                )
                    .sumOf { it.groupValues[1].toLong(16) }
                assertEquals("200 completed", outcomeOf(response))
                assertTrue(response.endsWith("0\r\n\r\n"), "the body ends properly")
                assertEquals(case.bodyBytes, size)
            }
        }
    }

    /** Guards against a download that keeps the traffic thread to itself as long as its caller takes the bytes. */
    @ParameterizedTest
    @MethodSource("downloads")
    internal fun `an endless download to a fast caller slows no other call`(case: Case) {
        FakeUpstream(case.step).use { upstream ->
            mesh(upstream).use { mesh ->
                openCall(mesh.proxyPort, "POST /x HTTP/1.1\r\nHost: h\r\nx-id: 1\r\n\r\n").use { download ->
                    val reader = thread(isDaemon = true) { discardUntilClosed(download) }
                    awaitUntil { upstream.requests.size == 1 }
                    repeat(5) { assertEquals("200 completed", outcomeOf(rawCall(mesh.proxyPort, GET)), "call $it") }
                    assertTrue(reader.isAlive, "the download continues")
                }
            }
        }
    }

    /** Guards against a stack that grows with each chunk of a request body that is at hand. */
    @Test
    fun `a long request in chunks of one byte reaches the upstream whole`() {
        FakeUpstream().use { upstream ->
            mesh(upstream).use { mesh ->
                val head = "POST /x HTTP/1.1\r\nHost: h\r\nx-id: 2\r\nConnection: close\r\n$CHUNKED\r\n"
                val response = rawCall(mesh.proxyPort, head + "1\r\nx\r\n".repeat(MAX_BUFFERED_BYTES) + "0\r\n\r\n")
                assertEquals("200 completed", outcomeOf(response))
                assertEquals(
                    MAX_BUFFERED_BYTES,
                    upstream.requests.single().substringAfter("\r\n\r\n").count {
                        it == 'x'
                    },
                )
            }
        }
    }

    internal class CallerCase(val name: String, val start: String, val block: String) {
        override fun toString() = name
    }

    internal class BodyCase(val name: String, val response: String, val bodyBytes: Long) {
        override fun toString() = name
    }

    private companion object {
        const val GET = "GET /x HTTP/1.1\r\nHost: h\r\nx-id: 2\r\nConnection: close\r\n\r\n"

        fun mesh(upstream: FakeUpstream): FakeMesh {
            val route = RouteConfig(
                pathPrefix = "/",
                destinations = mapOf(FakeMesh.SERVICE to 1),
                timeoutMillis = TIMEOUT_MILLIS,
            )
            val headerNames = CallHeaderNames(requestIdHeader = "x-id", notRunHeader = "x-not-run")
            val settings =
                ProxySettings(NodeId("a"), bindHost = "127.0.0.1", threads = 1, headerNames = headerNames)
            return FakeMesh(listOf(upstream), route, settings = settings)
        }

        fun outcomeOf(response: String): String =
            response.substringAfter(' ').substringBefore(' ') + " " +
                response.substringAfter("boragelever-outcome: ", "none").substringBefore("\r\n")

        fun discardUntilClosed(socket: Socket) {
            val buffer = ByteArray(65_536)
            try {
                while (socket.getInputStream().read(buffer) >= 0) Unit
            } catch (_: SocketException) {
                // The test closed the connection.
            }
        }

        @JvmStatic
        fun downloads(): List<Case> = listOf(
            Case("chunks", endless("$HEAD$CHUNKED\r\n", "2000\r\n$FILLER\r\n"), ""),
            Case("tiny chunks", endless("$HEAD$CHUNKED\r\n", TINY_CHUNK.repeat(1_000)), ""),
            Case("until the connection is closed", endless("$HEAD\r\n", FILLER), ""),
        )

        /** Sends [start] and then [block] on a thread that ends when the receiver closes the connection. */
        fun sendEndlessly(port: Int, start: String, block: String): Thread =
            thread(isDaemon = true) {
                Socket(InetAddress.getLoopbackAddress(), port).use { socket ->
                    try {
                        socket.getOutputStream().write(start.encodeToByteArray())
                        while (true) socket.getOutputStream().write(block.encodeToByteArray())
                    } catch (_: SocketException) {
                        // The receiver closed the connection.
                    }
                }
            }

        @JvmStatic
        fun cases(): List<Case> = listOf(
            Case("a header line without end", endless("${HEAD}x-a: ", FILLER), "502 unknown"),
            Case("header lines without end", endless(HEAD, "x-a: $FILLER\r\n"), "502 unknown"),
            Case("interim responses without end", endless("", "HTTP/1.1 102 Processing\r\n\r\n"), "502 unknown"),
            Case("bytes that are no response", endless("", FILLER), "502 unknown"),
            Case(
                "a response to another request, with a body without end",
                endless("${HEAD}x-id: 9\r\nContent-Length: 99999999999\r\n\r\n", FILLER),
                "504 unknown",
            ),
            Case(
                "a response to another request, with chunks without end",
                endless("${HEAD}x-id: 9\r\n$CHUNKED\r\n", "2000\r\n$FILLER\r\n"),
                "504 unknown",
            ),
            Case(
                "a response to another request, with tiny chunks without end",
                endless("${HEAD}x-id: 9\r\n$CHUNKED\r\n", TINY_CHUNK.repeat(1_000)),
                "504 unknown",
            ),
            Case(
                "a refusal of the upstream with a body without end",
                endless("HTTP/1.1 503 Full\r\nx-not-run: full\r\n$CHUNKED\r\n", "2000\r\n$FILLER\r\n"),
                "503 not-run",
            ),
            Case(
                "a refusal of the upstream with a body of single bytes",
                endless("HTTP/1.1 503 Full\r\nx-not-run: full\r\nContent-Length: 9999\r\n\r\n", "x", pauseMillis = 10),
                "503 not-run",
            ),
            Case("a head of single bytes", endless(HEAD + "x-a: ", "x", pauseMillis = 10), "504 unknown"),
            Case(
                "interim responses at a slow pace",
                endless("", "HTTP/1.1 102 Processing\r\n\r\n", pauseMillis = 10),
                "504 unknown",
            ),
        )

        fun endless(start: String, block: String, pauseMillis: Long = 0) =
            UpstreamStep.RespondEndlessly(start, block, pauseMillis)

        @JvmStatic
        fun callers(): List<CallerCase> = listOf(
            CallerCase("a header line without end", "GET /x HTTP/1.1\r\nx-a: ", FILLER),
            CallerCase("bytes after a request that is refused", "BAD\r\n\r\n", FILLER),
            CallerCase("empty lines without end", "", "\r\n".repeat(FILLER.length / 2)),
        )

        @JvmStatic
        fun bodies(): List<BodyCase> = listOf(
            BodyCase(
                "large chunks",
                "$HEAD$CHUNKED\r\n" + "2000\r\n$FILLER\r\n".repeat(200) + "0\r\n\r\n",
                200L * FILLER.length,
            ),
            BodyCase(
                "chunks of one byte",
                "$HEAD$CHUNKED\r\n" + "1\r\nx\r\n".repeat(TINY_CHUNKS) + "0\r\n\r\n",
                TINY_CHUNKS.toLong(),
            ),
            BodyCase(
                "chunks of 16 bytes",
                "$HEAD$CHUNKED\r\n" + "10\r\n${"x".repeat(16)}\r\n".repeat(TINY_CHUNKS) + "0\r\n\r\n",
                16L * TINY_CHUNKS,
            ),
        )
    }
}
