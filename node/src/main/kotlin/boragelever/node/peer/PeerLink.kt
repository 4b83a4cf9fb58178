package boragelever.node.peer

import boragelever.core.NetworkAddress
import boragelever.core.NodeId
import boragelever.core.control.PeerMessage
import kotlinx.coroutines.channels.Channel
import kotlin.random.Random

/** Messages that may wait for a slow peer; more are dropped and reported, since the control state repairs losses. */
private const val QUEUE_CAPACITY = 256

/** What a sender has to do after it queued a message. */
internal sealed interface SendStep {
    /** A connection is open or being opened. */
    data object Wait : SendStep

    /** The sender opens a connection. */
    data object Dial : SendStep

    /** The last dial failed a short time ago. */
    data object GiveUp : SendStep
}

/** Queue, connection and dial attempts to one peer. */
internal class PeerLink(val peer: NodeId) {
    /** Messages to send; drained by the connection in use. */
    val queue = Channel<PeerMessage>(QUEUE_CAPACITY)

    private var connection: PeerConnection? = null
    private var dialling = false
    private var failures = 0
    private var notBeforeMillis = Long.MIN_VALUE
    private var usedMillis = Long.MIN_VALUE

    /** The connection in use, or `null`. */
    val current: PeerConnection? get() = synchronized(this) { connection }

    /** Decides what to do for a message that was just queued. */
    fun beforeSend(nowMillis: Long): SendStep =
        synchronized(this) {
            usedMillis = nowMillis
            when {
                connection != null || dialling -> SendStep.Wait
                nowMillis < notBeforeMillis -> SendStep.GiveUp
                else -> {
                    dialling = true
                    SendStep.Dial
                }
            }
        }

    /** Records the end of a dial attempt. */
    fun dialled(success: Boolean, nowMillis: Long, random: Random) {
        synchronized(this) {
            dialling = false
            failures = if (success) 0 else failures + 1
            notBeforeMillis = nowMillis + reconnectDelayMillis(failures, random)
        }
    }

    /**
     * Takes [candidate] into use, or returns false if the present connection stays.
     *
     * When both ends dialled at the same time, both keep the connection that the lower node id dialled. A restarted
     * peer has a higher incarnation, and its old connection is dead even if this end has not noticed.
     */
    fun adopt(candidate: PeerConnection, own: NodeId): Boolean {
        val replaced =
            synchronized(this) {
                val present = connection
                if (present != null && present.prevailsOver(candidate, own)) return false
                connection = candidate
                failures = 0
                notBeforeMillis = Long.MIN_VALUE
                present
            }
        replaced?.retire()
        return true
    }

    private fun PeerConnection.prevailsOver(candidate: PeerConnection, own: NodeId): Boolean =
        closeReason == null &&
            candidate.record.incarnation <= record.incarnation &&
            candidate.dialledBy != dialledBy &&
            dialledBy == minOf(own, peer)

    /** Takes [ended] out of use; returns false if another connection had replaced it. */
    fun release(ended: PeerConnection): Boolean =
        synchronized(this) {
            if (connection !== ended) return false
            connection = null
            true
        }

    /** Drops the messages that wait. */
    fun dropQueued(): Int = generateSequence { queue.tryReceive().getOrNull() }.count()

    /** Tells whether the link has not been used since [beforeMillis] and holds nothing. */
    fun unusedSince(beforeMillis: Long): Boolean =
        synchronized(this) { connection == null && !dialling && usedMillis < beforeMillis }
}
