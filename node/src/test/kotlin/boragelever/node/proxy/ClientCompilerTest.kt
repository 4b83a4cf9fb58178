package boragelever.node.proxy

import boragelever.core.NodeId
import boragelever.core.config.LimitsConfig
import boragelever.core.config.RouteConfig
import boragelever.core.control.UpstreamState
import boragelever.node.net.EventLoopSocket
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.concurrent.TimeUnit
import kotlin.system.exitProcess

/**
 * Guards against functions of the traffic path that the JVM's client compiler (C1) skips, so that they are interpreted.
 *
 * C1 skips functions with some loops around suspension points. A node runs with C1 alone, because the optimizing
 * compiler costs more CPU time than it saves in the first minutes.
 */
class ClientCompilerTest {
    @Test
    fun `every function of the traffic path is compiled`() {
        val process = ProcessBuilder(
            "${System.getProperty("java.home")}/bin/java",
            "-Xcomp",
            "-XX:TieredStopAtLevel=1",
            "-XX:+PrintCompilation",
            "-XX:CompileCommand=quiet",
            "-XX:CompileCommand=compileonly,boragelever.node.proxy.*::*",
            "-XX:CompileCommand=compileonly,boragelever.node.net.*::*",
            "-cp",
            System.getProperty("java.class.path"),
            CompilationProbe::class.java.name,
        ).redirectErrorStream(true).start()
        val lines = process.inputStream.bufferedReader().readLines()
        assertTrue(process.waitFor(PROBE_TIMEOUT_SECONDS, TimeUnit.SECONDS))
        assertEquals(0, process.exitValue(), lines.takeLast(MAX_REPORTED_LINES).joinToString("\n"))
        assertTrue(lines.any { "EventLoopSocket::write" in it }, "EventLoopSocket::write was not compiled")
        assertEquals(emptyList<String>(), lines.filter { "COMPILE SKIPPED" in it })
    }

    private companion object {
        const val PROBE_TIMEOUT_SECONDS = 60L
        const val MAX_REPORTED_LINES = 20
    }
}

/** Sends calls with each kind of body over both hops; run in a separate JVM. */
internal object CompilationProbe {
    private val route = RouteConfig(pathPrefix = "/", destinations = mapOf(FakeMesh.SERVICE to 1))
    private val chunks = UpstreamStep.Respond(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    )
    private val calls = listOf(
        "GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
        "GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
        "POST /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbook",
        "POST /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbook\r\n0\r\n\r\n",
    )

    @JvmStatic
    fun main(arguments: Array<String>) {
        val settings = ProxySettings(NodeId("a"), bindHost = "127.0.0.1")
        val platform = FakePlatform(mutableListOf())
        FakeUpstream(chunks).use { upstream ->
            FakeMesh(listOf(upstream), route, LimitsConfig(), platform, emptySet(), settings, { UpstreamState.SERVING })
                .use { mesh ->
                    val failed = calls.map { rawCall(mesh.proxyPort, it) }.filter { !it.startsWith("HTTP/1.1 200") }
                    failed.forEach { println(it) }
                    if (failed.isNotEmpty()) exitProcess(1)
                }
        }
    }
}
