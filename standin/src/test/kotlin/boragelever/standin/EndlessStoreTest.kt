package boragelever.standin

import boragelever.core.Epoch
import boragelever.core.NetworkAddress
import boragelever.core.NodeId
import boragelever.core.store.ObjectKey
import boragelever.core.store.Revision
import boragelever.core.store.RowKey
import boragelever.core.store.RowValue
import boragelever.core.store.RowWrite
import boragelever.core.store.StoreCommand
import boragelever.core.store.StoreFailure
import boragelever.core.store.StoreResult
import boragelever.core.store.WriteId
import boragelever.platform.HttpPlatform
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Tag
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread
import kotlin.reflect.KClass

/**
 * Guards against a store, or whatever answers at its address, that sends bytes without end: the node would keep all of
 * them and run out of memory.
 */
class EndlessStoreTest {
    /** The response to each request of [command]: [start], then [block] again and again until the client closes. */
    internal class Case(
        private val name: String,
        val start: String,
        val block: String,
        val maxBytes: Long,
        val command: StoreCommand = READ,
        val failure: KClass<out StoreFailure> = StoreFailure.Unavailable::class,
    ) {
        override fun toString(): String = name
    }

    @ParameterizedTest
    @MethodSource("cases")
    internal fun `a response without end fails the command and is not kept`(case: Case) = checkLimit(case)

    /** Known red: the HTTP client's parser reads header lines without a limit, see `KNOWN-RED.txt`. */
    @Tag("known-red")
    @ParameterizedTest
    @MethodSource("headerLines")
    internal fun `a head without end fails the command and is not kept`(case: Case) = checkLimit(case)

    private fun checkLimit(case: Case) {
        EndlessServer(case.start, case.block).use { server ->
            HttpPlatform(NetworkAddress("127.0.0.1:${server.port}")).use { platform ->
                val result = runBlocking { withTimeout(LIMIT_MILLIS) { platform.execute(case.command) } }
                assertEquals(case.failure, (result as? StoreResult.StoreFailed)?.failure?.let { it::class }, "$result")
            }
            val sent = server.sentBytes.get()
            assertTrue(sent <= case.maxBytes, "the client took $sent bytes, more than ${case.maxBytes}")
        }
    }

    /** Sends the bytes on each connection until the client closes it. */
    private class EndlessServer(start: String, block: String) : AutoCloseable {
        private val startBytes = start.encodeToByteArray()
        private val blockBytes = block.encodeToByteArray()
        private val listener = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
        val port: Int get() = listener.localPort
        val sentBytes = AtomicLong()

        init {
            thread(isDaemon = true) {
                try {
                    while (true) listener.accept().let { socket -> thread(isDaemon = true) { serve(socket) } }
                } catch (_: IOException) {
                    // The server was closed.
                }
            }
        }

        private fun serve(socket: Socket) {
            try {
                socket.use {
                    it.getInputStream().read(ByteArray(REQUEST_BYTES))
                    it.getOutputStream().write(startBytes)
                    while (true) {
                        it.getOutputStream().write(blockBytes)
                        sentBytes.addAndGet(blockBytes.size.toLong())
                    }
                }
            } catch (_: IOException) {
                // The client closed the connection.
            }
        }

        override fun close() = listener.close()
    }

    private companion object {
        const val LIMIT_MILLIS = 5_000L
        const val BACKLOG = 16
        const val REQUEST_BYTES = 65_536
        const val MEGABYTE = 1_048_576L

        /** Bytes that the sockets and the client's channels hold on one connection beyond the limit of the response. */
        const val BUFFERS_BYTES = 16 * MEGABYTE
        const val CHUNKED = "Transfer-Encoding: chunked\r\n"
        val FILLER = "x".repeat(8_192)
        val READ = StoreCommand.ReadRows(listOf(RowKey("member/a")))
        val WRITE = StoreCommand.Transact(
            WriteId("w"),
            emptyList(),
            listOf(RowWrite.Put(RowKey("config/lease"), RowValue.Lease(NodeId("a"), Epoch(1), 6_000))),
        )
        val UNKNOWN = StoreFailure.OutcomeUnknown::class

        @JvmStatic
        fun cases(): List<Case> =
            listOf(
                case("rows in chunks", "HTTP/1.1 200 OK\r\n$CHUNKED\r\n", "2000\r\n$FILLER\r\n", 4),
                case("rows until the connection is closed", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", FILLER, 4),
                case("rows of a stated length", "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", FILLER, 4),
                case("an error", "HTTP/1.1 500 Failed\r\n$CHUNKED\r\n", "2000\r\n$FILLER\r\n", 0),
                case("an overload", "HTTP/1.1 503 Busy\r\n$CHUNKED\r\n", "2000\r\n$FILLER\r\n", 0),
                case("a conflict", "HTTP/1.1 412 No\r\n$CHUNKED\r\n", "2000\r\n$FILLER\r\n", 4, WRITE, UNKNOWN),
                case("a write", "HTTP/1.1 200 OK\r\n$CHUNKED\r\n", "2000\r\n$FILLER\r\n", 4, WRITE, UNKNOWN),
                case(
                    "changes",
                    "HTTP/1.1 200 OK\r\n$CHUNKED\r\n",
                    "2000\r\n$FILLER\r\n",
                    4,
                    StoreCommand.AwaitConfigSource(Revision(1), 500),
                ),
                case(
                    "an object",
                    "HTTP/1.1 200 OK\r\n$CHUNKED\r\n",
                    "2000\r\n$FILLER\r\n",
                    8,
                    StoreCommand.GetObject(ObjectKey("a")),
                ),
                case("a header line", "HTTP/1.1 200 OK\r\nx-a: ", FILLER, 0),
                case("bytes that are no response", "", FILLER, 0),
                case("interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n".repeat(300), 0),
            )

        @JvmStatic
        fun headerLines(): List<Case> =
            listOf(case("header lines", "HTTP/1.1 200 OK\r\n", "x-a: ${"x".repeat(1_000)}\r\n", 0))

        private fun case(
            name: String,
            start: String,
            block: String,
            limitMegabytes: Long,
            command: StoreCommand = READ,
            failure: KClass<out StoreFailure> = StoreFailure.Unavailable::class,
        ) = Case("$name without end", start, block, limitMegabytes * MEGABYTE + BUFFERS_BYTES, command, failure)
    }
}
