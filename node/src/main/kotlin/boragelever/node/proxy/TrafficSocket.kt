package boragelever.node.proxy

import io.ktor.network.selector.InterestSuspensionsMap
import io.ktor.network.selector.SelectInterest
import io.ktor.network.selector.Selectable
import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.isActive
import java.io.IOException
import java.net.InetSocketAddress
import java.net.StandardSocketOptions
import java.nio.ByteBuffer
import java.nio.channels.ClosedChannelException
import java.nio.channels.ServerSocketChannel
import java.nio.channels.SocketChannel
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger

/** A channel that Ktor's selector waits for. */
internal abstract class TrafficChannel(private val selector: SelectorManager) : Selectable {
    private val interest = AtomicInteger()
    private val closed = AtomicBoolean()

    override val suspensions: InterestSuspensionsMap = InterestSuspensionsMap()
    override val isClosed: Boolean get() = closed.get()
    override val interestedOps: Int get() = interest.get()

    override fun interestOp(interest: SelectInterest, state: Boolean) {
        this.interest.updateAndGet { if (state) it or interest.flag else it and interest.flag.inv() }
    }

    override fun close() {
        if (closed.getAndSet(true)) return
        channel.close()
        selector.notifyClosed(this)
    }

    override fun dispose() = close()
}

/**
 * A TCP connection on Ktor's selector.
 *
 * Ktor's own sockets read up to 1 MiB ahead and queue up to 1 MiB of writes, so a few dozen slow downloads would exceed
 * the heap of a node, and they do not tell whether a byte left the process, which the outcome `not-run` depends on.
 * This class keeps Ktor's selector and works on the channel directly: nothing is buffered here, and [sentBytes] is
 * exact. At most one coroutine reads and one writes at a time.
 */
internal class TrafficSocket(
    override val channel: SocketChannel,
    private val selector: SelectorManager,
) : TrafficChannel(selector) {
    /** Bytes handed to the operating system so far. */
    @Volatile
    var sentBytes: Long = 0
        private set

    init {
        channel.configureBlocking(false)
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true)
    }

    /** Reads at least one byte, or returns -1 if the other side has ended the connection. */
    suspend fun read(buffer: ByteBuffer): Int {
        while (true) {
            val count = channel.read(buffer)
            if (count != 0) return count
            selector.await(this, SelectInterest.READ)
        }
    }

    /** Waits until something can be read or the other side has ended the connection. */
    suspend fun awaitReadable() = selector.await(this, SelectInterest.READ)

    /** Reads what has arrived without waiting: 0 for nothing, -1 if the other side has ended the connection. */
    fun readNow(buffer: ByteBuffer): Int = channel.read(buffer)

    /** Writes all of [buffer]. */
    suspend fun write(buffer: ByteBuffer) {
        while (buffer.hasRemaining()) {
            val count = channel.write(buffer)
            sentBytes += count
            if (count == 0) selector.await(this, SelectInterest.WRITE)
        }
    }

    /** Connects; throws [java.net.ConnectException] if the other side refuses. */
    suspend fun connect(address: InetSocketAddress) {
        if (channel.connect(address)) return
        selector.await(this, SelectInterest.CONNECT)
        channel.finishConnect()
    }

    /** Tells the other side that nothing more is sent. */
    fun endOutput() {
        channel.shutdownOutput()
    }

    /** Closes with a reset, so that the other side cannot take what it got for the whole. */
    fun reset() {
        runCatching { channel.setOption(StandardSocketOptions.SO_LINGER, 0) }
        close()
    }
}

/** A listening port on Ktor's selector. */
internal class TrafficListener(
    override val channel: ServerSocketChannel,
    private val selector: SelectorManager,
) : TrafficChannel(selector) {
    /** Port on which it listens. */
    val port: Int get() = channel.socket().localPort

    /** Accepts one connection. */
    suspend fun accept(): TrafficSocket {
        while (true) {
            channel.accept()?.let { return TrafficSocket(it, selector) }
            selector.await(this, SelectInterest.ACCEPT)
        }
    }
}

/** Connections that the operating system holds until they are accepted. */
private const val BACKLOG = 512

internal fun listen(address: InetSocketAddress, selector: SelectorManager): TrafficListener {
    val channel = ServerSocketChannel.open()
    channel.setOption(StandardSocketOptions.SO_REUSEADDR, true)
    channel.configureBlocking(false)
    try {
        channel.bind(address, BACKLOG)
    } catch (failure: IOException) {
        channel.close()
        throw failure
    }
    return TrafficListener(channel, selector)
}

/** Waits until the channel is ready; throws [ClosedChannelException] if it is closed meanwhile. */
private suspend fun SelectorManager.await(selectable: TrafficChannel, interest: SelectInterest) {
    selectable.interestOp(interest, true)
    try {
        select(selectable, interest)
    } catch (cancelled: CancellationException) {
        // The selector reports a closed channel as a cancellation, which would end the caller silently.
        if (currentCoroutineContext().isActive) throw ClosedChannelException()
        // A cancelled wait stays registered otherwise, and the next wait on the channel would be refused.
        selectable.suspensions.removeSuspension(interest)
        throw cancelled
    } finally {
        selectable.interestOp(interest, false)
    }
}
