package boragelever.node.net

import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.DisposableHandle
import java.nio.channels.ClosedChannelException
import java.nio.channels.SelectionKey
import kotlin.coroutines.resume
import kotlin.coroutines.resumeWithException

/** Waits for a channel; called on the thread of the loop. */
internal interface ReadyWaiter {
    /** The channel is ready. */
    fun onReady()

    /** The channel was closed on this side. */
    fun onClosed()
}

/** A coroutine that waits, with the timer that bounds its wait. */
internal class SuspendedWaiter(private val continuation: CancellableContinuation<Unit>) : ReadyWaiter {
    var timer: DisposableHandle? = null

    override fun onReady() {
        timer?.dispose()
        continuation.resume(Unit)
    }

    override fun onClosed() = fail(ClosedChannelException())

    fun expire() = fail(ConnectionTimeout())

    private fun fail(failure: Exception) {
        timer?.dispose()
        continuation.resumeWithException(failure)
    }
}

/** Who waits for one channel: at most one for each kind of operation. */
internal class ChannelWaiters {
    private val reader = WaiterSlot()
    private val writer = WaiterSlot()

    operator fun set(operation: Int, waiter: ReadyWaiter) {
        val slot = slotFor(operation)
        check(slot.waiter == null) { "another coroutine waits for the same operation" }
        slot.waiter = waiter
    }

    /** Removes [waiter]; false if it does not wait any more. */
    fun remove(operation: Int, waiter: ReadyWaiter): Boolean {
        val slot = slotFor(operation)
        val isWaiting = slot.waiter === waiter
        if (isWaiting) slot.waiter = null
        return isWaiting
    }

    /** Resumes who waits for [operations] and returns those that need not be reported again. */
    fun resume(operations: Int): Int {
        var unawaited = operations and WRITE_OPERATIONS
        val readReady = operations and READ_OPERATIONS
        if (readReady != 0 && reader.take()?.onReady() == null) unawaited = unawaited or readReady
        if (unawaited and WRITE_OPERATIONS != 0) writer.take()?.onReady()
        return unawaited
    }

    fun close() {
        listOfNotNull(reader.take(), writer.take()).forEach { it.onClosed() }
    }

    private fun slotFor(operation: Int): WaiterSlot = if (operation and READ_OPERATIONS != 0) reader else writer

    private class WaiterSlot {
        var waiter: ReadyWaiter? = null

        fun take(): ReadyWaiter? = waiter.also { waiter = null }
    }

    private companion object {
        const val READ_OPERATIONS = SelectionKey.OP_READ or SelectionKey.OP_ACCEPT
        const val WRITE_OPERATIONS = SelectionKey.OP_WRITE or SelectionKey.OP_CONNECT
    }
}
