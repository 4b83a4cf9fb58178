package boragelever.node.proxy

import boragelever.core.call.SlotDecision
import boragelever.core.call.SlotQueue
import boragelever.core.call.abandon
import boragelever.core.call.release
import boragelever.core.call.request
import boragelever.core.call.resize
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.atomic.AtomicReference

/** Guards the slots of one local upstream. Its state is one immutable value that is replaced atomically. */
internal class SlotGate(slots: Int) {
    private val queue = AtomicReference(SlotQueue<CompletableDeferred<Unit>>(slots))

    /** Calls that hold a slot. */
    val inUse: Int get() = queue.get().inUse

    /** Number of slots. */
    val slots: Int get() = queue.get().slots

    /** Waits at most [maxWaitMillis] for a slot behind at most [maxWaiting] others; false if there is none. */
    suspend fun acquire(maxWaiting: Int, maxWaitMillis: Long): Boolean {
        val waiter = CompletableDeferred<Unit>()
        return when (update { it.request(waiter, maxWaiting) }) {
            SlotDecision.Granted -> true
            SlotDecision.Shed -> false
            SlotDecision.Queued -> awaitTurn(waiter, maxWaitMillis)
        }
    }

    /** Gives a slot back. */
    fun release() {
        update { it.release() }?.complete(Unit)
    }

    /** Changes the number of slots; calls that hold one keep it. */
    fun resize(slots: Int) {
        if (queue.get().slots != slots) update { it.resize(slots) }.forEach { it.complete(Unit) }
    }

    private suspend fun awaitTurn(waiter: CompletableDeferred<Unit>, maxWaitMillis: Long): Boolean {
        val inTime = try {
            withTimeoutOrNull(maxWaitMillis) { waiter.await() } != null
        } catch (cancelled: CancellationException) {
            // A slot that was passed to the cancelled call goes on to the next one.
            if (!leave(waiter)) release()
            throw cancelled
        }
        return inTime || !leave(waiter)
    }

    /** Leaves the queue; false if a slot has been passed to [waiter]. */
    private fun leave(waiter: CompletableDeferred<Unit>): Boolean {
        while (true) {
            val current = queue.get()
            val next = current.abandon(waiter) ?: return false
            if (queue.compareAndSet(current, next)) return true
        }
    }

    private inline fun <T> update(
        change: (SlotQueue<CompletableDeferred<Unit>>) -> Pair<SlotQueue<CompletableDeferred<Unit>>, T>,
    ): T {
        while (true) {
            val current = queue.get()
            val (next, result) = change(current)
            if (queue.compareAndSet(current, next)) return result
        }
    }
}
