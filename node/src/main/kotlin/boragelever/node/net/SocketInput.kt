package boragelever.node.net

import kotlinx.coroutines.DisposableHandle
import java.io.IOException
import java.nio.ByteBuffer
import java.util.concurrent.TimeUnit

private val EMPTY_BUFFER: ByteBuffer = ByteBuffer.allocate(0)

/** The other side ended the connection inside a message. */
internal class UnexpectedEndOfStream : IOException("the connection ended inside a message")

/** The other side gave no sign of life in the time in which it should have. */
internal class ConnectionTimeout : IOException("the connection is silent")

/**
 * Bound of the waits in one phase of a connection.
 *
 * @param idleMillis longest time without a byte.
 * @param totalMillis longest time of the phase, or `null` for no bound.
 */
internal class ReadTimeout(private val idleMillis: Long, totalMillis: Long? = null) {
    private val deadlineNanos = totalMillis?.let { System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(it) }

    /** True once the time of the phase is over, to the millisecond to which waits are rounded. */
    val isExpired: Boolean
        get() = deadlineNanos?.let { TimeUnit.NANOSECONDS.toMillis(it - System.nanoTime()) < 1 } ?: false

    /** Longest time for the next wait, at least a millisecond; 0 for no bound. */
    fun nextWaitMillis(): Long {
        val deadline = deadlineNanos ?: return idleMillis
        val remainingMillis = maxOf(1, TimeUnit.NANOSECONDS.toMillis(deadline - System.nanoTime()))
        return if (idleMillis > 0) minOf(idleMillis, remainingMillis) else remainingMillis
    }

    companion object {
        val NONE: ReadTimeout = ReadTimeout(0)
    }
}

/** Buffered reading from a socket; holds at most [SocketEventLoop.BUFFER_BYTES] ahead of the reader. */
internal class SocketInput(private val socket: EventLoopSocket) {
    private var buffer: ByteBuffer = EMPTY_BUFFER

    /** Bound of the waits from now on; a wait beyond it throws [ConnectionTimeout]. */
    var readTimeout: ReadTimeout = ReadTimeout.NONE

    /** Bytes at hand without waiting. */
    val buffered: ByteBuffer get() = buffer

    /** True if bytes are at hand without waiting. */
    val hasBuffered: Boolean get() = buffer.hasRemaining()

    /** Waits for a byte; false if the connection ended. */
    suspend fun awaitByte(): Boolean {
        if (buffer.hasRemaining()) return true
        // Without a buffer nothing was expected yet, so that a read would mostly find nothing.
        val count = if (buffer === EMPTY_BUFFER) 0 else fill()
        return if (count != 0) count > 0 else awaitData()
    }

    private suspend fun awaitData(): Boolean {
        socket.awaitReadable(readTimeout.nextWaitMillis())
        val count = fill()
        return if (count != 0) count > 0 else awaitData()
    }

    /** Reads what has arrived into the empty buffer: 0 for nothing, -1 if the other side has ended the connection. */
    private fun fill(): Int {
        if (buffer === EMPTY_BUFFER) buffer = socket.loop.acquireBuffer()
        buffer.clear()
        try {
            return socket.readAvailable(buffer)
        } finally {
            buffer.flip()
        }
    }

    /** Calls [ended] once if the connection ends before another byte arrives. The handle ends the watch. */
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

    /** Gives the buffer up if it is empty, so that an unused connection costs little memory. */
    fun releaseBuffer() {
        if (buffer === EMPTY_BUFFER || buffer.hasRemaining()) return
        socket.loop.releaseBuffer(buffer)
        buffer = EMPTY_BUFFER
    }

    /** Looks without waiting whether the connection is open and silent; one that is not must be closed. */
    fun isIdle(): Boolean =
        try {
            !buffer.hasRemaining() && socket.readAvailable(ByteBuffer.allocate(1)) == 0
        } catch (failure: IOException) {
            false
        }

    /** Reads at least one byte, at most [length]; throws [UnexpectedEndOfStream] if there is none. */
    suspend fun read(target: ByteArray, offset: Int, length: Int): Int {
        if (!awaitByte()) throw UnexpectedEndOfStream()
        val count = minOf(length, buffer.remaining())
        buffer.get(target, offset, count)
        return count
    }
}
