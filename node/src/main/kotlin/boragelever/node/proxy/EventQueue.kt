package boragelever.node.proxy

import boragelever.node.net.SocketEventLoop
import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.suspendCancellableCoroutine
import kotlin.coroutines.resume

/**
 * FIFO queue of the events of one call. All functions are called on the thread of the call's [SocketEventLoop].
 *
 * A coroutine channel would be thread-safe, which a call does not need but would pay for with each event.
 */
internal class EventQueue<E : Any> {
    private val events = ArrayDeque<E>()
    private var receiver: CancellableContinuation<E>? = null

    /** Adds an event or passes it to the waiting receiver. */
    fun post(event: E) {
        val suspended = receiver
        if (suspended == null) {
            events.addLast(event)
        } else {
            receiver = null
            suspended.resume(event)
        }
    }

    /** Removes and returns the oldest event, or waits for the next one. */
    suspend fun take(): E = events.removeFirstOrNull() ?: suspendCancellableCoroutine { receiver = it }
}
