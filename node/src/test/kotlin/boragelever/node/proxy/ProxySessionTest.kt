package boragelever.node.proxy

import boragelever.core.NodeId
import boragelever.core.call.CallRequest
import boragelever.core.call.fingerprintOf
import boragelever.core.config.LimitsConfig
import boragelever.core.config.RouteConfig
import boragelever.core.control.InterruptedRequest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import java.util.concurrent.CountDownLatch

private const val GET = "GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
private const val OK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
private const val LARGE = 1_000_000

/**
 * Sessions with several calls, slow senders or changes of the node during a call.
 *
 * Guards against slots that are not released, waits without limit, truncated calls at a drain, modified bodies,
 * calls of one connection that are mixed up and internal headers that reach an upstream.
 */
class ProxySessionTest {
    internal class Session(
        val name: String,
        val steps: List<UpstreamStep> = emptyList(),
        val run: (FakeMesh, FakeUpstream) -> Unit,
    ) {
        override fun toString() = name
    }

    @ParameterizedTest
    @MethodSource("sessions")
    internal fun `a session has the expected results`(session: Session) {
        // Long timeouts, so that only the session itself ends a call.
        val route = RouteConfig(pathPrefix = "/", destinations = mapOf(FakeMesh.SERVICE to 1), timeoutMillis = 60_000)
        val retry = route.retry.copy(attemptTimeoutMillis = 60_000)
        val settings = ProxySettings(NodeId("a"), bindHost = "127.0.0.1", receiveTimeoutMillis = 200)
        FakeUpstream(*session.steps.toTypedArray()).use { upstream ->
            FakeMesh(
                listOf(upstream),
                route.copy(retry = retry),
                LimitsConfig(headerTimeoutMillis = 200),
                settings = settings,
            ).use {
                session.run(it, upstream)
            }
        }
    }

