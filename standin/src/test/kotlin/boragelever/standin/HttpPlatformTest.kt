package boragelever.standin

import boragelever.core.ConfigVersion
import boragelever.core.Digest
import boragelever.core.FileName
import boragelever.core.NetworkAddress
import boragelever.core.NodeId
import boragelever.core.config.ConfigDocument
import boragelever.core.config.EntryKey
import boragelever.core.control.FolderResult
import boragelever.core.store.ImmutableBytes
import boragelever.core.store.ObjectKey
import boragelever.core.store.Revision
import boragelever.core.store.RowCondition
import boragelever.core.store.RowKey
import boragelever.core.store.RowValue
import boragelever.core.store.RowWrite
import boragelever.core.store.StoreCommand
import boragelever.core.store.StoreFailure
import boragelever.core.store.StoreResult
import boragelever.core.store.WriteId
import boragelever.platform.ConfigFolder
import boragelever.platform.HttpPlatform
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertInstanceOf
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.Arguments
import org.junit.jupiter.params.provider.Arguments.arguments
import org.junit.jupiter.params.provider.MethodSource
import java.net.InetAddress
import java.net.ServerSocket
import java.net.SocketException
import java.nio.file.Path
import kotlin.concurrent.thread
import kotlin.io.path.createDirectory
import kotlin.io.path.writeBytes
import kotlin.io.path.writeText

/** Guards against commands that are encoded wrongly and against failures that are reported as the wrong kind. */
class HttpPlatformTest {
    private val standIn = PlatformStandIn()
    private val platform = HttpPlatform(standIn.address)

