package boragelever.node.net

import kotlinx.coroutines.DisposableHandle
import java.io.IOException
import java.net.InetSocketAddress
import java.net.StandardSocketOptions
import java.nio.ByteBuffer
import java.nio.channels.SelectionKey
import java.nio.channels.ServerSocketChannel
import java.nio.channels.SocketChannel

/** Longest time without progress of a write; a receiver that takes no byte for this long counts as disconnected. */
private const val WRITE_TIMEOUT_MILLIS = 60_000L

/**
 * A non-blocking TCP connection whose waits run on a [SocketEventLoop].
 *
 * Ktor's sockets read up to 1 MiB ahead and queue up to 1 MiB of writes, so a few dozen slow downloads would exceed the
 * heap of a node. They also do not report whether a byte left the process, which the outcome `not-run` depends on.
 * This class buffers nothing, and [sentBytes] is exact. At most one coroutine reads and one writes at a time.
 *
 * The suspending functions contain no loops: the JVM's client compiler (C1) does not compile some loops around
 * suspension points, and an interpreted read or write takes longer than its system call.
 */
internal class EventLoopSocket(private val channel: SocketChannel, val loop: SocketEventLoop) {
    /** Number of bytes passed to the operating system so far. */
    @Volatile
    var sentBytes: Long = 0
        private set

    init {
        channel.configureBlocking(false)
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true)
    }

    /**
     * Waits until bytes can be read or the remote side has closed the connection.
     *
     * @param timeoutMillis time after which [ConnectionTimeout] is thrown; 0 means no timeout.
     */
    suspend fun awaitReadable(timeoutMillis: Long) = loop.await(channel, SelectionKey.OP_READ, timeoutMillis)

    /** Notifies [waiter] once when bytes can be read or the connection has been closed. */
    fun whenReadable(waiter: ReadyWaiter): DisposableHandle = loop.whenReady(channel, SelectionKey.OP_READ, waiter)

    /** Reads without waiting; returns 0 if nothing has arrived and -1 if the remote side has closed the connection. */
    fun readAvailable(buffer: ByteBuffer): Int = channel.read(buffer)

    /** Writes all of [buffer]; throws [ConnectionTimeout] if the receiver takes no byte for 60 s. */
    suspend fun write(buffer: ByteBuffer) {
        sentBytes += channel.write(buffer)
        if (buffer.hasRemaining()) writeWhenReady(buffer)
    }

    private suspend fun writeWhenReady(buffer: ByteBuffer) {
        loop.await(channel, SelectionKey.OP_WRITE, WRITE_TIMEOUT_MILLIS)
        write(buffer)
    }

    /**
     * Connects to [address].
     *
     * Throws [java.net.ConnectException] if the connection is refused and [ConnectionTimeout] after [timeoutMillis];
     * 0 means no timeout.
     */
    suspend fun connect(address: InetSocketAddress, timeoutMillis: Long = 0) {
        if (channel.connect(address)) return
        loop.await(channel, SelectionKey.OP_CONNECT, timeoutMillis)
        channel.finishConnect()
    }

    /** Connects like [connect], and closes the socket on failure. */
    suspend fun connectOrClose(address: InetSocketAddress, timeoutMillis: Long = 0) {
        var connected = false
        try {
            connect(address, timeoutMillis)
            connected = true
        } finally {
            if (!connected) close()
        }
    }

    /** Address of the remote side, for log messages. */
    val remoteAddress: String get() = if (channel.isOpen) channel.remoteAddress.toString() else "a closed connection"

    /** Closes the sending direction; the remote side reads end of stream after the bytes sent so far. */
    fun shutdownOutput() {
        channel.shutdownOutput()
    }

    /** Closes the connection with a TCP reset, so that the receiver does not take a truncated message for complete. */
    fun reset() {
        try {
            if (channel.isOpen) channel.setOption(StandardSocketOptions.SO_LINGER, 0)
        } catch (_: IOException) {
            // The connection has been closed already, so it needs no reset.
        }
        close()
    }

    /** Closes the connection; coroutines that wait on it get a [java.nio.channels.ClosedChannelException]. */
    fun close() {
        if (!channel.isOpen) return
        loop.cancelWaits(channel)
        channel.close()
    }
}

/** A listening TCP port whose waits run on a [SocketEventLoop]. */
internal class EventLoopListener(private val channel: ServerSocketChannel, private val loop: SocketEventLoop) {
    /** The bound port. */
    val port: Int get() = channel.socket().localPort

    /** Waits for a connection and accepts it. */
    suspend fun accept(): SocketChannel {
        while (true) {
            channel.accept()?.let { return it }
            loop.await(channel, SelectionKey.OP_ACCEPT)
        }
    }

    /** Closes the port; a coroutine that waits in [accept] gets a [java.nio.channels.ClosedChannelException]. */
    fun close() {
        if (!channel.isOpen) return
        loop.cancelWaits(channel)
        channel.close()
    }
}

/** Number of established connections that the operating system queues until they are accepted. */
private const val BACKLOG = 512

/** Opens a listening port at [address]; throws [IOException] if the port cannot be bound. */
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
