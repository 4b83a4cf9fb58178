package boragelever.node.net

import kotlinx.coroutines.DisposableHandle
import java.io.IOException
import java.net.InetSocketAddress
import java.net.StandardSocketOptions
import java.nio.ByteBuffer
import java.nio.channels.SelectionKey
import java.nio.channels.ServerSocketChannel
import java.nio.channels.SocketChannel

/** Time in which a receiver has to take a byte; slower receivers than this are gone. */
private const val WRITE_TIMEOUT_MILLIS = 60_000L

/**
 * A TCP connection on a [SocketEventLoop].
 *
 * Ktor's own sockets read up to 1 MiB ahead and queue up to 1 MiB of writes, so a few dozen slow downloads would exceed
 * the heap of a node, and they do not tell whether a byte left the process, which the outcome `not-run` depends on.
 * Nothing is buffered here, and [sentBytes] is exact. At most one coroutine reads and one writes at a time.
 *
 * The suspending functions have no loops: the JVM's client compiler refuses loops around suspension, and an interpreted
 * read or write takes longer than its system call.
 */
internal class EventLoopSocket(private val channel: SocketChannel, val loop: SocketEventLoop) {
    /** Bytes handed to the operating system so far. */
    @Volatile
    var sentBytes: Long = 0
        private set

    init {
        channel.configureBlocking(false)
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true)
    }

    /**
     * Waits until something can be read or the other side has ended the connection.
     *
     * @param timeoutMillis time after which [ConnectionTimeout] is thrown; 0 waits without a bound.
     */
    suspend fun awaitReadable(timeoutMillis: Long) = loop.await(channel, SelectionKey.OP_READ, timeoutMillis)

    /** Calls [waiter] once when something can be read or the connection has ended. */
    fun whenReadable(waiter: ReadyWaiter): DisposableHandle = loop.whenReady(channel, SelectionKey.OP_READ, waiter)

    /** Reads what has arrived without waiting: 0 for nothing, -1 if the other side has ended the connection. */
    fun readAvailable(buffer: ByteBuffer): Int = channel.read(buffer)

    /** Writes all of [buffer]; throws [ConnectionTimeout] if the other side takes no byte for too long. */
    suspend fun write(buffer: ByteBuffer) {
        sentBytes += channel.write(buffer)
        if (buffer.hasRemaining()) writeWhenReady(buffer)
    }

    private suspend fun writeWhenReady(buffer: ByteBuffer) {
        loop.await(channel, SelectionKey.OP_WRITE, WRITE_TIMEOUT_MILLIS)
        write(buffer)
    }

    /** Connects; throws [java.net.ConnectException] if it is refused and [ConnectionTimeout] after [timeoutMillis]. */
    suspend fun connect(address: InetSocketAddress, timeoutMillis: Long = 0) {
        if (channel.connect(address)) return
        loop.await(channel, SelectionKey.OP_CONNECT, timeoutMillis)
        channel.finishConnect()
    }

    /** As [connect], and closes the socket if that fails. */
    suspend fun connectOrClose(address: InetSocketAddress, timeoutMillis: Long = 0) {
        var connected = false
        try {
            connect(address, timeoutMillis)
            connected = true
        } finally {
            if (!connected) close()
        }
    }

    /** Address of the other side, for people. */
    val remoteAddress: String get() = if (channel.isOpen) channel.remoteAddress.toString() else "a closed connection"

    /** Tells the other side that nothing more is sent. */
    fun shutdownOutput() {
        channel.shutdownOutput()
    }

    /** Closes with a reset, so that the other side cannot take what it got for the whole. */
    fun reset() {
        try {
            if (channel.isOpen) channel.setOption(StandardSocketOptions.SO_LINGER, 0)
        } catch (_: IOException) {
            // The connection is gone already, which is what the reset is for.
        }
        close()
    }

    /** Closes the connection; waits on it end with an exception. */
    fun close() {
        if (!channel.isOpen) return
        loop.cancelWaits(channel)
        channel.close()
    }
}

/** A listening port on a [SocketEventLoop]. */
internal class EventLoopListener(private val channel: ServerSocketChannel, private val loop: SocketEventLoop) {
    /** Port on which it listens. */
    val port: Int get() = channel.socket().localPort

    /** Accepts one connection. */
    suspend fun accept(): SocketChannel {
        while (true) {
            channel.accept()?.let { return it }
            loop.await(channel, SelectionKey.OP_ACCEPT)
        }
    }

    fun close() {
        if (!channel.isOpen) return
        loop.cancelWaits(channel)
        channel.close()
    }
}

/** Connections that the operating system holds until they are accepted. */
private const val BACKLOG = 512

internal fun listen(address: InetSocketAddress, loop: SocketEventLoop): EventLoopListener {
    val channel = ServerSocketChannel.open()
    channel.setOption(StandardSocketOptions.SO_REUSEADDR, true)
    channel.configureBlocking(false)
    try {
        channel.bind(address, BACKLOG)
    } catch (failure: IOException) {
        channel.close()
        throw failure
    }
    return EventLoopListener(channel, loop)
}
