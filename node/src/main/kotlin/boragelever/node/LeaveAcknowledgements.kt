package boragelever.node

import boragelever.core.InstanceId
import kotlinx.coroutines.CompletableDeferred
import java.util.concurrent.ConcurrentHashMap

/** Requests of local upstreams that announce their leave and wait for the control state to acknowledge it. */
internal class LeaveAcknowledgements {
    private val pending = ConcurrentHashMap<InstanceId, CompletableDeferred<Unit>>()

    /** Runs [announce], which submits the announcement of [instance], and waits until it is acknowledged. */
    suspend fun awaitAfter(instance: InstanceId, announce: suspend () -> Unit) {
        val acknowledged = pending.computeIfAbsent(instance) { CompletableDeferred() }
        announce()
        acknowledged.await()
    }

    /** Completes the requests of [instance]. */
    fun acknowledge(instance: InstanceId) {
        pending.remove(instance)?.complete(Unit)
    }
}
