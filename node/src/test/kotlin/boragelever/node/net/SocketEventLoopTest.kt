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
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.SocketException
import java.nio.ByteBuffer
import java.nio.channels.ClosedChannelException
import java.nio.channels.Pipe
import java.nio.channels.SelectionKey
import java.nio.channels.SocketChannel
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.coroutines.EmptyCoroutineContext

/**
 * Guards against waits that never end, coroutines that resume on another thread, and a failure of one connection that
 * ends the thread of all others.
 */
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

    @ParameterizedTest
    @EnumSource
    fun `a failing action does not end the loop thread`(source: FailingAction) {
        val failed = CountDownLatch(1)
        val action = Runnable {
            failed.countDown()
            throw StackOverflowError("thrown by the test")
        }
        when (source) {
            FailingAction.TASK -> loop.dispatch(EmptyCoroutineContext, action)
            FailingAction.TIMER -> loop.schedule(delayMillis = 1, action)
            FailingAction.READY_WAITER -> loop.dispatch(EmptyCoroutineContext) { failWhenReadable(action) }
        }
        assertTrue(failed.await(WAIT_MILLIS, TimeUnit.MILLISECONDS), "the action ran")
        val running = CountDownLatch(1)
        loop.dispatch(EmptyCoroutineContext) { running.countDown() }
        assertTrue(running.await(WAIT_MILLIS, TimeUnit.MILLISECONDS), "the loop runs after the failure")
    }

    private fun failWhenReadable(action: Runnable) {
        val pipe = Pipe.open()
        pipe.source().configureBlocking(false)
        val waiter = object : ReadyWaiter {
            override fun onReady() = action.run()

            override fun onClosed() = Unit
        }
        loop.whenReady(pipe.source(), SelectionKey.OP_READ, waiter)
        pipe.sink().write(ByteBuffer.wrap(byteArrayOf(1)))
    }

    @Test
    fun `a connection that fails while it is accepted does not close the port`() {
        val served = runBlocking {
            withContext(loop) {
                val listener = listen(InetSocketAddress(InetAddress.getLoopbackAddress(), 0), loop)
                var accepted = 0
                val result = CompletableDeferred<Int>()
                launch {
                    listener.acceptEach {
                        accepted += 1
                        if (accepted == 1) throw SocketException("reset before it is served")
                        result.complete(accepted)
                    }
                }
                repeat(2) {
                    val client = EventLoopSocket(SocketChannel.open(), loop)
                    client.connect(InetSocketAddress(InetAddress.getLoopbackAddress(), listener.port))
                }
                withTimeoutOrNull(WAIT_MILLIS) { result.await() }.also { listener.close() }
            }
        }
        assertEquals(2, served)
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

private const val WAIT_MILLIS = 10_000L

/** Where a failure occurs on the loop thread outside of a coroutine. */
enum class FailingAction { TASK, TIMER, READY_WAITER }

/** Reads at least one byte, or returns -1 if the remote side has closed the connection. */
private suspend fun EventLoopSocket.read(buffer: ByteBuffer): Int {
    val count = readAvailable(buffer)
    if (count != 0) return count
    awaitReadable(timeoutMillis = 0)
    return read(buffer)
}