    @AfterEach
    fun close() {
        platform.close()
        standIn.close()
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("commandSequences")
    fun `commands over HTTP return the results of the in-memory platform`(
        @Suppress("unused") name: String,
        commands: List<StoreCommand>,
    ) =
        runBlocking {
            val memory = MemoryPlatform()
            for (command in commands) assertEquals(memory.execute(command), platform.execute(command))
            assertEquals(memory.current.rows, standIn.current.rows)
        }

    @ParameterizedTest(name = "{0}")
    @MethodSource("faults")
    fun `a fault maps to the failure kind of reads and writes`(case: FaultCase) =
        runBlocking {
            standIn.submit(PlatformRequest.SetFaults(case.faults))
            HttpPlatform(standIn.address) { requestTimeoutMillis = case.timeoutMillis }.use { client ->
                assertEquals(case.onRead, failureKind(client.execute(READ)), "read")
                assertEquals(case.onWrite, failureKind(client.execute(INSERT)), "write")
            }
            assertEquals(case.takesEffect, standIn.current.rows.isNotEmpty(), "effect of the write")
        }

    /** Guards against a faulty connection that stays open, which makes an outage look like a slow store. */
    @Test
    fun `consecutive requests to a store that is down fail before the client time-out`() =
        runBlocking {
            standIn.submit(PlatformRequest.SetFaults(PlatformFaults(down = true)))
            HttpPlatform(standIn.address) { requestTimeoutMillis = 600_000 }.use { client ->
                repeat(8) {
                    val result = withTimeoutOrNull(30_000) { client.execute(READ) }
                    assertEquals(StoreFailure.Unavailable::class.simpleName, result?.let(::failureKind))
                }
            }
        }

    /** A connection that closes without a response does not prove that the write did not run. */
    @Test
    fun `a connection closed without a response leaves the outcome of a write unknown`() =
        runBlocking {
            ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { server ->
                thread(isDaemon = true) { server.closeEachConnection() }
                HttpPlatform(NetworkAddress("127.0.0.1:${server.localPort}")).use { client ->
                    assertEquals(UNKNOWN, failureKind(client.execute(INSERT)))
                    assertEquals(UNAVAILABLE, failureKind(client.execute(READ)))
                }
            }
        }

    @Test
    fun `a refused connection proves that the write did not run`() =
        runBlocking {
            standIn.close()
            assertEquals(StoreFailure.Unavailable::class.simpleName, failureKind(platform.execute(INSERT)))
        }

    @Test
    fun `requests over the rate limit fail immediately and do not reach the store`() =
        runBlocking {
            HttpPlatform(standIn.address) { maxReadsPerSecond = 2.0 }.use { limited ->
                val kinds = List(20) { failureKind(limited.execute(READ)) }
                assertTrue(StoreFailure.Unavailable::class.simpleName in kinds)
            }
            assertTrue(standIn.current.counts.reads < 20)
        }

    @Test
    fun `both kinds of folder list the same files and skip removed ones`(
        @TempDir directory: Path,
    ) =
        runBlocking {
            val texts = mapOf("20-b.yaml" to "b: 1", "10-a.yml" to "a: 1", ".c.yaml.swp" to "x", "d.yaml~" to "y")
            directory.resolve("nested.yaml").createDirectory()
            for ((name, text) in texts) {
                directory.resolve(name).writeText(text)
                platform.execute(StoreCommand.PutObject(ObjectKey("folder/$name"), bytes(text)))
            }
            for (folder in listOf(ConfigFolder.LocalDirectory(directory), ConfigFolder.ObjectStorePrefix(platform))) {
                val listed = assertInstanceOf(FolderResult.Listed::class.java, folder.list())
                assertEquals(listOf("10-a.yml", "20-b.yaml"), listed.entries.map { it.name.value })
                val names = listed.entries.map { it.name } + FileName("30-gone.yaml")
                val read = assertInstanceOf(FolderResult.Read::class.java, folder.read(names))
                assertEquals(listOf("a: 1", "b: 1"), read.files.map { it.text })
                assertEquals(listed.entries.map { it.entityTag }, read.files.map { it.entityTag })
            }
            val missing = ConfigFolder.LocalDirectory(directory.resolve("absent")).list()
            assertInstanceOf(FolderResult.Failed::class.java, missing)
            Unit
        }

    @Test
    fun `a file that is not UTF-8 is rejected instead of being altered`(
        @TempDir directory: Path,
    ) =
        runBlocking {
            val latin1 = byteArrayOf('a'.code.toByte(), 0xE9.toByte())
            directory.resolve("a.yaml").writeBytes(latin1)
            platform.execute(StoreCommand.PutObject(ObjectKey("folder/a.yaml"), ImmutableBytes(latin1)))
            for (folder in listOf(ConfigFolder.LocalDirectory(directory), ConfigFolder.ObjectStorePrefix(platform))) {
                val result = folder.read(listOf(FileName("a.yaml")))
                assertTrue("'a.yaml' is not UTF-8" in assertInstanceOf(FolderResult.Failed::class.java, result).message)
            }
        }

    @Test
    fun `a folder with more files than the read limit per second is read in several steps`() =
        runBlocking {
            val names = List(30) { FileName("${it + 10}.yaml") }
            names.forEach { platform.execute(StoreCommand.PutObject(ObjectKey("folder/$it"), bytes("a: $it"))) }
            HttpPlatform(standIn.address) { maxReadsPerSecond = 3.0 }.use { limited ->
                val read = ConfigFolder.ObjectStorePrefix(limited).read(names)
                val files = assertInstanceOf(FolderResult.Read::class.java, read).files
                assertEquals(names.take(files.size), files.map { it.name })
                assertTrue(files.size < names.size)
            }
        }

    data class FaultCase(
        val name: String,
        val faults: PlatformFaults,
        val onRead: String,
        val onWrite: String,
        val takesEffect: Boolean,
        val timeoutMillis: Long = 10_000,
    ) {
        override fun toString(): String = name
    }

    private companion object {
        const val UNAVAILABLE = "Unavailable"
        const val UNKNOWN = "OutcomeUnknown"
        val LEASE = RowKey("config/lease")
        val HEAD = RowKey("config/head")
        val READ = StoreCommand.ReadRows(listOf(HEAD, LEASE))
        val VALUE = RowValue.Status(Digest("d"), listOf("é"), ConfigVersion(1), NodeId("n1"))
        val INSERT =
            StoreCommand.Transact(WriteId("w1"), listOf(RowCondition.Absent(LEASE)), listOf(RowWrite.Put(LEASE, VALUE)))
        val KEY = ObjectKey("folder/10 a+b&c=ü.yaml")
        val DOCUMENT = ConfigDocument(mapOf(EntryKey("services/a") to "{\"x\":1}"))

        fun bytes(text: String) = ImmutableBytes(text.encodeToByteArray())

        fun failureKind(result: StoreResult): String =
            if (result is StoreResult.StoreFailed) result.failure::class.simpleName.orEmpty() else "none"

        fun update(revision: Long) =
            StoreCommand.Transact(
                WriteId("w2"),
                listOf(RowCondition.RevisionIs(LEASE, Revision(revision))),
                listOf(RowWrite.Put(HEAD, VALUE), RowWrite.Delete(LEASE)),
            )

        @JvmStatic
        fun commandSequences(): List<Arguments> =
            listOf(
                arguments("absent rows", listOf(READ)),
                arguments("insert and read", listOf(INSERT, READ, INSERT)),
                arguments("conditions", listOf(INSERT, update(7), READ, update(1), READ, INSERT, READ)),
                arguments("scan", listOf(INSERT, update(1), INSERT) + listOf(null, HEAD, LEASE).map { scan(it) }),
                arguments("objects", objectCommands()),
                arguments("documents", documentCommands()),
            )

        fun scan(after: RowKey?) = StoreCommand.ScanRows("config/", 1, after)

        fun objectCommands(): List<StoreCommand> =
            listOf(
                StoreCommand.GetObject(KEY),
                StoreCommand.PutObject(KEY, bytes("one")),
                StoreCommand.ListObjects("folder/"),
                StoreCommand.PutObject(KEY, bytes("two")),
                StoreCommand.GetObject(KEY),
                StoreCommand.DeleteObject(KEY),
                StoreCommand.DeleteObject(KEY),
                StoreCommand.ListObjects(""),
            )

        fun documentCommands(): List<StoreCommand> =
            listOf(
                StoreCommand.GetDocument(KEY),
                StoreCommand.PutDocument(KEY, DOCUMENT),
                StoreCommand.GetDocument(KEY),
                StoreCommand.PutObject(KEY, bytes("not a document")),
                StoreCommand.GetDocument(KEY),
            )

        @JvmStatic
        fun faults(): List<FaultCase> =
            listOf(
                FaultCase("none", PlatformFaults(), "none", "none", takesEffect = true),
                FaultCase("down", PlatformFaults(down = true), UNAVAILABLE, UNKNOWN, takesEffect = false),
                FaultCase("refuse", PlatformFaults(refuse = true), UNAVAILABLE, UNAVAILABLE, takesEffect = false),
                FaultCase(
                    "slow",
                    PlatformFaults(delayMillis = 60_000),
                    UNAVAILABLE,
                    UNKNOWN,
                    takesEffect = true,
                    1_000,
                ),
                FaultCase("lose", PlatformFaults(lostAnswersPercent = 100), "none", UNKNOWN, takesEffect = true),
            )
    }
}

/** Reads the start of each request, then closes the connection; returns when the server socket is closed. */
private fun ServerSocket.closeEachConnection() {
    try {
        while (true) accept().use { it.getInputStream().read(ByteArray(256)) }
    } catch (_: SocketException) {
        return
    }
}
