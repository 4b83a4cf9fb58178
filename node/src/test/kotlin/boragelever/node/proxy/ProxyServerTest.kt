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

/** Calls from a caller's socket to an upstream's, over both hops; each case names the failure it guards against. */
class ProxyServerTest {
    internal class Case(
        val failure: String,
        val upstreams: List<List<UpstreamStep>> = listOf(listOf(UpstreamStep.Answer(OK))),
        val calls: List<String> = listOf(GET),
        val route: RouteConfig = ROUTE,
        val limits: LimitsConfig = LimitsConfig(),
        val quarantined: Set<Fingerprint> = emptySet(),
        val faults: List<PlatformFault> = emptyList(),
        val states: (Int) -> UpstreamState = { UpstreamState.SERVING },
        /** Status and outcome of the last call. */
        val answer: Pair<Int, String?>,
        /** End of the last answer. */
        val ending: String? = null,
        /** Requests that reached each upstream. */
        val dispatched: List<Int>,
        val died: Int = 0,
        val maxBufferedResponseBytes: Int = 0,
    ) {
        override fun toString() = failure
    }

    @ParameterizedTest
    @MethodSource("cases")
    internal fun `the caller sees what happened`(case: Case) {
        val upstreams = case.upstreams.map { FakeUpstream(*it.toTypedArray()) }
        val platform = FakePlatform(case.faults.toMutableList())
        val settings = ProxySettings(
            NodeId("a"),
            bindHost = "127.0.0.1",
            maxBufferedResponseBytes = case.maxBufferedResponseBytes,
        )
        FakeMesh(upstreams, case.route, case.limits, platform, case.quarantined, settings, case.states).use { mesh ->
            val answers = case.calls.map { call -> rawCall(mesh.proxyPort, call).also { platform.awaitRecord(it) } }
            val last = answers.last()
            val status = last.substringAfter(' ', "0").substringBefore(' ').toInt()
            val outcome = Regex("boragelever-outcome: (\\S+)").find(last)?.groupValues?.get(1)
            assertEquals(case.answer, status to outcome, last)
            case.ending?.let { assertTrue(last.endsWith(it), last) }
            assertEquals(case.dispatched, upstreams.map { it.requests.size })
            assertEquals(case.died, mesh.observations.size, mesh.observations.toString())
        }
        upstreams.forEach { it.close() }
    }

