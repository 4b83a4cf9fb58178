package boragelever.node.proxy

import boragelever.node.net.SocketEventLoop
import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.suspendCancellableCoroutine
import kotlin.coroutines.resume

/**
 * Events of one call in their order. All functions are called on the thread of the call's [SocketEventLoop].
 *
 * A channel of the coroutine library is safe between threads, which a call does not need and pays for with each event.
 */
internal class EventQueue<E : Any> {
    private val events = ArrayDeque<E>()
    private var receiver: CancellableContinuation<E>? = null

    /** Adds an event. */
    fun post(event: E) {
        val suspended = receiver
        if (suspended == null) {
            events.addLast(event)
        } else {
            receiver = null
            suspended.resume(event)
        }
    }

    /** Returns the oldest event, or waits for the next. */
    suspend fun take(): E = events.removeFirstOrNull() ?: suspendCancellableCoroutine { receiver = it }
}
