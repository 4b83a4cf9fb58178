package boragelever.node.net

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.coroutines.yield
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.net.InetAddress
import java.net.InetSocketAddress
import java.nio.ByteBuffer
import java.nio.channels.ClosedChannelException
import java.nio.channels.SocketChannel

/** Guards against waits that never end and coroutines that resume on another thread. */
class SocketEventLoopTest {
    private val loop = SocketEventLoop("loop-test").apply { start() }

    @AfterEach
    fun close() = loop.close()

    @Test
    fun `coroutines and timers run on the loop thread`() {
        val threads = runBlocking {
            withContext(loop) {
                val before = Thread.currentThread().name
                delay(5)
                yield()
                listOf(before, Thread.currentThread().name)
            }
        }
        assertEquals(listOf("loop-test", "loop-test"), threads.map { it.substringBefore(' ') })
    }

    @Test
    fun `timers fire in the order of their delays`() {
        val firedDelays = mutableListOf<Int>()
        runBlocking {
            withContext(loop) {
                listOf(30, 10, 20).map { delayMillis ->
                    async {
                        delay(delayMillis.toLong())
                        firedDelays += delayMillis
                    }
                }.awaitAll()
            }
        }
        assertEquals(listOf(10, 20, 30), firedDelays)
    }

    @Test
    fun `a cancelled wait leaves the socket usable`() {
        val text = runBlocking {
            withContext(loop) {
                val listener = listen(InetSocketAddress(InetAddress.getLoopbackAddress(), 0), loop)
                val client = EventLoopSocket(SocketChannel.open(), loop)
                client.connect(InetSocketAddress(InetAddress.getLoopbackAddress(), listener.port))
                val server = EventLoopSocket(listener.accept(), loop)
                val buffer = ByteBuffer.allocate(2)
                assertNull(withTimeoutOrNull(20) { client.read(buffer) })
                server.write(ByteBuffer.wrap("ok".encodeToByteArray()))
                client.read(buffer)
                client.close()
                server.close()
                listener.close()
                String(buffer.array())
            }
        }
        assertEquals("ok", text)
    }

    @Test
    fun `closing a socket ends the waits on it`() {
        val isClosed = runBlocking {
            withContext(loop) {
                val listener = listen(InetSocketAddress(InetAddress.getLoopbackAddress(), 0), loop)
                val client = EventLoopSocket(SocketChannel.open(), loop)
                client.connect(InetSocketAddress(InetAddress.getLoopbackAddress(), listener.port))
                val result = CompletableDeferred<Boolean>()
                launch {
                    result.complete(
                        try {
                            client.read(ByteBuffer.allocate(1)) < 0
                        } catch (_: ClosedChannelException) {
                            true
                        },
                    )
                }
                yield()
                client.close()
                listener.close()
                result.await()
            }
        }
        assertTrue(isClosed)
    }
}

/** Reads at least one byte, or returns -1 if the remote side has closed the connection. */
private suspend fun EventLoopSocket.read(buffer: ByteBuffer): Int {
    val count = readAvailable(buffer)
    if (count != 0) return count
    awaitReadable(timeoutMillis = 0)
    return read(buffer)
}
