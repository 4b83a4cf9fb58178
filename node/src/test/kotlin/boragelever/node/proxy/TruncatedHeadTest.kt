package boragelever.node.proxy

import boragelever.core.NodeId
import boragelever.core.call.CallHeaderNames
import boragelever.core.config.RouteConfig
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

/** Guards against a response whose upstream stopped in the middle of the head and that reaches the caller as whole. */
class TruncatedHeadTest {
    @ParameterizedTest
    @MethodSource("steps")
    internal fun `a response with a truncated head is no success`(step: UpstreamStep) {
        FakeUpstream(step, step, step).use { upstream ->
            val route = RouteConfig(pathPrefix = "/", destinations = mapOf(FakeMesh.SERVICE to 1))
            val settings = ProxySettings(
                NodeId("a"),
                bindHost = "127.0.0.1",
                threads = 1,
                headerNames = CallHeaderNames(requestIdHeader = "x-id"),
            )
            FakeMesh(listOf(upstream), route, settings = settings).use { mesh ->
                val request = "POST /x HTTP/1.1\r\nHost: h\r\nx-id: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
                assertEquals("502", rawCall(mesh.proxyPort, request).substringAfter(' ').substringBefore(' '))
            }
        }
    }

    private companion object {
        const val HEAD = "HTTP/1.1 200 OK\r\nx-id: 1\r\nContent-Length: 12\r\nContent-Type: text/plain\r\n\r\n"

        /** The head is cut inside each line, at each end of a line and before its last byte. */
        @JvmStatic
        fun steps(): List<UpstreamStep> {
            val lineEnds = HEAD.indices.filter { HEAD[it] == '\n' }
            val cuts = lineEnds.flatMap { listOf(it - 3, it, it + 1) }.filter { it in 1 until HEAD.length }.distinct()
            return cuts.flatMap { cut ->
                val start = HEAD.take(cut)
                listOf(UpstreamStep.RespondAndClose(start), UpstreamStep.RespondAndReset(start))
            }
        }
    }
}
