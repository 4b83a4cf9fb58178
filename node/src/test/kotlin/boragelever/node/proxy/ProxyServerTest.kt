package boragelever.node.proxy

import boragelever.core.Fingerprint
import boragelever.core.IdempotencyKey
import boragelever.core.NodeId
import boragelever.core.RouteName
import boragelever.core.call.CallRequest
import boragelever.core.call.claimRow
import boragelever.core.call.fingerprintOf
import boragelever.core.config.IdempotencyConfig
import boragelever.core.config.LimitsConfig
import boragelever.core.config.RetryConfig
import boragelever.core.config.RouteConfig
import boragelever.core.control.UpstreamState
import boragelever.core.store.RowValue
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

private const val GET = "GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
private const val POST = "POST /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbook"
private val KEYED = POST.replace("Content", "Idempotency-Key: k1\r\nContent")
private const val OK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
private const val CHUNKS = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
private const val TAGGED = "HTTP/1.1 200 OK\r\nETag: \"v1\"\r\nContent-Length: 8\r\n\r\n"

/**
 * Calls from a caller's socket to an upstream's socket, over both hops.
 *
 * Guards against truncated or malformed responses that the caller takes for complete, calls that run twice, calls that
 * are lost although a retry is safe, and requests that the node and the upstream interpret differently.
 */
class ProxyServerTest {
    internal class Case(
        val name: String,
        val upstreams: List<List<UpstreamStep>> = listOf(listOf(UpstreamStep.Respond(OK))),
        val calls: List<String> = listOf(GET),
        val route: RouteConfig = ROUTE,
        val limits: LimitsConfig = LimitsConfig(),
        val quarantined: Set<Fingerprint> = emptySet(),
        val faults: List<PlatformFault> = emptyList(),
        val states: (Int) -> UpstreamState = { UpstreamState.SERVING },
        /** Status and outcome of the response to the last call. */
        val response: Pair<Int, String?>,
        /** End of the last response, or `null` if it is not checked. */
        val ending: String? = null,
        /** Number of requests that reached each upstream. */
        val dispatched: List<Int>,
        /** Number of reported upstream crashes. */
        val crashes: Int = 0,
        val maxBufferedResponseBytes: Int = 0,
    ) {
        override fun toString() = name
    }

    @ParameterizedTest
    @MethodSource("cases")
    internal fun `the caller gets the status, outcome and body that match the events`(case: Case) {
        val upstreams = case.upstreams.map { FakeUpstream(*it.toTypedArray()) }
        val platform = FakePlatform(case.faults.toMutableList())
        val settings = ProxySettings(
            NodeId("a"),
            bindHost = "127.0.0.1",
            maxBufferedResponseBytes = case.maxBufferedResponseBytes,
        )
        FakeMesh(upstreams, case.route, case.limits, platform, case.quarantined, settings, case.states).use { mesh ->
            val responses = case.calls.map { call -> rawCall(mesh.proxyPort, call).also { platform.awaitRecord(it) } }
            val last = responses.last()
            val status = last.substringAfter(' ', "0").substringBefore(' ').toInt()
            val outcome = Regex("boragelever-outcome: (\\S+)").find(last)?.groupValues?.get(1)
            assertEquals(case.response, status to outcome, last)
            case.ending?.let { assertTrue(last.endsWith(it), last) }
            assertEquals(case.dispatched, upstreams.map { it.requests.size })
            assertEquals(case.crashes, mesh.observations.size, mesh.observations.toString())
        }
        upstreams.forEach { it.close() }
    }

    /** Waits until the response is recorded, after the caller has it; a client retry before that gets `unknown`. */
    private fun FakePlatform.awaitRecord(response: String) {
        val row = claimRow(IdempotencyKey("k1"), RouteName("all"))
        val completed = response.startsWith("HTTP/1.1 200")
        awaitUntil { !completed || row(row).let { it == null || (it.value as RowValue.Claim).answer != null } }
    }

