package boragelever.node.proxy

import boragelever.core.call.SlotDecision
import boragelever.core.call.SlotQueue
import boragelever.core.call.cancel
import boragelever.core.call.maxQueueLength
import boragelever.core.call.release
import boragelever.core.call.request
import boragelever.core.call.resize
import boragelever.core.config.QueueConfig
import java.util.concurrent.atomic.AtomicReference
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull

private val holdTimeAverage = ExponentialMovingAverage(newestWeight = 0.1)

/** Guards the slots of one local upstream. Its state is one immutable value that is replaced atomically. */
internal class SlotLimiter(slots: Int) {
    private val queue = AtomicReference(SlotQueue<CompletableDeferred<Boolean>>(slots))

    /** Mean time for which slots are held, or `null` before the first one was given back. */
    @Volatile
    private var meanHoldMillis: Double? = null

    /** Calls that hold a slot or wait for one. */
    val load: Int get() = queue.get().let { it.inUse + it.waiting.size }

    /** Calls that hold a slot. */
    val inUse: Int get() = queue.get().inUse

    /** Number of slots. */
    val slots: Int get() = queue.get().slots

    /** Waits for a slot, no longer and behind no more others than [limits] allow; false if there is none. */
    suspend fun acquire(limits: QueueConfig, priority: Int = 0): Boolean {
        val waiter = CompletableDeferred<Boolean>()
        val maxWaiting = maxQueueLength(limits, slots, meanHoldMillis ?: 0.0)
        return when (val decision = updateQueue { it.request(waiter, maxWaiting, priority) }) {
            SlotDecision.Granted -> true
            SlotDecision.Shed -> false
            SlotDecision.Queued -> awaitGrant(waiter, limits.maxWaitMillis)
            is SlotDecision.Displaced -> {
                decision.waiter.complete(false)
                awaitGrant(waiter, limits.maxWaitMillis)
            }
        }
    }

    /** Gives a slot back that was held for [heldMillis]; `null` leaves the mean as it is. */
    fun release(heldMillis: Long? = null) {
        if (heldMillis != null) meanHoldMillis = holdTimeAverage.update(meanHoldMillis, heldMillis.toDouble())
        updateQueue { it.release() }?.complete(true)
    }

    /** Changes the number of slots; calls that hold one keep it. */
    fun resize(slots: Int) {
        if (queue.get().slots != slots) updateQueue { it.resize(slots) }.forEach { it.complete(true) }
    }

    private suspend fun awaitGrant(waiter: CompletableDeferred<Boolean>, maxWaitMillis: Long): Boolean {
        val granted = try {
            withTimeoutOrNull(maxWaitMillis) { waiter.await() }
        } catch (cancelled: CancellationException) {
            // A slot that was passed to the cancelled call goes on to the next one.
            if (!leaveQueue(waiter) && withContext(NonCancellable) { waiter.await() }) release()
            throw cancelled
        }
        // A call that is no longer in the queue has been given a slot or was shed at the same moment.
        return granted ?: (!leaveQueue(waiter) && waiter.await())
    }

    /** Leaves the queue; false if a slot has been passed to [waiter] or it was shed. */
    private fun leaveQueue(waiter: CompletableDeferred<Boolean>): Boolean {
        while (true) {
            val current = queue.get()
            val next = current.cancel(waiter) ?: return false
            if (queue.compareAndSet(current, next)) return true
        }
    }

    private inline fun <T> updateQueue(
        change: (SlotQueue<CompletableDeferred<Boolean>>) -> Pair<SlotQueue<CompletableDeferred<Boolean>>, T>,
    ): T {
        while (true) {
            val current = queue.get()
            val (next, result) = change(current)
            if (queue.compareAndSet(current, next)) return result
        }
    }
}
