package boragelever.node

import boragelever.core.NodeId
import boragelever.core.RegionName
import boragelever.core.ZoneName
import boragelever.core.store.ImmutableBytes
import boragelever.core.store.ObjectKey
import boragelever.core.store.StoreCommand
import boragelever.platform.ConfigFolder
import boragelever.platform.HttpPlatform
import boragelever.standin.PlatformStandIn
import com.sun.net.httpserver.HttpServer
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.CopyOnWriteArrayList

private const val TRACE = "4bf92f3577b34da6a3ce929d0e0e4736"
private const val WAIT_MILLIS = 20_000L
private const val FILE = "folder/10-scanhub.yaml"
private const val CONFIG = """
services:
  scanhub: {}
routes:
  scans:
    path_prefix: /scans
    destinations: {scanhub: 1}
"""

/** Guards against failures in the path from the operators' folder to the response of an upstream, across two nodes. */
class NodeTest {
    private val platform = PlatformStandIn()
    private val client = HttpPlatform(platform.address)
    private val http = HttpClient.newHttpClient()
    private val traces = CopyOnWriteArrayList<String>()
    private val upstream = HttpServer.create(InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0)
    private val nodes = listOf("a", "b").map { Node(settings(it), client, ConfigFolder.ObjectStorePrefix(client)) }

    @AfterEach
    fun close() {
        nodes.forEach { it.kill() }
        upstream.stop(0)
        client.close()
        platform.close()
    }

    @Test
    fun `both nodes apply a route from a file and remove it after the file is deleted`() {
        upstream.createContext("/") { exchange ->
            traces += exchange.requestHeaders.getFirst("traceparent").orEmpty()
            exchange.sendResponseHeaders(200, 0)
            exchange.responseBody.use { it.write("scan".encodeToByteArray()) }
        }
        upstream.start()
        nodes.forEach { it.start() }
        execute(StoreCommand.PutObject(ObjectKey(FILE), ImmutableBytes(CONFIG.encodeToByteArray())))
        await("both nodes are ready") { nodes.all { get(it.addresses.admin.value, "/readyz").statusCode() == 200 } }
        await("calls without an upstream fail with 503") { nodes.all { call(it).statusCode() == 503 } }

        assertEquals(204, register(nodes[0]).statusCode())
        await("calls succeed") { nodes.all { call(it).statusCode() == 200 } }
        assertEquals(listOf("scan", "scan"), nodes.map { call(it).body() })
        assertEquals(setOf(TRACE), traces.map { it.split('-')[1] }.toSet())

        execute(StoreCommand.DeleteObject(ObjectKey(FILE)))
        await("the route is removed") { nodes.all { call(it).statusCode() == 404 } }
        val ids = nodes.map { it.state.applied?.id }
        assertEquals(ids[0], ids[1])

        nodes.forEach { it.stop() }
        assertEquals(listOf(true, true), nodes.map { it.awaitExit(WAIT_MILLIS) })
    }

    @ParameterizedTest
    @CsvSource(
        "/healthz, 200, ok",
        "/readyz,  503, no configuration is in force",
        "/status,  200, '\"lifecycle\": \"running\"'",
        "/metrics, 200, boragelever_config_version",
        "/metrics, 200, boragelever_control_reduce_seconds_total",
        "/metrics, 200, 'boragelever_control_sent_bytes_total{scope=\"other_region\"}'",
        "/metrics, 200, 'boragelever_members{status=\"alive\"}'",
    )
    fun `the admin port serves the state of a node without configuration`(path: String, status: Int, fragment: String) {
        platform.close()
        nodes[0].start()
        val admin = nodes[0].addresses.admin.value
        await("the lifecycle is running") { "running" in get(admin, "/status").body() }
        val response = get(admin, path)
        assertEquals(status, response.statusCode())
        assertEquals(true, fragment in response.body(), response.body())
    }

    @Test
    fun `the operations page documents every metric`() {
        nodes[0].start()
        val page = Files.readString(Path.of("../docs/operations/status.md"))
        val metrics = get(nodes[0].addresses.admin.value, "/metrics").body().lines()
        val names = metrics.filter { it.startsWith("# TYPE ") }.map { it.split(' ')[2] }
        assertEquals(emptyList<String>(), names.filterNot { "`$it`" in page })
        assertEquals(true, names.size > 15)
    }

    private fun settings(name: String) =
        NodeSettings(NodeId(name), RegionName("khomas"), ZoneName(name), seed = name.hashCode().toLong())

    private fun execute(command: StoreCommand) = runBlocking { client.execute(command) }

    private fun register(node: Node): HttpResponse<String> {
        val address = "127.0.0.1:${upstream.address.port}"
        val body =
            """{"service":"scanhub","instance":"scanhub-1","address":"$address","slots":9,"connections":130,""" +
                """"state":"serving","ttl_ms":60000}"""
        return send(
            HttpRequest
                .newBuilder(URI("http://${node.addresses.admin}/v1/upstreams"))
                .POST(HttpRequest.BodyPublishers.ofString(body)),
        )
    }

    private fun call(node: Node) = get(node.addresses.proxy.value, "/scans/7")

    private fun get(address: String, path: String): HttpResponse<String> =
        send(HttpRequest.newBuilder(URI("http://$address$path")).header("traceparent", "00-$TRACE-00f067aa0ba902b7-01"))

    private fun send(request: HttpRequest.Builder) = http.send(request.build(), HttpResponse.BodyHandlers.ofString())

    private fun await(description: String, condition: () -> Boolean) {
        val deadlineNanos = System.nanoTime() + WAIT_MILLIS * NANOS_PER_MILLI
        while (!condition()) {
            check(System.nanoTime() < deadlineNanos) { "condition '$description' not met within $WAIT_MILLIS ms" }
            Thread.sleep(20)
        }
    }
}
