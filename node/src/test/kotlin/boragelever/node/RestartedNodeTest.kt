package boragelever.node

import boragelever.core.NodeId
import boragelever.core.RegionName
import boragelever.core.ZoneName
import boragelever.platform.ConfigFolder
import boragelever.platform.HttpPlatform
import boragelever.standin.PlatformStandIn
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import java.net.InetAddress
import java.net.ServerSocket
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse

/** Guards against a late heartbeat that puts an upstream in use again whose leave an earlier process acknowledged. */
class RestartedNodeTest {
    /** Requests of the upstream `left` to the first process, and one that reaches the second process late. */
    internal class Case(private val name: String, val requests: List<String>, val late: String) {
        override fun toString(): String = name
    }

    private val platform = PlatformStandIn()
    private val client = HttpPlatform(platform.address)
    private val http = HttpClient.newHttpClient()
    private val heartbeatPort = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }
    private var node = newNode()

    @AfterEach
    fun close() {
        node.kill()
        client.close()
        platform.close()
    }

    @ParameterizedTest
    @MethodSource("cases")
    internal fun `a restarted node gives no work to an upstream that left`(case: Case) {
        node.start()
        case.requests.forEach { request -> assertEquals(200, send(request)) }
        node.kill()

        node = newNode()
        node.start()
        assertEquals(200, send(case.late))
        assertEquals(200, send("Heartbeat/other ready 1"))
        await("the other upstream is registered") { "other" in servingUpstreams() }
        assertEquals(listOf("other"), servingUpstreams())
    }

    private fun newNode() =
        Node(
            NodeSettings(
                NodeId("a"),
                RegionName("khomas"),
                ZoneName("a"),
                readyPort = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort },
                heartbeatPort = heartbeatPort,
                seed = 1,
            ),
            client,
            ConfigFolder.ObjectStorePrefix(client),
        )

    private fun servingUpstreams(): List<String> {
        val upstreams = node.state.membership.localRecord?.upstreams.orEmpty()
        return upstreams.filter { it.state.name == "SERVING" }.map { it.instance.value }
    }

    /** Sends a request written as `Heartbeat/<instance> <state> <sequence>` or `Deregister/<instance>`. */
    private fun send(request: String): Int {
        val words = request.split(' ')
        val port = if ("other" in request) 2 else 1
        val body = if (words.size == 1) {
            """{"born":7}"""
        } else {
            """{"service":"s","address":"127.0.0.1:$port","slots":9,"state":"${words[1]}","seq":${words[2]},"born":7}"""
        }
        val uri = URI("http://127.0.0.1:$heartbeatPort/boragelever/Instances.${words[0]}")
        val post = HttpRequest.newBuilder(uri).POST(HttpRequest.BodyPublishers.ofString(body)).build()
        return http.send(post, HttpResponse.BodyHandlers.discarding()).statusCode()
    }

    private fun await(description: String, condition: () -> Boolean) {
        val deadlineNanos = System.nanoTime() + WAIT_MILLIS * NANOS_PER_MILLI
        while (!condition()) {
            check(System.nanoTime() < deadlineNanos) { "condition '$description' not met within $WAIT_MILLIS ms" }
            Thread.sleep(20)
        }
    }

    private companion object {
        const val WAIT_MILLIS = 20_000L

        @JvmStatic
        fun cases(): List<Case> =
            listOf(
                Case(
                    "it deregistered",
                    listOf("Heartbeat/left ready 1", "Deregister/left"),
                    late = "Heartbeat/left ready 2",
                ),
                Case(
                    "it is draining",
                    listOf("Heartbeat/left ready 1", "Heartbeat/left draining 3"),
                    late = "Heartbeat/left ready 2",
                ),
                Case(
                    "it was draining and deregistered",
                    listOf("Heartbeat/left draining 3", "Deregister/left"),
                    late = "Heartbeat/left ready 4",
                ),
            )
    }
}