    private companion object {
        val HANG = listOf(UpstreamStep.Hang, UpstreamStep.Hang)

        fun outcomeOf(response: String): String =
            response.substringAfter(' ').substringBefore(' ') + " " +
                response.substringAfter("boragelever-outcome: ", "none").substringBefore("\r\n")

        @JvmStatic
        fun sessions(): List<Session> = SESSIONS

        private val SESSIONS = listOf(
            Session("a cancelled call releases its slot", HANG) { mesh, upstream ->
                val calls = List(2) { openCall(mesh.proxyPort, GET) }
                awaitUntil { upstream.requests.size == 2 }
                calls.forEach { it.close() }
                awaitUntil { mesh.callsInFlight == 0 }
                assertEquals("200 completed", outcomeOf(rawCall(mesh.proxyPort, GET)))
            },
            Session("a call is shed if it gets no slot in time", HANG) { mesh, upstream ->
                val calls = List(2) { openCall(mesh.proxyPort, GET) }
                awaitUntil { upstream.requests.size == 2 }
                assertEquals("503 not-run", outcomeOf(rawCall(mesh.proxyPort, GET)))
                assertEquals(2, upstream.requests.size)
                calls.forEach { it.close() }
            },
            CountDownLatch(1).let { latch ->
                Session("a drain completes calls", listOf(UpstreamStep.RespondAfter(latch, OK))) { mesh, upstream ->
                    val call = openCall(mesh.proxyPort, GET)
                    awaitUntil { upstream.requests.size == 1 }
                    mesh.drain()
                    val lateResponse = rawCall(mesh.proxyPort, GET.replace("Connection: close\r\n", ""))
                    assertEquals("200 completed", outcomeOf(lateResponse))
                    assertTrue(lateResponse.contains("Connection: close"), lateResponse)
                    latch.countDown()
                    assertEquals("200 completed", outcomeOf(readMessage(call).orEmpty()))
                    call.close()
                }
            },
            Session(
                "large bodies are forwarded unchanged in both directions",
                listOf(UpstreamStep.Respond("HTTP/1.1 200 OK\r\nContent-Length: $LARGE\r\n\r\n" + "d".repeat(LARGE))),
            ) { mesh, upstream ->
                val head = "PUT /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: $LARGE\r\n\r\n"
                val response = rawCall(mesh.proxyPort, head + "u".repeat(LARGE))
                assertEquals("200 completed", outcomeOf(response))
                assertEquals("d".repeat(LARGE), response.substringAfter("\r\n\r\n"))
                assertEquals("u".repeat(LARGE), upstream.requests.single().substringAfter("\r\n\r\n"))
            },
            Session("a call to a starting node waits for the configuration") { mesh, _ ->
                val restoreSnapshot = mesh.removeSnapshot()
                openCall(mesh.proxyPort, GET).use { call ->
                    awaitUntil { mesh.callsInFlight == 1 }
                    restoreSnapshot()
                    assertEquals("200 completed", outcomeOf(readMessage(call).orEmpty()))
                }
            },
            Session("a call to a node without configuration is refused at its deadline") { mesh, _ ->
                mesh.removeSnapshot()
                val limited = GET.replace("Host: h", "Host: h\r\nboragelever-deadline-ms: 300")
                assertEquals("503 not-run", outcomeOf(rawCall(mesh.proxyPort, limited)))
            },
            Session("a request counts as unfinished from its first byte to the end of its response") { mesh, _ ->
                openCall(mesh.proxyPort, "GET /x HTTP/1.1\r\nHost:").use { call ->
                    awaitUntil { mesh.unfinishedRequests == 1 }
                    assertEquals(0, mesh.callsInFlight)
                    call.getOutputStream().write(" h\r\n\r\n".encodeToByteArray())
                    assertEquals("200 completed", outcomeOf(readMessage(call).orEmpty()))
                    awaitUntil { mesh.unfinishedRequests == 0 }
                }
            },
            Session("a slow sender is refused with status 408") { mesh, upstream ->
                assertEquals("408 not-run", outcomeOf(rawCall(mesh.proxyPort, "GET /x HTTP/1.1\r\nHost:")))
                val head = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbo"
                assertEquals("408 not-run", outcomeOf(rawCall(mesh.proxyPort, head)))
                assertEquals(0, upstream.requests.size)
            },
            Session("a crash report lists the running request", listOf(UpstreamStep.Crash)) { mesh, _ ->
                assertEquals("502 unknown", outcomeOf(rawCall(mesh.proxyPort, GET.replace("GET", "POST"))))
                val crash = mesh.observations.single() as ProxyObservation.UpstreamCrashed
                val request = CallRequest("POST", "/x", host = "h")
                assertEquals(listOf(InterruptedRequest(fingerprintOf(request))), crash.running)
            },
            Session("a connection serves pipelined calls in order") { mesh, upstream ->
                val request = "GET /%d HTTP/1.1\r\nHost: h\r\n\r\n"
                openCall(mesh.proxyPort, request.format(1) + request.format(2)).use { socket ->
                    repeat(2) { assertEquals("200 completed", outcomeOf(readMessage(socket).orEmpty())) }
                }
                assertEquals(listOf("GET /1", "GET /2"), upstream.requests.map { it.substringBefore(" HTTP") })
            },
            Session("internal and hop-by-hop headers of a caller are not forwarded") { mesh, upstream ->
                val headers = "Connection: x-a, close\r\nx-a: 1\r\nx-b: 1\r\nTE: x\r\nboragelever-instance: z\r\n"
                rawCall(mesh.proxyPort, "GET /x HTTP/1.1\r\nHost: h\r\nboragelever-deadline-ms: 5000\r\n$headers\r\n")
                val names = upstream.requests.single().lines().map { it.substringBefore(':').lowercase() }.toSet()
                val dropped = setOf("connection", "x-a", "te", "boragelever-instance", "boragelever-fingerprint")
                assertEquals(emptySet<String>(), names intersect dropped)
                assertTrue(names.containsAll(setOf("x-b", "boragelever-deadline-ms", "boragelever-attempts-left")))
            },
        )
    }
}
