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

/** Tasks that run before the selector is polled again, so that a long task queue does not delay the sockets. */
private const val MAX_TASKS_PER_ITERATION = 256

/**
 * Single-threaded event loop that waits for sockets and timers and dispatches the coroutines of its connections.
 *
 * A separate selector thread would cost two thread switches for each wait on a socket. The functions of sockets may be
 * called on the loop thread only; [dispatch] and [schedule] may be called from any thread.
 */
@OptIn(InternalCoroutinesApi::class, ExperimentalCoroutinesApi::class)
internal class SocketEventLoop(name: String) : CoroutineDispatcher(), Delay, AutoCloseable {
    private val selector = Selector.open()
    private val tasks = ConcurrentLinkedQueue<Runnable>()
    private val timers = PriorityQueue<Timer>(compareBy { it.dueNanos - startNanos })
    private val wakeupPending = AtomicBoolean()
    private val thread = Thread(::run, name).apply { isDaemon = true }

    @Volatile
    private var closed = false

    private val buffers = ArrayDeque<ByteBuffer>()

    /** Number of disposed timers that are still in [timers]. */
    private var disposedTimers = 0

    /** Returns an empty buffer of [BUFFER_BYTES], from the pool if possible. */
    fun acquireBuffer(): ByteBuffer = buffers.removeLastOrNull()?.clear() ?: ByteBuffer.allocate(BUFFER_BYTES)

    /** Returns a buffer that is no longer used to the pool. */
    fun releaseBuffer(buffer: ByteBuffer) {
        if (buffers.size < MAX_POOLED_BUFFERS) buffers.addLast(buffer)
    }

    /** Starts the thread. */
    fun start() {
        thread.start()
    }

    override fun isDispatchNeeded(context: CoroutineContext): Boolean = true

    override fun dispatch(context: CoroutineContext, block: Runnable) {
        tasks.add(block)
        if (Thread.currentThread() !== thread && wakeupPending.compareAndSet(false, true)) selector.wakeup()
    }

    override fun scheduleResumeAfterDelay(timeMillis: Long, continuation: CancellableContinuation<Unit>) {
        val timer = schedule(timeMillis) { with(continuation) { resumeUndispatched(Unit) } }
        continuation.invokeOnCancellation { timer.dispose() }
    }

    override fun invokeOnTimeout(timeMillis: Long, block: Runnable, context: CoroutineContext): DisposableHandle =
        schedule(timeMillis, block)

    /** Runs [action] on the loop thread after [delayMillis] unless the returned handle is disposed of before. */
    fun schedule(delayMillis: Long, action: Runnable): DisposableHandle {
        val timer = Timer(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(delayMillis), action)
        runOnLoopThread { timers.add(timer) }
        return timer
    }

    /**
     * Waits until [channel] is ready for [operation], at most [timeoutMillis]; 0 means no timeout.
     *
     * Throws [ConnectionTimeout] after that time, and [ClosedChannelException] if the channel is closed meanwhile.
     */
    suspend fun await(channel: SelectableChannel, operation: Int, timeoutMillis: Long = 0) {
        suspendCancellableCoroutine { continuation ->
            val waiters = waitersFor(channel, operation)
            val waiter = SuspendedWaiter(continuation)
            waiters[operation] = waiter
            if (timeoutMillis > 0) {
                waiter.timer = schedule(timeoutMillis) { if (waiters.remove(operation, waiter)) waiter.expire() }
            }
            continuation.invokeOnCancellation {
                runOnLoopThread {
                    waiters.remove(operation, waiter)
                    waiter.timer?.dispose()
                }
            }
        }
    }

    /** Notifies [waiter] once when [channel] is ready for [operation] or closed, unless the handle is disposed of. */
    fun whenReady(channel: SelectableChannel, operation: Int, waiter: ReadyWaiter): DisposableHandle {
        val waiters = waitersFor(channel, operation)
        waiters[operation] = waiter
        return DisposableHandle { runOnLoopThread { waiters.remove(operation, waiter) } }
    }

    private fun waitersFor(channel: SelectableChannel, operation: Int): ChannelWaiters {
        val key = channel.keyFor(selector) ?: channel.register(selector, 0, ChannelWaiters())
        if (key.interestOps() and operation == 0) key.interestOps(key.interestOps() or operation)
        return key.attachment() as ChannelWaiters
    }

    /** Ends all waits on [channel], which is being closed. */
    fun cancelWaits(channel: SelectableChannel) {
        runOnLoopThread { (channel.keyFor(selector)?.attachment() as? ChannelWaiters)?.close() }
    }

    /** Stops the thread; coroutines that still wait are not resumed. */
    override fun close() {
        closed = true
        selector.wakeup()
    }

    private fun runOnLoopThread(action: () -> Unit) {
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
        wakeupPending.set(false)
        repeat(MAX_TASKS_PER_ITERATION) {
            val task = tasks.poll() ?: return
            task.run()
        }
    }

    private fun runTimers() {
        val now = System.nanoTime()
        while (true) {
            val next = timers.peek() ?: return
            if (next.dueNanos - now > 0) return
            timers.poll()
            next.fire()
        }
    }

    private fun select() {
        if (tasks.isNotEmpty()) selector.selectNow(::onReady) else selector.select(::onReady, selectTimeoutMillis())
    }

    /** Time until the next timer, rounded up so that the timer is due after the wait; 0 means no timeout. */
    private fun selectTimeoutMillis(): Long {
        val next = timers.peek() ?: return 0
        val nanos = next.dueNanos - System.nanoTime()
        return maxOf(1, (nanos + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI)
    }

    private fun onReady(key: SelectionKey) {
        if (!key.isValid) return
        val operations = key.readyOps()
        // The interest stays while somebody waits: most sockets are awaited again, and each change is a system call.
        val unawaited = (key.attachment() as ChannelWaiters).resume(operations)
        if (unawaited != 0) key.interestOps(key.interestOps() and unawaited.inv())
    }

    /** An action that is due at [dueNanos]; disposing of it cancels the action. */
    private inner class Timer(val dueNanos: Long, private var action: Runnable?) : DisposableHandle {
        val isDisposed: Boolean get() = action == null

        fun fire() {
            if (isDisposed) disposedTimers -= 1
            action?.run()
            action = null
        }

        override fun dispose() = runOnLoopThread {
            if (!isDisposed) {
                action = null
                disposedTimers += 1
                if (disposedTimers > MAX_DISPOSED_TIMERS && disposedTimers > timers.size / 2) removeDisposed()
            }
        }
    }

    /** Removes disposed timers in bulk: nearly all are disposed of, and removing a single one searches the queue. */
    private fun removeDisposed() {
        timers.removeIf { it.isDisposed }
        disposedTimers = 0
    }

    companion object {
        /** Size of the read buffers. */
        const val BUFFER_BYTES: Int = 8_192

        /** Upper limit of the buffer pool; more connections than this rarely read at the same time. */
        private const val MAX_POOLED_BUFFERS = 64
        private const val MAX_DISPOSED_TIMERS = 64
        private const val NANOS_PER_MILLI = 1_000_000L
        private val startNanos: Long = System.nanoTime()
    }
}
