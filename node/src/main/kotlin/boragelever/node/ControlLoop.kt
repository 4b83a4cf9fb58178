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

/** Events that may wait; producers are suspended beyond it. */
private const val QUEUE_CAPACITY = 4_096

/** An event whose time and randomness are still to be added; the control thread adds them in its order. */
public fun interface UnstampedEvent {
    /** Returns the event with [context]. */
    public fun at(context: EventContext): Event
}

/** What the control thread takes from its queue. */
private sealed interface QueueItem {
    /** An event; [reduced] is completed once it is reduced, if its sender waits for that. */
    class Waiting(val event: UnstampedEvent, val reduced: CompletableDeferred<Unit>? = null) : QueueItem

    /** The thread ends. */
    data object End : QueueItem
}

/** Figures of the control thread since the start. */
public data class ControlFigures(
    public val events: Long,
    public val reduceNanos: Long,
    public val longestReduceNanos: Long,
    /** Ticks that were left out because the thread was behind. */
    public val skippedTicks: Long,
    /** Events whose reduction failed with an exception; each is a fault of the program. */
    public val failures: Long,
    public val queueDepth: Int,
)

/**
 * The only thread that changes the control state.
 *
 * It takes events from a bounded queue, reduces them and hands the effects on. Ticks are made by the thread itself:
 * when it is behind, due ticks are merged into one, so that load delays timers and never loses an answer of the store.
 *
 * @param effects starts an effect; must not block.
 */
public class ControlLoop(
    initial: ControlState,
    private val clock: Clock,
    seed: Long,
    private val effects: (Effect) -> Unit,
) {
    /** A blocking queue costs one thread switch for each event; waiting on a channel needs a timer thread as well. */
    private val queue = LinkedBlockingQueue<QueueItem>()

    /** Bounds [queue]; a coroutine that waits for room blocks no thread. */
    private val room = Semaphore(QUEUE_CAPACITY)

    @Volatile
    private var stopped = false
    private val random = Random(seed)
    private val thread = Thread(::run, "control-${initial.identity.node}").apply { isDaemon = true }

    private val events = AtomicLong()
    private val reduceNanos = AtomicLong()
    private val longestReduceNanos = AtomicLong()
    private val skippedTicks = AtomicLong()
    private val failures = AtomicLong()

    /** State after the last reduced event. Any thread may read it. */
    @Volatile
    public var state: ControlState = initial
        private set

    /** Figures as of now. */
    public val figures: ControlFigures
        get() =
            ControlFigures(
                events.get(),
                reduceNanos.get(),
                longestReduceNanos.get(),
                skippedTicks.get(),
                failures.get(),
                queue.size,
            )

    /** Starts the thread; [Event.Started] is the first event. */
    public fun start() {
        thread.start()
    }

    /** Stops the thread once it has reduced the events that wait. */
    public fun stop() {
        stopped = true
        queue.put(QueueItem.End)
    }

    /** Queues [event], suspending while the queue is full; dropped once the loop is stopped. */
    public suspend fun submit(event: UnstampedEvent) {
        enqueue(QueueItem.Waiting(event))
    }

    /** Queues [event] and waits until it is reduced and its effects are started, unless the loop is stopped. */
    public suspend fun submitAndAwait(event: UnstampedEvent) {
        val reduced = CompletableDeferred<Unit>()
        if (enqueue(QueueItem.Waiting(event, reduced))) reduced.await()
    }

    /** Queues [event] without waiting; while the queue is full, a coroutine of [scope] waits in its place. */
    public fun submitFrom(scope: CoroutineScope, event: UnstampedEvent) {
        if (room.tryAcquire()) put(QueueItem.Waiting(event)) else scope.launch { submit(event) }
    }

    private suspend fun enqueue(item: QueueItem.Waiting): Boolean {
        room.acquire()
        return put(item)
    }

    /** Puts [item] into the room that was taken for it; gives the room back if the loop is stopped. */
    private fun put(item: QueueItem.Waiting): Boolean {
        if (stopped) room.release() else queue.put(item)
        return !stopped
    }

    private fun run() {
        step { Event.Started(it) }
        var nextTick = clock.nowMillis()
        var open = true
        while (open) {
            val waitMillis = nextTick - clock.nowMillis()
            if (waitMillis <= 0) {
                step { Event.Ticked(it) }
                nextTick = tickAfter(nextTick)
            } else {
                open = awaitEvent(waitMillis)
            }
        }
    }

    /** Reduces the next event if one comes within [waitMillis]; returns false once the loop is stopped. */
    private fun awaitEvent(waitMillis: Long): Boolean {
        when (val item = queue.poll(waitMillis, TimeUnit.MILLISECONDS)) {
            null -> Unit
            QueueItem.End -> return false
            is QueueItem.Waiting -> {
                room.release()
                step(item.event)
                item.reduced?.complete(Unit)
            }
        }
        return true
    }

    private fun tickAfter(due: Long): Long {
        val missed = (clock.nowMillis() - due) / TICK_MILLIS
        skippedTicks.addAndGet(missed)
        return due + (missed + 1) * TICK_MILLIS
    }

    private fun step(unstamped: UnstampedEvent) {
        val event = unstamped.at(EventContext(clock.nowMillis(), random.nextLong()))
        val startNanos = System.nanoTime()
        try {
            val transition = reduce(state, event)
            state = transition.state
            count(System.nanoTime() - startNanos)
            transition.effects.forEach(effects)
        } catch (e: RuntimeException) {
            // The state before the event stays in force: a fault in one concern must not end the node.
            failures.incrementAndGet()
            log.error(e) { "[node] an event could not be reduced: $event" }
        }
    }

    private fun count(nanos: Long) {
        events.incrementAndGet()
        reduceNanos.addAndGet(nanos)
        longestReduceNanos.accumulateAndGet(nanos, ::maxOf)
    }
}
