package boragelever.app

import boragelever.core.NetworkAddress
import boragelever.core.NodeId
import boragelever.core.RegionName
import boragelever.core.ZoneName
import boragelever.node.NodeSettings
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import java.net.InetAddress
import java.net.ServerSocket
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.nio.file.Path
import kotlin.io.path.createDirectory
import kotlin.io.path.writeBytes
import kotlin.io.path.writeText

private const val WAIT_NANOS = 20_000_000_000L

/** Guards against commands that return the wrong exit code or omit errors from their output. */
internal class CommandsTest {
    @TempDir
    lateinit var root: Path

    @ParameterizedTest
    @CsvSource(
        delimiter = '|',
        quoteCharacter = '`',
        value = [
            "valid               | services: {a: {}} |                   | TEXT | SUCCESS       | services 1, routes 0",
            "valid as JSON       | services: {a: {}} |                   | JSON | SUCCESS       | \"valid\": true",
            "unknown key         | service: {a: {}}  |                   | TEXT | INVALID_INPUT | 10.yaml:1: service",
            "unknown key, JSON   | service: {a: {}}  |                   | JSON | INVALID_INPUT | \"key\": \"service\"",
            "no folder           |                   |                   | TEXT | INVALID_INPUT | is not a directory",
            "no change           | services: {a: {}} | services: {a: {}} | TEXT | SUCCESS       | no change",
            "added               | services: {}      | services: {b: {}} | TEXT | SUCCESS       | + services/b: {}",
            "removed as JSON     | services: {a: {}} | {}                | JSON | SUCCESS       | \"removed\"",
            "invalid new folder  | services: {a: {}} | services: 1       | TEXT | INVALID_INPUT | 10.yaml:1: services",
        ],
    )
    fun `check and diff report the result with its exit code`(
        case: String,
        first: String?,
        second: String?,
        output: OutputFormat,
        exitCode: ExitCode,
        expectedText: String,
    ) {
        val from = folder("from", first)
        val outcome =
            if (second == null) {
                checkFolder(Command.CheckFolder(from, output, quiet = false))
            } else {
                diffFolders(Command.DiffFolders(from, folder("to", second), output))
            }
        assertEquals(exitCode, outcome.exitCode, case)
        assertEquals(true, expectedText in outcome.text, outcome.text)
    }

    /** A file that is not UTF-8 must not hide the errors of the other files. */
    @Test
    fun `check reports the errors of every file`() {
        val folder = folder("mixed", "service: {a: {}}")
        folder.resolve("20.yaml").writeBytes(byteArrayOf(0xC3.toByte(), 0x28))
        val outcome = checkFolder(Command.CheckFolder(folder, OutputFormat.TEXT, quiet = false))
        assertEquals(ExitCode.INVALID_INPUT, outcome.exitCode)
        listOf("'20.yaml' is not UTF-8 text", "10.yaml:1: service").forEach {
            assertEquals(true, it in outcome.text, outcome.text)
        }
    }

    @Test
    fun `status reports an unreachable node as a failed dependency`() {
        val outcome = showStatus(Command.ShowStatus(NetworkAddress("127.0.0.1:1"), OutputFormat.TEXT))
        assertEquals(ExitCode.DEPENDENCY_FAILED, outcome.exitCode)
    }

    @ParameterizedTest
    @CsvSource("proxy", "admin", "platform")
    fun `a port in use is a failed dependency`(port: String) {
        val logging = LogSettings(OutputFormat.TEXT, LogLevel.ERROR)
        ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { occupied ->
            val address = NetworkAddress("127.0.0.1:${occupied.localPort}")
            val settings = NodeSettings(NodeId("n"), RegionName("r"), ZoneName("z"), seed = 1)
            val outcome =
                when (port) {
                    "proxy" -> runNode(nodeCommand(settings.copy(proxyPort = address.port), logging), emptyList())
                    "admin" -> runNode(nodeCommand(settings.copy(adminPort = address.port), logging), emptyList())
                    else -> runPlatform(Command.RunPlatform(address, forSeconds = 1, logging)) {}
                }
            assertEquals(ExitCode.DEPENDENCY_FAILED, outcome.exitCode)
            assertEquals(true, address.port.toString() in outcome.text, outcome.text)
        }
    }

    private fun nodeCommand(settings: NodeSettings, logging: LogSettings) =
        Command.RunNode(settings, NetworkAddress("127.0.0.1:1"), FolderSource.Directory(root), logging)

    @Test
    fun `a development mesh proxies calls on six nodes`() {
        val folder = folder("dev", "services: {a: {}}\nroutes: {r: {path_prefix: /r, destinations: {a: 1}}}")
        DevMesh(folder).use { mesh ->
            mesh.start()
            val version = await("version applied on all nodes") { mesh.pollNewVersion() }
            assertEquals(6, version.nodes)
            val call = mesh.sampleCalls().single()
            val address = URI(call.curlLine().substringAfter("curl -i "))
            val request = HttpRequest.newBuilder(address).build()
            await("response with status 200") {
                val response = HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString())
                response.takeIf { it.statusCode() == 200 }
            }
            assertEquals(listOf("  r: 3 ended with 200"), executeSampleCalls(listOf(call), 3))
        }
    }

    private fun <T : Any> await(condition: String, probe: () -> T?): T {
        val end = System.nanoTime() + WAIT_NANOS
        while (System.nanoTime() < end) {
            probe()?.let { return it }
            Thread.sleep(20)
        }
        error("'$condition' not reached within 20 s")
    }

    private fun folder(name: String, text: String?): Path {
        val folder = root.resolve(name)
        if (text != null) folder.createDirectory().resolve("10.yaml").writeText(text + "\n")
        return folder
    }
}