    /** The answer of a keyed call is recorded after the caller has it; a repeat before that is told `unknown`. */
    private fun FakePlatform.awaitRecord(answer: String) {
        val row = claimRow(IdempotencyKey("k1"), RouteName("all"))
        val completed = answer.startsWith("HTTP/1.1 200")
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
        val POISON = fingerprintOf(CallRequest("POST", "/x", key = IdempotencyKey("k1")))
        val CRASH = listOf<UpstreamStep>(UpstreamStep.Crash)
        val SERVING = listOf<UpstreamStep>(UpstreamStep.Answer(OK))

        private fun answering(vararg texts: String) = texts.map { UpstreamStep.Answer(it) }

        private fun closing(text: String) = listOf<UpstreamStep>(UpstreamStep.AnswerAndClose(text))

        @JvmStatic
        fun cases(): List<Case> = whole + breaking + atMostOnce + limits

        private val whole = listOf(
            Case("a plain call is lost", answer = 200 to "completed", ending = "ok", dispatched = listOf(1)),
            Case(
                "a chunked body is cut",
                listOf(answering(CHUNKS + "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")),
                answer = 200 to "completed",
                ending = "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
                dispatched = listOf(1),
            ),
            Case(
                "the outcome of an upstream's own refusal is called not-run",
                listOf(answering("HTTP/1.1 503 No\r\nboragelever-outcome: not-run\r\nContent-Length: 0\r\n\r\n")),
                calls = listOf(POST),
                answer = 503 to "completed",
                dispatched = listOf(1),
            ),
            Case(
                "a bodiless answer to HEAD waits for a body",
                listOf(answering("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n")),
                calls = listOf(GET.replace("GET", "HEAD")),
                answer = 200 to "completed",
                dispatched = listOf(1),
            ),
        )

        private val breaking = listOf(
            Case(
                "a truncated chunked body passes as whole",
                listOf(closing(CHUNKS + "5\r\nab")),
                answer = 200 to "completed",
                ending = "<reset>",
                dispatched = listOf(1),
            ),
            Case(
                "a short body passes as whole",
                listOf(closing("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nabc")),
                answer = 200 to "completed",
                ending = "<reset>",
                dispatched = listOf(1),
            ),
            Case(
                "a half-finished download is lost although its tag is known",
                listOf(
                    closing(TAGGED + "abc"),
                    answering(
                        "HTTP/1.1 206 Part\r\nETag: \"v1\"\r\nContent-Range: bytes 3-7/8\r\n" +
                            "Content-Length: 5\r\n\r\ndefgh",
                    ),
                ),
                answer = 200 to "completed",
                ending = "abcdefgh",
                dispatched = listOf(1, 1),
            ),
            Case(
                "the rest of another version is appended to a download",
                listOf(
                    closing(TAGGED + "abc"),
                    answering(
                        "HTTP/1.1 206 Part\r\nETag: \"v2\"\r\nContent-Range: bytes 3-7/8\r\n" +
                            "Content-Length: 5\r\n\r\ndefgh",
                    ),
                ),
                answer = 200 to "completed",
                ending = "<reset>",
                dispatched = listOf(1, 1),
            ),
            Case(
                "a stalled body hangs the caller",
                listOf(answering("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nabc")),
                answer = 200 to "completed",
                ending = "<reset>",
                dispatched = listOf(1),
            ),
            Case(
                "a read whose short answer breaks off is lost",
                listOf(closing("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nabc"), SERVING),
                answer = 200 to "completed",
                ending = "ok",
                dispatched = listOf(1, 1),
                maxBufferedResponseBytes = 1_024,
            ),
            Case(
                "an answer that ends with its connection is lost",
                listOf(closing("HTTP/1.1 200 OK\r\n\r\nabc")),
                calls = listOf(POST),
                answer = 200 to "completed",
                ending = "3\r\nabc\r\n0\r\n\r\n",
                dispatched = listOf(1),
            ),
            Case(
                "an answer without length whose connection is reset passes as whole",
                listOf(listOf(UpstreamStep.AnswerAndReset("HTTP/1.1 200 OK\r\n\r\nabc"))),
                calls = listOf(POST),
                answer = 200 to "completed",
                ending = "<reset>",
                dispatched = listOf(1),
            ),
        )

        private val atMostOnce = listOf(
            Case(
                "a read is not retried after its upstream died",
                listOf(CRASH, SERVING),
                answer = 200 to "completed",
                dispatched = listOf(1, 1),
                died = 1,
            ),
            Case(
                "a booking runs twice after its upstream died",
                listOf(CRASH, SERVING),
                calls = listOf(POST),
                answer = 502 to "unknown",
                dispatched = listOf(1, 0),
                died = 1,
            ),
            Case(
                "a booking is not retried although the last hop refused it",
                listOf(SERVING, SERVING),
                calls = listOf(POST),
                states = { if (it == 0) UpstreamState.DRAINING else UpstreamState.SERVING },
                answer = 200 to "completed",
                dispatched = listOf(0, 1),
            ),
            Case(
                "a hanging read uses up the deadline",
                listOf(listOf(UpstreamStep.Hang), SERVING),
                answer = 200 to "completed",
                dispatched = listOf(1, 1),
            ),
            Case(
                "a repeat with the same key runs again",
                calls = listOf(KEYED, KEYED),
                answer = 200 to "completed",
                ending = "ok",
                dispatched = listOf(1),
            ),
            Case(
                "a repeat of a call with unknown outcome runs again",
                listOf(CRASH, SERVING),
                calls = listOf(KEYED, KEYED),
                answer = 409 to "unknown",
                dispatched = listOf(1, 0),
                died = 1,
            ),
            Case(
                "a key is reused for another request",
                calls = listOf(KEYED, KEYED.replace("book", "lend")),
                answer = 422 to "not-run",
                dispatched = listOf(1),
            ),
            Case(
                "a keyed call runs although its claim was refused by the store",
                calls = listOf(KEYED),
                faults = listOf(PlatformFault.UNAVAILABLE),
                answer = 503 to "not-run",
                dispatched = listOf(0),
            ),
            Case(
                "a keyed call is refused although its claim took effect",
                calls = listOf(KEYED),
                faults = listOf(PlatformFault.LOST_AFTER),
                answer = 200 to "completed",
                dispatched = listOf(1),
            ),
            Case(
                "a refused keyed call cannot be repeated",
                calls = listOf(KEYED, KEYED),
                route = ONE_ATTEMPT,
                states = { UpstreamState.STARTING },
                answer = 503 to "not-run",
                dispatched = listOf(0),
            ),
            Case(
                "a call without the required key runs",
                calls = listOf(POST),
                route = KEY_REQUIRED,
                answer = 400 to "not-run",
                dispatched = listOf(0),
            ),
            Case(
                "a request that crashes upstreams is sent again",
                calls = listOf(KEYED),
                quarantined = setOf(POISON),
                answer = 503 to "not-run",
                dispatched = listOf(0),
            ),
        )

        private val limits = listOf(
            refused(
                "two lengths smuggle a request",
                "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            ),
            refused("two hosts lead to two routes", "Host: other\r\n\r\n"),
            refused("a folded header smuggles a value", "A: b\r\n c\r\n\r\n"),
            refused("a bad chunk smuggles a request", "Transfer-Encoding: chunked\r\n\r\n+4\r\nbook\r\n0\r\n\r\n"),
            refused(
                "a head exhausts the memory",
                "A: ${"x".repeat(700)}\r\n\r\n",
                431,
                LimitsConfig(maxHeaderBytes = 600),
            ),
            refused(
                "a body exhausts the memory",
                "Content-Length: 9\r\n\r\n123456789",
                413,
                LimitsConfig(maxBodyBytes = 8),
            ),
            refused("an overloaded node queues calls", "\r\n", 503, LimitsConfig(maxConcurrentCalls = 0)),
        )

        private fun refused(failure: String, rest: String, status: Int = 400, limits: LimitsConfig = LimitsConfig()) =
            Case(
                failure,
                calls = listOf("POST /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n$rest"),
                limits = limits,
                answer = status to "not-run",
                dispatched = listOf(0),
            )
    }
}
