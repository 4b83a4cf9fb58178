package boragelever.node

import boragelever.core.EventContext
import boragelever.core.control.ControlState
import boragelever.core.control.Effect
import boragelever.core.control.Event
import boragelever.core.control.TICK_MILLIS
import boragelever.core.control.reduce
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Semaphore
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random

private val log = KotlinLogging.logger {}

/** Maximum number of queued events; producers are suspended while the queue is full. */
private const val QUEUE_CAPACITY = 4_096

/** Creates an event once the control thread provides its time and randomness, in the order of the queue. */
public fun interface EventFactory {
    /** Returns the event with [context]. */
    public fun create(context: EventContext): Event
}

/** Item in the queue of the control thread. */
private sealed interface QueueItem {
    /** A submitted event; [reduced] is completed after its reduction, or `null` if the sender does not wait. */
    class Submitted(val factory: EventFactory, val reduced: CompletableDeferred<Unit>? = null) : QueueItem

    /** Tells the thread to exit. */
    data object Shutdown : QueueItem
}

/** Statistics of the control thread since its start. */
public data class ControlStats(
    /** Events reduced. */
    public val events: Long,
    /** Total time spent in the reducer, in nanoseconds. */
    public val reduceNanos: Long,
    /** Longest reduction of one event, in nanoseconds. */
    public val longestReduceNanos: Long,
    /** Ticks skipped because the thread was behind schedule. */
    public val skippedTicks: Long,
    /** Events whose reduction or effects threw an exception; each one indicates a bug. */
    public val failures: Long,
    /** Items currently in the queue. */
    public val queueDepth: Int,
)

/**
 * Event loop of the control state: its thread is the only one that changes the state.
 *
 * The thread takes events from a bounded queue, reduces them and starts the resulting effects. It generates the ticks
 * itself and merges overdue ticks into one, so that overload delays timers but never discards a result of the store.
 *
 * @param startEffect starts an effect; must not block.
 */
public class ControlLoop(
    initial: ControlState,
    private val clock: Clock,
    seed: Long,
    private val startEffect: (Effect) -> Unit,
) {
    /** A blocking queue costs one thread switch per event; a channel with a timeout needs a timer thread as well. */
    private val queue = LinkedBlockingQueue<QueueItem>()

    /** Limits the size of [queue]; a coroutine that waits for a permit blocks no thread. */
    private val permits = Semaphore(QUEUE_CAPACITY)

    @Volatile
    private var stopped = false
    private val random = Random(seed)
    private val thread = Thread(::run, "control-${initial.identity.node}").apply { isDaemon = true }

    private val events = AtomicLong()
    private val reduceNanos = AtomicLong()
    private val longestReduceNanos = AtomicLong()
    private val skippedTicks = AtomicLong()
    private val failures = AtomicLong()

    /** State after the last reduced event. Safe to read from any thread. */
    @Volatile
    public var state: ControlState = initial
        private set

    /** Current statistics. Safe to read from any thread. */
    public val stats: ControlStats
        get() =
            ControlStats(
                events.get(),
                reduceNanos.get(),
                longestReduceNanos.get(),
                skippedTicks.get(),
                failures.get(),
                queue.size,
            )

    /** Starts the thread, which reduces [Event.Started] first. */
    public fun start() {
        thread.start()
    }

    /** Stops the thread after it has reduced all queued events. */
    public fun stop() {
        stopped = true
        queue.put(QueueItem.Shutdown)
    }

    /** Queues [event], suspending while the queue is full. The event is dropped once the loop is stopped. */
    public suspend fun submit(event: EventFactory) {
        enqueue(QueueItem.Submitted(event))
    }

    /** Queues [event] and waits until it is reduced and its effects are started, unless the loop is already stopped. */
    public suspend fun submitAndAwait(event: EventFactory) {
        val reduced = CompletableDeferred<Unit>()
        if (enqueue(QueueItem.Submitted(event, reduced))) reduced.await()
    }

    /** Queues [event] without suspending; if the queue is full, a coroutine launched in [scope] waits for a permit. */
    public fun submitFrom(scope: CoroutineScope, event: EventFactory) {
        if (permits.tryAcquire()) offer(QueueItem.Submitted(event)) else scope.launch { submit(event) }
    }

    private suspend fun enqueue(item: QueueItem.Submitted): Boolean {
        permits.acquire()
        return offer(item)
    }

    /** Queues [item] under a permit that is already acquired; releases the permit and returns false if stopped. */
    private fun offer(item: QueueItem.Submitted): Boolean {
        if (stopped) permits.release() else queue.put(item)
        return !stopped
    }

    private fun run() {
        process { Event.Started(it) }
        var nextTickMillis = clock.nowMillis()
        var running = true
        while (running) {
            val waitMillis = nextTickMillis - clock.nowMillis()
            if (waitMillis <= 0) {
                process { Event.Ticked(it) }
                nextTickMillis = nextTickAfter(nextTickMillis)
            } else {
                running = awaitEvent(waitMillis)
            }
        }
    }

    /** Reduces the next event if one arrives within [waitMillis]; returns false once the loop is stopped. */
    private fun awaitEvent(waitMillis: Long): Boolean {
        when (val item = queue.poll(waitMillis, TimeUnit.MILLISECONDS)) {
            null -> Unit
            QueueItem.Shutdown -> return false
            is QueueItem.Submitted -> {
                permits.release()
                process(item.factory)
                item.reduced?.complete(Unit)
            }
        }
        return true
    }

    /** Returns the time of the next tick; ticks that are already overdue are counted as skipped. */
    private fun nextTickAfter(dueMillis: Long): Long {
        val skipped = (clock.nowMillis() - dueMillis) / TICK_MILLIS
        skippedTicks.addAndGet(skipped)
        return dueMillis + (skipped + 1) * TICK_MILLIS
    }

    private fun process(factory: EventFactory) {
        val event = factory.create(EventContext(clock.nowMillis(), random.nextLong()))
        val startNanos = System.nanoTime()
        try {
            val transition = reduce(state, event)
            state = transition.state
            recordReduction(System.nanoTime() - startNanos)
            transition.effects.forEach(startEffect)
        } catch (e: RuntimeException) {
            // If the reducer threw, the previous state remains: a bug in one part must not stop the whole node.
            failures.incrementAndGet()
            log.error(e) { "[node] handling an event failed; it is dropped and the node continues: $event" }
        }
    }

    private fun recordReduction(nanos: Long) {
        events.incrementAndGet()
        reduceNanos.addAndGet(nanos)
        longestReduceNanos.accumulateAndGet(nanos, ::maxOf)
    }
}
