package boragelever.node.net

import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.DisposableHandle
import java.nio.channels.ClosedChannelException
import java.nio.channels.SelectionKey
import kotlin.coroutines.resume
import kotlin.coroutines.resumeWithException

/** Callback for the readiness of a channel; called on the event loop thread. */
internal interface ReadyWaiter {
    /** Called when the channel is ready for the operation. */
    fun onReady()

    /** Called when the channel was closed locally. */
    fun onClosed()
}

/** Resumes a suspended coroutine; [timer] limits its wait. */
internal class SuspendedWaiter(private val continuation: CancellableContinuation<Unit>) : ReadyWaiter {
    var timer: DisposableHandle? = null

    override fun onReady() {
        timer?.dispose()
        continuation.resume(Unit)
    }

    override fun onClosed() = fail(ClosedChannelException())

    /** Ends the wait with a [ConnectionTimeout]. */
    fun expire() = fail(ConnectionTimeout())

    private fun fail(failure: Exception) {
        timer?.dispose()
        continuation.resumeWithException(failure)
    }
}

/** Waiters of one channel: at most one for reading or accepting and one for writing or connecting. */
internal class ChannelWaiters {
    private val reader = WaiterSlot()
    private val writer = WaiterSlot()

    operator fun set(operation: Int, waiter: ReadyWaiter) {
        val slot = slotFor(operation)
        check(slot.waiter == null) { "another coroutine already waits for the same operation on this channel" }
        slot.waiter = waiter
    }

    /** Removes [waiter]; returns false if it no longer waits. */
    fun remove(operation: Int, waiter: ReadyWaiter): Boolean {
        val slot = slotFor(operation)
        val isWaiting = slot.waiter === waiter
        if (isWaiting) slot.waiter = null
        return isWaiting
    }

    /** Notifies the waiters for [operations] and returns the operations that nobody waits for. */
    fun resume(operations: Int): Int {
        var unawaited = operations and WRITE_OPERATIONS
        val readReady = operations and READ_OPERATIONS
        if (readReady != 0 && reader.take()?.onReady() == null) unawaited = unawaited or readReady
        if (unawaited and WRITE_OPERATIONS != 0) writer.take()?.onReady()
        return unawaited
    }

    /** Notifies all waiters that the channel was closed. */
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
