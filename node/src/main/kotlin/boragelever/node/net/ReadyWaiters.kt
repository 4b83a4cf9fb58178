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
    fun ready()

    /** The channel was closed on this side. */
    fun closed()
}

/** A coroutine that waits, with the timer that bounds its wait. */
internal class SuspendedWaiter(private val continuation: CancellableContinuation<Unit>) : ReadyWaiter {
    var timer: DisposableHandle? = null

    override fun ready() {
        timer?.dispose()
        continuation.resume(Unit)
    }

    override fun closed() = fail(ClosedChannelException())

    fun expire() = fail(ConnectionSilent())

    private fun fail(failure: Exception) {
        timer?.dispose()
        continuation.resumeWithException(failure)
    }
}

/** Who waits for one channel: at most one for each kind of operation. */
internal class Waiters {
    private val reader = Slot()
    private val writer = Slot()

    operator fun set(operation: Int, waiter: ReadyWaiter) {
        val slot = slot(operation)
        check(slot.waiting == null) { "another coroutine waits for the same operation" }
        slot.waiting = waiter
    }

    /** Removes [waiter]; false if it does not wait any more. */
    fun forget(operation: Int, waiter: ReadyWaiter): Boolean {
        val slot = slot(operation)
        val waits = slot.waiting === waiter
        if (waits) slot.waiting = null
        return waits
    }

    /** Resumes who waits for [operations] and returns those that need not be reported again. */
    fun resume(operations: Int): Int {
        var unwanted = operations and WRITING
        val reading = operations and READING
        if (reading != 0 && reader.take()?.ready() == null) unwanted = unwanted or reading
        if (unwanted and WRITING != 0) writer.take()?.ready()
        return unwanted
    }

    fun close() {
        listOfNotNull(reader.take(), writer.take()).forEach { it.closed() }
    }

    private fun slot(operation: Int): Slot = if (operation and READING != 0) reader else writer

    private class Slot {
        var waiting: ReadyWaiter? = null

        fun take(): ReadyWaiter? = waiting.also { waiting = null }
    }

    private companion object {
        const val READING = SelectionKey.OP_READ or SelectionKey.OP_ACCEPT
        const val WRITING = SelectionKey.OP_WRITE or SelectionKey.OP_CONNECT
    }
}
