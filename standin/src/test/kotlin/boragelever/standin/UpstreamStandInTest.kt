package boragelever.standin

import boragelever.core.IdempotencyKey
import boragelever.core.InstanceId
import boragelever.core.NetworkAddress
import boragelever.core.ServiceName
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.plugins.HttpRequestTimeoutException
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.plugins.timeout
import io.ktor.client.request.get
import io.ktor.client.request.header
import io.ktor.client.statement.bodyAsBytes
import io.ktor.client.statement.bodyAsText
import io.ktor.server.engine.embeddedServer
import io.ktor.server.request.receiveText
import io.ktor.server.response.respondText
import io.ktor.server.routing.post
import io.ktor.server.routing.routing
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.Assertions.assertArrayEquals
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.Arguments
import org.junit.jupiter.params.provider.Arguments.arguments
import org.junit.jupiter.params.provider.MethodSource

/** Guards against a stand-in that hides proxy faults, for example by a wrong range or a request that is not counted. */
class UpstreamStandInTest {
    private val client = HttpClient(CIO) { install(HttpTimeout) { requestTimeoutMillis = 10_000 } }

    @ParameterizedTest(name = "{0}")
    @MethodSource("decisions")
    fun `the reply to a request depends on state and mode`(
        @Suppress("unused") name: String,
        state: UpstreamStandInState,
        request: UpstreamRequest,
        expected: UpstreamReply,
    ) {
        assertEquals(expected, reduceUpstream(state, UpstreamEvent.RequestArrived(request, nowMillis = 1_500)).reply)
    }

    @Test
    fun `runs are counted per idempotency key and slots are released`() {
        val arrived = UpstreamEvent.RequestArrived(ECHO.copy(idempotencyKey = IdempotencyKey("k")), 0)
        val events = listOf(arrived, UpstreamEvent.RequestEnded, arrived, arrived)
        val state = events.fold(IDLE) { state, event -> reduceUpstream(state, event).state }
        assertEquals(mapOf(IdempotencyKey("k") to 3), state.counts.runsByKey)
        assertEquals(listOf(2, 2), listOf(state.running, state.counts.maxRunning))
    }

    @Test
    fun `a crash closes the connection and the instance restarts on its port`() =
        runBlocking {
            UpstreamStandIn(SETTINGS.copy(restartDelayMillis = 50)).use { upstream ->
                val url = "http://${upstream.address}/a"
                val failure = runCatching {
                    client.get(url) { header(CRASH_HEADER, "1") }.bodyAsText()
                }.exceptionOrNull()
                assertTrue(
                    failure != null && failure !is HttpRequestTimeoutException,
                    "not closed: $failure",
                )
                withTimeout(30_000) {
                    while (runCatching { client.get(url).bodyAsText() }.isFailure) delay(20)
                }
                assertEquals(1L, upstream.current.counts.crashes)
            }
        }

    @Test
    fun `a download is complete, partial or stalled`() =
        runBlocking {
            UpstreamStandIn(SETTINGS).use { upstream ->
                val url = "http://${upstream.address}$DOWNLOAD_PATH"
                val complete = client.get(url).bodyAsBytes()
                val tail = client.get(url) { header("Range", "bytes=600-") }
                assertEquals(
                    listOf(206, "bytes 600-999/1000"),
                    listOf(tail.status.value, tail.headers["Content-Range"]),
                )
                assertArrayEquals(complete.copyOfRange(600, 1_000), tail.bodyAsBytes())
                upstream.setMode(UpstreamMode.Stall(afterBytes = 10))
                val stalled = runCatching { client.get(url) { timeout { requestTimeoutMillis = 500 } }.bodyAsBytes() }
                assertTrue(stalled.isFailure)
            }
        }

    @Test
    fun `the instance registers at its node as serving and then as draining`() =
        runBlocking {
            val bodies = Channel<String>(Channel.UNLIMITED)
            val admin =
                embeddedServer(io.ktor.server.cio.CIO, port = 0, host = "127.0.0.1") {
                    routing {
                        post("/v1/upstreams") {
                            bodies.send(call.receiveText())
                            call.respondText("")
                        }
                    }
                }.start(wait = false)
            val port = admin.engine.resolvedConnectors().first().port
            val upstream = UpstreamStandIn(SETTINGS, NetworkAddress("127.0.0.1:$port"))
            val registration =
                """{"service":"fitbook","instance":"f1","address":"${upstream.address}",""" +
                    """"slots":2,"connections":130,"state":"%s"}"""
            assertEquals(registration.format("serving"), withTimeout(30_000) { bodies.receive() })
            upstream.drain()
            withTimeout(30_000) {
                while (bodies.receive() != registration.format("draining")) Unit
            }
            upstream.close()
            admin.stop(0, 0)
        }

    private companion object {
        val SETTINGS =
            UpstreamSettings(
                ServiceName("fitbook"),
                InstanceId("f1"),
                slots = 2,
                serviceMillis = 5,
                bodySizeBytes = 1_000,
            )
        val IDLE = UpstreamStandInState(SETTINGS)
        val ECHO = UpstreamRequest("POST", "/a?x=1")
        val ECHOED = UpstreamBody.Echo("POST", "/a?x=1", SETTINGS.service, SETTINGS.instance)
        val RUN = UpstreamReply.Run(ECHOED, 5, 50)
        val GET = UpstreamRequest("GET", "$DOWNLOAD_PATH/a")
        val TAG = UpstreamBody.Download(0, 999, 1_000).entityTag

        fun download(first: Int, last: Int) = RUN.copy(body = UpstreamBody.Download(first, last, 1_000))

        @JvmStatic
        fun decisions(): List<Arguments> =
            listOf(
                arguments("echo", IDLE, ECHO, RUN),
                arguments("no free slot", IDLE.copy(running = 2), ECHO, UpstreamReply.Shed),
                arguments("crash", IDLE, ECHO.copy(causesCrash = true), UpstreamReply.Crash),
                arguments("hang", IDLE.copy(mode = UpstreamMode.Hang), ECHO, UpstreamReply.Hang),
                arguments(
                    "flap, failing half",
                    IDLE.copy(mode = UpstreamMode.Flap(1_000)),
                    ECHO,
                    UpstreamReply.BreakConnection,
                ),
                arguments("flap, serving half", IDLE.copy(mode = UpstreamMode.Flap(700)), ECHO, RUN),
                arguments("slow", IDLE.copy(mode = UpstreamMode.Slow(7)), ECHO, RUN.copy(delayMillis = 12)),
                arguments("stall", IDLE.copy(mode = UpstreamMode.Stall(3)), ECHO, RUN.copy(stallAfterBytes = 3)),
                arguments("lie", IDLE.copy(mode = UpstreamMode.Lie(1)), ECHO, RUN.copy(loadPercent = 1)),
                arguments("complete download", IDLE, GET, download(0, 999)),
                arguments("range", IDLE, GET.copy(range = "bytes=10-19"), download(10, 19)),
                arguments("matching If-Range", IDLE, GET.copy(range = "bytes=10-", ifRange = TAG), download(10, 999)),
                arguments("other If-Range", IDLE, GET.copy(range = "bytes=10-", ifRange = "\"x\""), download(0, 999)),
                arguments("range beyond the end", IDLE, GET.copy(range = "bytes=1000-"), download(0, 999)),
            )
    }
}