    private companion object {
        val ROUTE = RouteConfig(
            pathPrefix = "/",
            destinations = mapOf(FakeMesh.SERVICE to 1),
            timeoutMillis = 2_000,
            idleTimeoutMillis = 300,
            retry = RetryConfig(attemptTimeoutMillis = 300),
        )
        val ONE_ATTEMPT = ROUTE.copy(retry = ROUTE.retry.copy(maxAttempts = 1))
        val KEY_REQUIRED = ROUTE.copy(idempotency = IdempotencyConfig(requireKey = true))
        val QUARANTINED = fingerprintOf(CallRequest("POST", "/x", key = IdempotencyKey("k1")))
        val CRASH = listOf<UpstreamStep>(UpstreamStep.Crash)
        val SERVING = listOf<UpstreamStep>(UpstreamStep.Respond(OK))

        private fun responding(vararg texts: String) = texts.map { UpstreamStep.Respond(it) }

        private fun closing(text: String) = listOf<UpstreamStep>(UpstreamStep.RespondAndClose(text))

        @JvmStatic
        fun cases(): List<Case> = completeResponses + failingResponses + atMostOnce + refusedRequests

        private val completeResponses = listOf(
            Case("a call gets its response", response = 200 to "completed", ending = "ok", dispatched = listOf(1)),
            Case(
                "a chunked body is forwarded completely",
                listOf(responding(CHUNKS + "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")),
                response = 200 to "completed",
                ending = "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
                dispatched = listOf(1),
            ),
            Case(
                "the outcome header of an upstream is not trusted",
                listOf(responding("HTTP/1.1 503 No\r\nboragelever-outcome: not-run\r\nContent-Length: 0\r\n\r\n")),
                calls = listOf(POST),
                response = 503 to "completed",
                dispatched = listOf(1),
            ),
            Case(
                "a response to HEAD has no body in spite of its Content-Length",
                listOf(responding("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n")),
                calls = listOf(GET.replace("GET", "HEAD")),
                response = 200 to "completed",
                dispatched = listOf(1),
            ),
        )

        private val failingResponses = listOf(
            Case(
                "a truncated chunked body ends with a reset",
                listOf(closing(CHUNKS + "5\r\nab")),
                response = 200 to "completed",
                ending = "<reset>",
                dispatched = listOf(1),
            ),
            Case(
                "a body shorter than its Content-Length ends with a reset",
                listOf(closing("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nabc")),
                response = 200 to "completed",
                ending = "<reset>",
                dispatched = listOf(1),
            ),
            Case(
                "a truncated download is resumed if its entity tag matches",
                listOf(
                    closing(TAGGED + "abc"),
                    responding(
                        "HTTP/1.1 206 Part\r\nETag: \"v1\"\r\nContent-Range: bytes 3-7/8\r\n" +
                            "Content-Length: 5\r\n\r\ndefgh",
                    ),
                ),
                response = 200 to "completed",
                ending = "abcdefgh",
                dispatched = listOf(1, 1),
            ),
            Case(
                "a download is not resumed from another version",
                listOf(
                    closing(TAGGED + "abc"),
                    responding(
                        "HTTP/1.1 206 Part\r\nETag: \"v2\"\r\nContent-Range: bytes 3-7/8\r\n" +
                            "Content-Length: 5\r\n\r\ndefgh",
                    ),
                ),
                response = 200 to "completed",
                ending = "<reset>",
                dispatched = listOf(1, 1),
            ),
            Case(
                "a stalled body ends with a reset",
                listOf(responding("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nabc")),
                response = 200 to "completed",
                ending = "<reset>",
                dispatched = listOf(1),
            ),
            Case(
                "a read whose buffered response is truncated is retried",
                listOf(closing("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nabc"), SERVING),
                response = 200 to "completed",
                ending = "ok",
                dispatched = listOf(1, 1),
                maxBufferedResponseBytes = 1_024,
            ),
            Case(
                "a response that ends with its connection is forwarded as chunked",
                listOf(closing("HTTP/1.1 200 OK\r\n\r\nabc")),
                calls = listOf(POST),
                response = 200 to "completed",
                ending = "3\r\nabc\r\n0\r\n\r\n",
                dispatched = listOf(1),
            ),
            Case(
                "a response without length whose connection is reset ends with a reset",
                listOf(listOf(UpstreamStep.RespondAndReset("HTTP/1.1 200 OK\r\n\r\nabc"))),
                calls = listOf(POST),
                response = 200 to "completed",
                ending = "<reset>",
                dispatched = listOf(1),
            ),
        )

        private val atMostOnce = listOf(
            Case(
                "a read is retried after its upstream crashed",
                listOf(CRASH, SERVING),
                response = 200 to "completed",
                dispatched = listOf(1, 1),
                crashes = 1,
            ),
            Case(
                "a booking is not retried after its upstream crashed",
                listOf(CRASH, SERVING),
                calls = listOf(POST),
                response = 502 to "unknown",
                dispatched = listOf(1, 0),
                crashes = 1,
            ),
            Case(
                "a booking is retried after the last hop refused it",
                listOf(SERVING, SERVING),
                calls = listOf(POST),
                states = { if (it == 0) UpstreamState.DRAINING else UpstreamState.SERVING },
                response = 200 to "completed",
                dispatched = listOf(0, 1),
            ),
            Case(
                "a hanging read is retried before the deadline",
                listOf(listOf(UpstreamStep.Hang), SERVING),
                response = 200 to "completed",
                dispatched = listOf(1, 1),
            ),
            Case(
                "a client retry with the same key gets the recorded response",
                calls = listOf(KEYED, KEYED),
                response = 200 to "completed",
                ending = "ok",
                dispatched = listOf(1),
            ),
            Case(
                "a client retry of a call with unknown outcome does not run",
                listOf(CRASH, SERVING),
                calls = listOf(KEYED, KEYED),
                response = 409 to "unknown",
                dispatched = listOf(1, 0),
                crashes = 1,
            ),
            Case(
                "a key that is reused for another request is refused",
                calls = listOf(KEYED, KEYED.replace("book", "lend")),
                response = 422 to "not-run",
                dispatched = listOf(1),
            ),
            Case(
                "a keyed call does not run while the store is unavailable",
                calls = listOf(KEYED),
                faults = listOf(PlatformFault.UNAVAILABLE),
                response = 503 to "not-run",
                dispatched = listOf(0),
            ),
            Case(
                "a keyed call runs if its claim was written but the result was lost",
                calls = listOf(KEYED),
                faults = listOf(PlatformFault.LOST_AFTER),
                response = 200 to "completed",
                dispatched = listOf(1),
            ),
            Case(
                "the claim of a refused keyed call is released",
                calls = listOf(KEYED, KEYED),
                route = ONE_ATTEMPT,
                states = { UpstreamState.STARTING },
                response = 503 to "not-run",
                dispatched = listOf(0),
            ),
            Case(
                "a call without the required key is refused",
                calls = listOf(POST),
                route = KEY_REQUIRED,
                response = 400 to "not-run",
                dispatched = listOf(0),
            ),
            Case(
                "a quarantined request is refused",
                calls = listOf(KEYED),
                quarantined = setOf(QUARANTINED),
                response = 503 to "not-run",
                dispatched = listOf(0),
            ),
        )

        private val refusedRequests = listOf(
            refused(
                "a request with Content-Length and Transfer-Encoding is refused",
                "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            ),
            refused("a request with two Host headers is refused", "Host: other\r\n\r\n"),
            refused("a folded header is refused", "A: b\r\n c\r\n\r\n"),
            refused("a malformed chunk size is refused", "Transfer-Encoding: chunked\r\n\r\n+4\r\nbook\r\n0\r\n\r\n"),
            refused(
                "a head that exceeds its limit is refused",
                "A: ${"x".repeat(700)}\r\n\r\n",
                431,
                LimitsConfig(maxHeaderBytes = 600),
            ),
            refused(
                "a body that exceeds its limit is refused",
                "Content-Length: 9\r\n\r\n123456789",
                413,
                LimitsConfig(maxBodyBytes = 8),
            ),
            refused("a call above the call limit is refused", "\r\n", 503, LimitsConfig(maxConcurrentCalls = 0)),
        )

        private fun refused(name: String, rest: String, status: Int = 400, limits: LimitsConfig = LimitsConfig()) =
            Case(
                name,
                calls = listOf("POST /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n$rest"),
                limits = limits,
                response = status to "not-run",
                dispatched = listOf(0),
            )
    }
}
