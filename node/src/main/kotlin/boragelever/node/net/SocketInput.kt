package boragelever.node.net

import kotlinx.coroutines.DisposableHandle
import java.io.IOException
import java.nio.ByteBuffer
import java.util.concurrent.TimeUnit

private val EMPTY_BUFFER: ByteBuffer = ByteBuffer.allocate(0)

/** The remote side closed the connection before a message was complete. */
internal class UnexpectedEndOfStream : IOException("the connection was closed before the message was complete")

/** The remote side did not accept the connection, send bytes or take bytes within the timeout. */
internal class ConnectionTimeout : IOException("the connection timed out while waiting for the remote side")

/**
 * Timeout for reading in one phase of a connection; [totalMillis] starts to run when the object is created.
 *
 * @param idleMillis longest time without a byte, or 0 for no limit.
 * @param totalMillis longest duration of the phase, or `null` for no limit.
 */
internal class ReadTimeout(private val idleMillis: Long, totalMillis: Long? = null) {
    private val deadlineNanos = totalMillis?.let { System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(it) }

    /** True once the total time is used up, with the millisecond resolution of the waits. */
    val isExpired: Boolean
        get() = deadlineNanos?.let { TimeUnit.NANOSECONDS.toMillis(it - System.nanoTime()) < 1 } ?: false

    /** Timeout of the next wait in milliseconds, at least 1; 0 means no timeout. */
    fun nextWaitMillis(): Long {
        val deadline = deadlineNanos ?: return idleMillis
        val remainingMillis = maxOf(1, TimeUnit.NANOSECONDS.toMillis(deadline - System.nanoTime()))
        return if (idleMillis > 0) minOf(idleMillis, remainingMillis) else remainingMillis
    }

    companion object {
        /** No timeout. */
        val NONE: ReadTimeout = ReadTimeout(0)
    }
}

/**
 * Number of reads in a row after which a connection with bytes at hand lets the other sockets and timers of its loop go
 * first.
 */
private const val MAX_READS_PER_TURN = 16

/**
 * Buffered input of a socket; reads at most [SocketEventLoop.BUFFER_BYTES] ahead of the consumer.
 *
 * A sender that is faster than the consumer neither keeps the thread of the loop to itself nor postpones the timeout.
 */
internal class SocketInput(private val socket: EventLoopSocket) {
    private var buffer: ByteBuffer = EMPTY_BUFFER

    /** Reads since the last wait. */
    private var readsInTurn = 0

    /** Timeout of subsequent reads; a read that exceeds it throws [ConnectionTimeout]. */
    var readTimeout: ReadTimeout = ReadTimeout.NONE

    /** Bytes that have been read but not consumed. */
    val buffered: ByteBuffer get() = buffer

    /** True if bytes can be consumed without waiting. */
    val hasBuffered: Boolean get() = buffer.hasRemaining()

    /** Waits until a byte can be consumed; returns false at the end of the stream. */
    suspend fun awaitByte(): Boolean {
        if (buffer.hasRemaining()) return true
        if (readTimeout.isExpired) throw ConnectionTimeout()
        readsInTurn += 1
        // Without a buffer the connection was idle, and a read before the wait would rarely return anything.
        val waits = buffer === EMPTY_BUFFER || readsInTurn > MAX_READS_PER_TURN
        val count = if (waits) 0 else fill()
        return if (count != 0) count > 0 else awaitData()
    }

    private suspend fun awaitData(): Boolean {
        socket.awaitReadable(readTimeout.nextWaitMillis())
        readsInTurn = 0
        val count = fill()
        return if (count != 0) count > 0 else awaitData()
    }

    /** Fills the empty buffer without waiting; returns 0 if nothing has arrived and -1 at the end of the stream. */
    private fun fill(): Int {
        if (buffer === EMPTY_BUFFER) buffer = socket.loop.acquireBuffer()
        buffer.clear()
        try {
            return socket.readAvailable(buffer)
        } finally {
            buffer.flip()
        }
    }

    /** Calls [onClosed] once if the connection is closed before another byte arrives; the handle cancels the watch. */
    fun watchForClose(onClosed: () -> Unit): DisposableHandle = CloseWatch(onClosed).also { it.watch() }

    private inner class CloseWatch(private val callback: () -> Unit) : ReadyWaiter, DisposableHandle {
        private var wait: DisposableHandle? = null

        fun watch() {
            if (!buffer.hasRemaining()) wait = socket.whenReadable(this)
        }

        override fun onReady() {
            val count = try {
                fill()
            } catch (_: IOException) {
                -1
            }
            if (count < 0) callback() else watch()
        }

        override fun onClosed() = callback()

        override fun dispose() {
            wait?.dispose()
        }
    }

    /** Returns the buffer to the loop if it is empty, so that an idle connection needs little memory. */
    fun releaseBuffer() {
        if (buffer === EMPTY_BUFFER || buffer.hasRemaining()) return
        socket.loop.releaseBuffer(buffer)
        buffer = EMPTY_BUFFER
    }

    /** Checks without waiting that the connection is open and has no unread input; otherwise it must be closed. */
    fun isIdle(): Boolean =
        try {
            !buffer.hasRemaining() && socket.readAvailable(ByteBuffer.allocate(1)) == 0
        } catch (failure: IOException) {
            false
        }

    /** Reads at least one and at most [length] bytes; throws [UnexpectedEndOfStream] at the end of the stream. */
    suspend fun read(target: ByteArray, offset: Int, length: Int): Int {
        if (!awaitByte()) throw UnexpectedEndOfStream()
        val count = minOf(length, buffer.remaining())
        buffer.get(target, offset, count)
        return count
    }
}
