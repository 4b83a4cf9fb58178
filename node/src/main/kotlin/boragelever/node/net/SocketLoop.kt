package boragelever.node.net

import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.Delay
import kotlinx.coroutines.DisposableHandle
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.InternalCoroutinesApi
import kotlinx.coroutines.Runnable
import kotlinx.coroutines.suspendCancellableCoroutine
import java.nio.ByteBuffer
import java.nio.channels.ClosedChannelException
import java.nio.channels.SelectableChannel
import java.nio.channels.SelectionKey
import java.nio.channels.Selector
import java.util.PriorityQueue
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.coroutines.CoroutineContext

/** Coroutines that run before sockets are looked at again, so that a long queue does not hold them up. */
private const val TASKS_PER_ROUND = 256

/**
 * One thread that waits for its sockets and timers and runs the coroutines of its connections.
 *
 * A separate selector thread would cost two thread switches for each wait on a socket. All functions on sockets are
 * called on this thread only; [dispatch] may be called from any thread.
 */
@OptIn(InternalCoroutinesApi::class, ExperimentalCoroutinesApi::class)
internal class SocketLoop(name: String) : CoroutineDispatcher(), Delay, AutoCloseable {
    private val selector = Selector.open()
    private val tasks = ConcurrentLinkedQueue<Runnable>()
    private val timers = PriorityQueue<Timer>(compareBy { it.atNanos - startNanos })
    private val wakingUp = AtomicBoolean()
    private val thread = Thread(::run, name).apply { isDaemon = true }

    @Volatile
    private var closed = false

    private val buffers = ArrayDeque<ByteBuffer>()

    /** Disposed timers that are still in [timers]. */
    private var disposedTimers = 0

    /** Returns an empty buffer of [BUFFER_BYTES], one that was given back if there is one. */
    fun takeBuffer(): ByteBuffer = buffers.removeLastOrNull()?.clear() ?: ByteBuffer.allocate(BUFFER_BYTES)

    /** Takes back a buffer that nobody uses any more. */
    fun giveBack(buffer: ByteBuffer) {
        if (buffers.size < MAX_KEPT_BUFFERS) buffers.addLast(buffer)
    }

    /** Starts the thread. */
    fun start() {
        thread.start()
    }

    override fun isDispatchNeeded(context: CoroutineContext): Boolean = true

    override fun dispatch(context: CoroutineContext, block: Runnable) {
        tasks.add(block)
        if (Thread.currentThread() !== thread && wakingUp.compareAndSet(false, true)) selector.wakeup()
    }

    override fun scheduleResumeAfterDelay(timeMillis: Long, continuation: CancellableContinuation<Unit>) {
        val timer = after(timeMillis) { with(continuation) { resumeUndispatched(Unit) } }
        continuation.invokeOnCancellation { timer.dispose() }
    }

    override fun invokeOnTimeout(timeMillis: Long, block: Runnable, context: CoroutineContext): DisposableHandle =
        after(timeMillis, block)

    /** Runs [action] on the thread of the loop after [delayMillis], unless the handle is disposed of before. */
    fun after(delayMillis: Long, action: Runnable): DisposableHandle {
        val timer = Timer(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(delayMillis), action)
        onThread { timers.add(timer) }
        return timer
    }

    /**
     * Waits until [channel] is ready for [operation], at most [limitMillis]; 0 waits without a bound.
     *
     * Throws [ConnectionSilent] once the time is over, and [ClosedChannelException] if the channel is closed meanwhile.
     */
    suspend fun await(channel: SelectableChannel, operation: Int, limitMillis: Long = 0) {
        suspendCancellableCoroutine { continuation ->
            val waiters = waitersFor(channel, operation)
            val waiter = SuspendedWaiter(continuation)
            waiters[operation] = waiter
            if (limitMillis > 0) {
                waiter.timer = after(limitMillis) { if (waiters.forget(operation, waiter)) waiter.expire() }
            }
            continuation.invokeOnCancellation {
                onThread {
                    waiters.forget(operation, waiter)
                    waiter.timer?.dispose()
                }
            }
        }
    }

