package boragelever.node.peer

import boragelever.core.NetworkAddress
import boragelever.core.NodeId
import boragelever.core.control.PeerMessage
import kotlinx.coroutines.channels.Channel
import kotlin.random.Random

/** Maximum number of queued messages per peer. Excess ones are dropped; the control state recovers from losses. */
private const val QUEUE_CAPACITY = 256

/** Next step of a sender that has queued a message. */
internal sealed interface SendStep {
    /** Nothing to do: a connection is open or being opened. */
    data object Wait : SendStep

    /** Open a connection. */
    data object Dial : SendStep

    /** Drop the queued messages: the last dial failed and its reconnect delay has not passed. */
    data object Drop : SendStep
}

/** Send queue, current connection and reconnect state for one peer. Thread-safe. */
internal class PeerLink(val peer: NodeId) {
    /** Messages to send; consumed by the current connection. */
    val queue = Channel<PeerMessage>(QUEUE_CAPACITY)

    private var connection: PeerConnection? = null
    private var dialling = false
    private var failures = 0
    private var nextDialMillis = Long.MIN_VALUE
    private var lastUsedMillis = Long.MIN_VALUE

    /** Current connection, or `null`. */
    val current: PeerConnection? get() = synchronized(this) { connection }

    /** Returns the next step for a message that was just queued. */
    fun nextStep(nowMillis: Long): SendStep =
        synchronized(this) {
            lastUsedMillis = nowMillis
            when {
                connection != null || dialling -> SendStep.Wait
                nowMillis < nextDialMillis -> SendStep.Drop
                else -> {
                    dialling = true
                    SendStep.Dial
                }
            }
        }

    /** Records the result of a dial attempt. */
    fun recordDial(success: Boolean, nowMillis: Long, random: Random) {
        synchronized(this) {
            dialling = false
            failures = if (success) 0 else failures + 1
            nextDialMillis = nowMillis + reconnectDelayMillis(failures, random)
        }
    }

    /**
     * Makes [candidate] the current connection, or returns false if the existing one has precedence.
     *
     * If both ends dialled at the same time, both use the connection dialled by the lower node id. A candidate with a
     * higher incarnation always wins: the peer restarted, so its old connection is dead even if this end has not
     * noticed.
     */
    fun adopt(candidate: PeerConnection, localNode: NodeId): Boolean {
        val replaced =
            synchronized(this) {
                val existing = connection
                if (existing != null && existing.takesPrecedenceOver(candidate, localNode)) return false
                connection = candidate
                failures = 0
                nextDialMillis = Long.MIN_VALUE
                existing
            }
        replaced?.retire()
        return true
    }

    private fun PeerConnection.takesPrecedenceOver(candidate: PeerConnection, localNode: NodeId): Boolean =
        closeReason == null &&
            candidate.record.incarnation <= record.incarnation &&
            candidate.dialledBy != dialledBy &&
            dialledBy == minOf(localNode, peer)

    /** Clears the current connection if it is [ended]; returns false if another one has replaced it. */
    fun release(ended: PeerConnection): Boolean =
        synchronized(this) {
            if (connection !== ended) return false
            connection = null
            true
        }

    /** Drops all queued messages and returns their number. */
    fun dropQueued(): Int = generateSequence { queue.tryReceive().getOrNull() }.count()

    /** Returns whether the link has no connection and no dial in progress and was last used before [beforeMillis]. */
    fun unusedSince(beforeMillis: Long): Boolean =
        synchronized(this) { connection == null && !dialling && lastUsedMillis < beforeMillis }
}
