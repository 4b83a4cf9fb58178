package boragelever.node.proxy

import boragelever.core.NodeId
import boragelever.core.call.CallHeaderNames
import boragelever.core.call.RefusalReason
import boragelever.core.config.RouteConfig
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

/**
 * Upstreams that send more than one response to a request on a connection that the node keeps.
 *
 * Guards against a caller that gets the response to another request. The extra bytes arrive with the response, while
 * the connection is idle, or at the point where the next response is expected.
 */
class LateResponseTest {
    internal class Case(
        val name: String,
        /** Responses to the first and the second request, and bytes that follow the first one after a pause. */
        val first: String,
        val second: String = response("2", "two"),
        val late: String = "",
        val firstMethod: String = "GET",
        val expected: List<String> = listOf("200 one", "200 two"),
    ) {
        override fun toString() = name
    }

    @ParameterizedTest
    @MethodSource("cases")
    internal fun `each caller gets the response to its own request`(case: Case) {
        val steps = arrayOf(UpstreamStep.RespondTwice(case.first, case.late), UpstreamStep.Respond(case.second))
        FakeUpstream(*steps).use { upstream ->
            val route = RouteConfig(pathPrefix = "/", destinations = mapOf(FakeMesh.SERVICE to 1))
            val settings = ProxySettings(
                NodeId("a"),
                bindHost = "127.0.0.1",
                threads = 1,
                headerNames = CallHeaderNames(requestIdHeader = "x-id", notRunHeader = "x-not-run"),
            )
            FakeMesh(listOf(upstream), route, settings = settings).use { mesh ->
                val first = rawCall(mesh.proxyPort, request(case.firstMethod, "1"))
                if (case.late.isNotEmpty()) upstream.lateResponseSent.await()
                val second = rawCall(mesh.proxyPort, request("GET", "2"))
                assertEquals(case.expected, listOf(first, second).map { statusAndBody(it) })
                assertEquals(2, upstream.requests.size)
            }
        }
    }

    private companion object {
        fun request(method: String, id: String) =
            "$method /$id HTTP/1.1\r\nHost: h\r\nx-id: $id\r\nConnection: close\r\n\r\n"

        fun response(id: String, body: String) =
            "HTTP/1.1 200 OK\r\nx-id: $id\r\nContent-Length: ${body.length}\r\n\r\n$body"

        fun statusAndBody(response: String): String =
            (response.substringAfter(' ').substringBefore(' ') + " " + bodyOf(response)).trim()

        private fun bodyOf(response: String): String {
            val body = response.substringAfter("\r\n\r\n")
            val isChunked = "Transfer-Encoding: chunked" in response
            return if (isChunked) body.substringAfter("\r\n").substringBefore("\r\n") else body
        }

        val ONE = response("1", "one")
        const val REFUSAL =
            "HTTP/1.1 503 Full\r\nx-id: 1\r\nx-not-run: full\r\nContent-Length: 0\r\n\r\n"
        val REFUSED = listOf("503 not-run: upstream-shed: ${RefusalReason.UPSTREAM_SHED.remedy}", "200 two")
        const val CHUNKED_ONE = "HTTP/1.1 200 OK\r\nx-id: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\n\r\n"

        @JvmStatic
        fun cases(): List<Case> = listOf(
            Case("a second copy together with the response", ONE + ONE),
            Case("a second copy while the connection is idle", ONE, late = ONE),
            Case("a second copy where the next response is expected", ONE, ONE + response("2", "two")),
            Case("two copies where the next response is expected", ONE, ONE + ONE + response("2", "two")),
            Case(
                "a chunked copy where the next response is expected",
                CHUNKED_ONE,
                CHUNKED_ONE + response("2", "two"),
            ),
            Case("a refusal once more together with it", REFUSAL + REFUSAL, expected = REFUSED),
            Case("a refusal once more while the connection is idle", REFUSAL, late = REFUSAL, expected = REFUSED),
            Case(
                "a refusal once more where the next response is expected",
                REFUSAL,
                REFUSAL + response("2", "two"),
                expected = REFUSED,
            ),
            Case("an interim response after the response", ONE, late = "HTTP/1.1 102 Processing\r\n\r\n"),
            Case("bytes beyond the stated length", ONE + "more"),
            Case("bytes after the last chunk", CHUNKED_ONE + "3\r\ntwo\r\n0\r\n\r\n"),
            Case(
                "a body after the response to HEAD",
                ONE,
                firstMethod = "HEAD",
                expected = listOf("200", "200 two"),
            ),
            Case(
                "a late body after the response to HEAD",
                "HTTP/1.1 200 OK\r\nx-id: 1\r\nContent-Length: 3\r\n\r\n",
                late = "one",
                firstMethod = "HEAD",
                expected = listOf("200", "200 two"),
            ),
            Case(
                "a body after 204",
                "HTTP/1.1 204 No Content\r\nx-id: 1\r\n\r\none",
                expected = listOf("204", "200 two"),
            ),
        )
    }
}
