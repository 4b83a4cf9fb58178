package boragelever.node.net

import kotlinx.coroutines.DisposableHandle
import java.io.IOException
import java.nio.ByteBuffer
import java.util.concurrent.TimeUnit

private val NO_BUFFER: ByteBuffer = ByteBuffer.allocate(0)

/** The other side ended the connection inside a message. */
internal class ConnectionEnded : IOException("the connection ended inside a message")

/** The other side gave no sign of life in the time in which it should have. */
internal class ConnectionSilent : IOException("the connection is silent")

/**
 * Bound of the waits in one phase of a connection.
 *
 * @param eachMillis longest time without a byte.
 * @param totalMillis longest time of the phase, or `null` for no bound.
 */
internal class WaitBound(private val eachMillis: Long, totalMillis: Long? = null) {
    private val endNanos = totalMillis?.let { System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(it) }

    /** True once the time of the phase is over, to the millisecond to which waits are rounded. */
    val isOver: Boolean get() = endNanos?.let { TimeUnit.NANOSECONDS.toMillis(it - System.nanoTime()) < 1 } ?: false

    /** Longest time for the next wait, at least a millisecond; 0 for no bound. */
    fun nextMillis(): Long {
        val end = endNanos ?: return eachMillis
        val left = maxOf(1, TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime()))
        return if (eachMillis > 0) minOf(eachMillis, left) else left
    }

    companion object {
        val NONE: WaitBound = WaitBound(0)
    }
}

/** Buffered reading from a socket; holds at most [SocketLoop.BUFFER_BYTES] ahead of the reader. */
internal class SocketInput(private val socket: LoopSocket) {
    private var buffer: ByteBuffer = NO_BUFFER

    /** Bound of the waits from now on; a wait beyond it throws [ConnectionSilent]. */
    var waitBound: WaitBound = WaitBound.NONE

    /** Bytes at hand without waiting. */
    val buffered: ByteBuffer get() = buffer

    /** True if bytes are at hand without waiting. */
    val hasBuffered: Boolean get() = buffer.hasRemaining()

    /** Waits for a byte; false if the connection ended. */
    suspend fun awaitByte(): Boolean {
        if (buffer.hasRemaining()) return true
        // Without a buffer nothing was expected yet, so that a read would mostly find nothing.
        val count = if (buffer === NO_BUFFER) 0 else fill()
        return if (count != 0) count > 0 else awaitArrival()
    }

    private suspend fun awaitArrival(): Boolean {
        socket.awaitReadable(waitBound.nextMillis())
        val count = fill()
        return if (count != 0) count > 0 else awaitArrival()
    }

    /** Reads what has arrived into the empty buffer: 0 for nothing, -1 if the other side has ended the connection. */
    private fun fill(): Int {
        if (buffer === NO_BUFFER) buffer = socket.loop.takeBuffer()
        buffer.clear()
        try {
            return socket.readNow(buffer)
        } finally {
            buffer.flip()
        }
    }

    /** Calls [ended] once if the connection ends before another byte arrives. The handle ends the watch. */
    fun watchEnd(ended: () -> Unit): DisposableHandle = EndWatch(ended).also { it.watch() }

    private inner class EndWatch(private val ended: () -> Unit) : ReadyWaiter, DisposableHandle {
        private var wait: DisposableHandle? = null

        fun watch() {
            if (!buffer.hasRemaining()) wait = socket.whenReadable(this)
        }

        override fun ready() {
            val count = try {
                fill()
            } catch (_: IOException) {
                -1
            }
            if (count < 0) ended() else watch()
        }

        override fun closed() = ended()

        override fun dispose() {
            wait?.dispose()
        }
    }

    /** Gives the buffer up if it is empty, so that an unused connection costs little memory. */
    fun trim() {
        if (buffer === NO_BUFFER || buffer.hasRemaining()) return
        socket.loop.giveBack(buffer)
        buffer = NO_BUFFER
    }

    /** Looks without waiting whether the connection is open and silent; one that is not must be closed. */
    fun isSilent(): Boolean =
        try {
            !buffer.hasRemaining() && socket.readNow(ByteBuffer.allocate(1)) == 0
        } catch (failure: IOException) {
            false
        }

    /** Reads at least one byte, at most [length]; throws [ConnectionEnded] if there is none. */
    suspend fun read(target: ByteArray, offset: Int, length: Int): Int {
        if (!awaitByte()) throw ConnectionEnded()
        val count = minOf(length, buffer.remaining())
        buffer.get(target, offset, count)
        return count
    }
}
