package boragelever.node.proxy

import boragelever.core.call.SlotDecision
import boragelever.core.call.SlotQueue
import boragelever.core.call.cancel
import boragelever.core.call.maxQueueLength
import boragelever.core.call.release
import boragelever.core.call.request
import boragelever.core.call.resize
import boragelever.core.config.QueueConfig
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.atomic.AtomicReference

private val holdTimeMean = MovingMean(newestWeight = 0.1)

/** Limits the concurrent calls of one local upstream to its slots. Its state is immutable and replaced atomically. */
internal class SlotLimiter(slots: Int) {
    private val queue = AtomicReference(SlotQueue<CompletableDeferred<Boolean>>(slots))

    /** Mean time that slots are held, or `null` before the first release. */
    @Volatile
    private var meanHoldMillis: Double? = null

    /** Number of calls that hold a slot or wait for one. */
    val load: Int get() = queue.get().let { it.inUse + it.waiting.size }

    /** Number of calls that hold a slot. */
    val inUse: Int get() = queue.get().inUse

    /** Number of slots. */
    val slots: Int get() = queue.get().slots

    /**
     * Acquires a slot, waiting as [limits] allow; returns false if the call is shed or its wait times out.
     *
     * @param priority rank among the waiting calls; the lowest goes first.
     */
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

    /** Releases a slot that was held for [heldMillis]; with `null`, the mean holding time does not change. */
    fun release(heldMillis: Long? = null) {
        if (heldMillis != null) meanHoldMillis = holdTimeMean.update(meanHoldMillis, heldMillis.toDouble())
        updateQueue { it.release() }?.complete(true)
    }

    /** Changes the number of slots; calls that hold a slot keep it. */
    fun resize(slots: Int) {
        if (queue.get().slots != slots) updateQueue { it.resize(slots) }.forEach { it.complete(true) }
    }

    private suspend fun awaitGrant(waiter: CompletableDeferred<Boolean>, maxWaitMillis: Long): Boolean {
        val granted = try {
            withTimeoutOrNull(maxWaitMillis) { waiter.await() }
        } catch (cancelled: CancellationException) {
            // A slot that was granted to the cancelled call is released to the next one.
            if (!leaveQueue(waiter) && withContext(NonCancellable) { waiter.await() }) release()
            throw cancelled
        }
        // A call that is no longer in the queue was granted a slot or shed at the moment of the timeout.
        return granted ?: (!leaveQueue(waiter) && waiter.await())
    }

    /** Removes [waiter] from the queue; returns false if it was granted a slot or shed before. */
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
