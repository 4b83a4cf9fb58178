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

/** Guards against commands that end with the wrong exit code or hide what they found. */
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
    fun `a folder is judged`(
        case: String,
        first: String?,
        second: String?,
        output: OutputFormat,
        exitCode: ExitCode,
        part: String,
    ) {
        val from = folder("from", first)
        val outcome =
            if (second == null) {
                checkFolder(Command.CheckFolder(from, output, quiet = false))
            } else {
                diffFolders(Command.DiffFolders(from, folder("to", second), output))
            }
        assertEquals(exitCode, outcome.exitCode, case)
        assertEquals(true, part in outcome.text, outcome.text)
    }

    /** Guards against one file that is not text hiding the errors of the others. */
    @Test
    fun `every file of a folder is checked`() {
        val folder = folder("mixed", "service: {a: {}}")
        folder.resolve("20.yaml").writeBytes(byteArrayOf(0xC3.toByte(), 0x28))
        val outcome = checkFolder(Command.CheckFolder(folder, OutputFormat.TEXT, quiet = false))
        assertEquals(ExitCode.INVALID_INPUT, outcome.exitCode)
        listOf("'20.yaml' is not UTF-8 text", "10.yaml:1: service").forEach {
            assertEquals(true, it in outcome.text, outcome.text)
        }
    }

    @Test
    fun `the status of a node that does not answer is a failed dependency`() {
        val outcome = showStatus(Command.ShowStatus(NetworkAddress("127.0.0.1:1"), OutputFormat.TEXT))
        assertEquals(ExitCode.DEPENDENCY_FAILED, outcome.exitCode)
    }

    @ParameterizedTest
    @CsvSource("proxy", "admin", "platform")
    fun `a taken port is a failed dependency`(port: String) {
        val logging = LogSettings(OutputFormat.TEXT, LogLevel.ERROR)
        ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { taken ->
            val address = NetworkAddress("127.0.0.1:${taken.localPort}")
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
    fun `a development mesh carries calls on six nodes`() {
        val folder = folder("dev", "services: {a: {}}\nroutes: {r: {path_prefix: /r, destinations: {a: 1}}}")
        DevMesh(folder).use { mesh ->
            mesh.start()
            val version = await("in force") { mesh.pollNewVersion() }
            assertEquals(6, version.nodes)
            val call = mesh.sampleCalls().single()
            val address = URI(call.curlLine().substringAfter("curl -i "))
            val request = HttpRequest.newBuilder(address).build()
            await("answered") {
                val response = HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString())
                response.takeIf { it.statusCode() == 200 }
            }
            assertEquals(listOf("  r: 3 ended with 200"), executeSampleCalls(listOf(call), 3))
        }
    }

    private fun <T : Any> await(what: String, probe: () -> T?): T {
        val end = System.nanoTime() + WAIT_NANOS
        while (System.nanoTime() < end) {
            probe()?.let { return it }
            Thread.sleep(20)
        }
        error("'$what' is not reached in time")
    }

    private fun folder(name: String, text: String?): Path {
        val folder = root.resolve(name)
        if (text != null) folder.createDirectory().resolve("10.yaml").writeText(text + "\n")
        return folder
    }
}
