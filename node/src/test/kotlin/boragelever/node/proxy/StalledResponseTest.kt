package boragelever.node.proxy

import boragelever.core.NodeId
import boragelever.core.call.CallHeaderNames
import boragelever.core.config.RouteConfig
import boragelever.platform.decodeOperatorConfig
import boragelever.yaml.decodeConfigDocument
import com.github.michaelbull.result.get
import org.junit.jupiter.api.Assertions.assertTimeoutPreemptively
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.function.ThrowingSupplier
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import java.time.Duration

/** More than the timeout of the route, and less than the idle timeout of a body, which also ends a silent response. */
private const val LIMIT_MILLIS = 4_000L

/**
 * Guards against a response in progress that outlives the timeout of the operator's route, silently or byte by byte.
 *
 * `CallReducerTest` has the exact time; this test has a bound between the timeout of the route and the idle timeout.
 */
class StalledResponseTest {
    /** The upstream sends the head, [startBytes] of the body and then one byte per [pauseMillis]. */
    internal data class Case(val method: String, val startBytes: Int, val pauseMillis: Long)

    @ParameterizedTest
    @MethodSource("cases")
    internal fun `a response in progress ends at the timeout of its route`(case: Case) {
        val start = "HTTP/1.1 200 OK\r\nContent-Length: 540000\r\n\r\n" + "x".repeat(case.startBytes)
        FakeUpstream(UpstreamStep.RespondEndlessly(start, "x", case.pauseMillis)).use { upstream ->
            FakeMesh(listOf(upstream), route(), settings = SETTINGS).use { mesh ->
                val request = "${case.method} /x HTTP/1.1\r\nHost: h\r\nx-id: 1\r\nContent-Length: 0\r\n" +
                    "Connection: close\r\n\r\n"
                val response = assertTimeoutPreemptively(
                    Duration.ofMillis(LIMIT_MILLIS),
                    ThrowingSupplier {
                        rawCall(mesh.proxyPort, request)
                    },
                )
                assertTrue(response.endsWith("<reset>") || " 504 " in response, "the caller sees that it is not whole")
            }
        }
    }

    private companion object {
        val SETTINGS = ProxySettings(
            NodeId("a"),
            bindHost = "127.0.0.1",
            threads = 1,
            headerNames = CallHeaderNames(requestIdHeader = "x-id"),
        )

        /** Returns the route as the operator's configuration sets it. */
        fun route(): RouteConfig {
            val text = """{"version":1,"services":[{"name":"s"}],"limits":{},"routes":[{"name":"r","host":"h",""" +
                """"pathPrefix":"/","kind":"download","timeout":"1s","slo":"500ms","priority":1,"service":"s",""" +
                """"attempts":1}]}"""
            val configuration = checkNotNull(decodeConfigDocument(decodeOperatorConfig(text).document).get())
            return configuration.routes.values.single().copy(destinations = mapOf(FakeMesh.SERVICE to 1))
        }

        @JvmStatic
        fun cases(): List<Case> =
            listOf("GET", "POST").flatMap { method ->
                listOf(1_000, 390_000).flatMap { startBytes ->
                    listOf(50L, 60_000L).map { pauseMillis -> Case(method, startBytes, pauseMillis) }
                }
            }
    }
}
