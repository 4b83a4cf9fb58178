package boragelever.node

import boragelever.core.ConfigVersion
import boragelever.core.NodeId
import boragelever.core.RegionName
import boragelever.core.ZoneName
import boragelever.platform.ConfigFolder
import boragelever.standin.MemoryPlatform
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Path
import kotlin.io.path.deleteExisting
import kotlin.io.path.writeText

/** Guards against configurations that do not reach every node, and against nodes that do not end. */
class NodeTest {
    @TempDir
    lateinit var folder: Path

    @Test
    fun `two nodes apply each change of the folder and stop`() {
        val platform = MemoryPlatform()
        val nodes = listOf("a", "b").map { name ->
            Node(settings(name), platform, ConfigFolder.LocalDirectory(folder)).apply { start() }
        }
        try {
            folder.resolve("10.yaml").writeText("services:\n  fitbook: {}\n")
            await { nodes.all { it.state.applied?.configuration?.services?.size == 1 } }
            folder.resolve("10.yaml").deleteExisting()
            await { nodes.all { it.state.applied?.configuration?.services?.isEmpty() == true } }
            val ids = nodes.map { it.state.applied?.id }
            assertEquals(ids[0], ids[1])
            assertEquals(true, ids[0]!!.version > ConfigVersion(1))
            nodes.forEach { it.stop() }
            assertEquals(listOf(true, true), nodes.map { it.awaitExit(WAIT_MILLIS) })
        } finally {
            nodes.forEach { it.kill() }
        }
    }

    private fun settings(name: String) =
        NodeSettings(NodeId(name), RegionName("khomas"), ZoneName(name), seed = name.hashCode().toLong())

    private fun await(condition: () -> Boolean) {
        val end = System.nanoTime() + WAIT_MILLIS * NANOS_PER_MILLI
        while (!condition()) {
            check(System.nanoTime() < end) { "the condition does not hold within $WAIT_MILLIS ms" }
            Thread.sleep(20)
        }
    }

    private companion object {
        const val WAIT_MILLIS = 20_000L
    }
}