    /** Calls [waiter] once when [channel] is ready for [operation] or closed, unless the handle is disposed of. */
    fun whenReady(channel: SelectableChannel, operation: Int, waiter: ReadyWaiter): DisposableHandle {
        val waiters = waitersFor(channel, operation)
        waiters[operation] = waiter
        return DisposableHandle { onThread { waiters.forget(operation, waiter) } }
    }

    private fun waitersFor(channel: SelectableChannel, operation: Int): Waiters {
        val key = channel.keyFor(selector) ?: channel.register(selector, 0, Waiters())
        if (key.interestOps() and operation == 0) key.interestOps(key.interestOps() or operation)
        return key.attachment() as Waiters
    }

    /** Ends all waits on [channel], which is closed. */
    fun closed(channel: SelectableChannel) {
        onThread { (channel.keyFor(selector)?.attachment() as? Waiters)?.close() }
    }

    /** Ends the thread; coroutines that still wait are not resumed. */
    override fun close() {
        closed = true
        selector.wakeup()
    }

    private fun onThread(action: () -> Unit) {
        if (Thread.currentThread() === thread) action() else dispatch(this, Runnable { action() })
    }

    private fun run() {
        while (!closed) {
            runTasks()
            runTimers()
            select()
        }
        selector.close()
    }

    private fun runTasks() {
        wakingUp.set(false)
        repeat(TASKS_PER_ROUND) {
            val task = tasks.poll() ?: return
            task.run()
        }
    }

    private fun runTimers() {
        val now = System.nanoTime()
        while (true) {
            val next = timers.peek() ?: return
            if (next.atNanos - now > 0) return
            timers.poll()
            next.fire()
        }
    }

    private fun select() {
        if (tasks.isNotEmpty()) selector.selectNow(::ready) else selector.select(::ready, waitMillis())
    }

    /** Time until the next timer, rounded up so that it is due after the wait; 0 waits without a bound. */
    private fun waitMillis(): Long {
        val next = timers.peek() ?: return 0
        val nanos = next.atNanos - System.nanoTime()
        return maxOf(1, (nanos + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI)
    }

    private fun ready(key: SelectionKey) {
        if (!key.isValid) return
        val operations = key.readyOps()
        // The interest stays while someone waits: most sockets are awaited again, and each change is a system call.
        val unwanted = (key.attachment() as Waiters).resume(operations)
        if (unwanted != 0) key.interestOps(key.interestOps() and unwanted.inv())
    }

    /** An action that is due at a time; disposing of it keeps it from running. */
    private inner class Timer(val atNanos: Long, private var action: Runnable?) : DisposableHandle {
        val isDisposed: Boolean get() = action == null

        fun fire() {
            if (isDisposed) disposedTimers -= 1
            action?.run()
            action = null
        }

        override fun dispose() = onThread {
            if (!isDisposed) {
                action = null
                disposedTimers += 1
                if (disposedTimers > MAX_DISPOSED_TIMERS && disposedTimers > timers.size / 2) removeDisposed()
            }
        }
    }

    /** Removing each timer by itself would search the queue for it; nearly every timer is disposed of. */
    private fun removeDisposed() {
        timers.removeIf { it.isDisposed }
        disposedTimers = 0
    }

    companion object {
        /** Size of the buffers for reading. */
        const val BUFFER_BYTES: Int = 8_192

        /** Buffers kept for reuse; more connections than this rarely read at the same time. */
        private const val MAX_KEPT_BUFFERS = 64
        private const val MAX_DISPOSED_TIMERS = 64
        private const val NANOS_PER_MILLI = 1_000_000L
        private val startNanos: Long = System.nanoTime()
    }
}
