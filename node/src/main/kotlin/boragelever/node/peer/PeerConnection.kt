package boragelever.node.peer

import boragelever.core.NodeId
import boragelever.core.control.MemberRecord
import boragelever.core.control.PeerMessage
import boragelever.node.net.EventLoopSocket
import boragelever.node.net.SocketInput
import boragelever.wire.FrameError
import boragelever.wire.LENGTH_FIELD_BYTES
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.coroutines.Job
import java.nio.ByteBuffer

/** Reason for the end of a connection. */
internal sealed interface CloseReason {
    /** The peer closed the connection, or it failed. */
    data object Lost : CloseReason

    /** The connection was unused for the idle timeout. */
    data object Idle : CloseReason

    /** The peer did not reply to a message in time. */
    data object ReplyTimeout : CloseReason

    /** Another connection to the same peer replaced this one, and the peer did not close it in time. */
    data object Replaced : CloseReason

    /** The control state requested the close, or the node is stopping. */
    data object Requested : CloseReason

    /** The peer violated the protocol, so that reading cannot continue. */
    data class ProtocolError(val error: FrameError) : CloseReason
}

/** A socket that transfers frames. All functions except [close] must be called on the thread of the socket loop. */
internal class FrameSocket(private val socket: EventLoopSocket) {
    private val input = SocketInput(socket)

    /** Address of the peer, for log lines. */
    val remoteAddress: String get() = socket.remoteAddress

    /** Reads the payload of one frame of at most [maxBytes]; throws an exception if the connection ends. */
    suspend fun read(maxBytes: Int): Result<ByteArray, FrameError> {
        input.releaseBuffer()
        val sizeBytes = ByteBuffer.wrap(readFully(LENGTH_FIELD_BYTES)).getInt()
        if (sizeBytes !in 0..maxBytes) return Err(FrameError.Oversized(sizeBytes))
        return Ok(readFully(sizeBytes))
    }

    private suspend fun readFully(sizeBytes: Int): ByteArray {
        val bytes = ByteArray(sizeBytes)
        var offset = 0
        while (offset < sizeBytes) offset += input.read(bytes, offset, sizeBytes - offset)
        return bytes
    }

    /** Writes [frame], which includes its length field; throws an exception if the connection ends. */
    suspend fun write(frame: ByteArray) {
        socket.write(ByteBuffer.wrap(frame))
    }

    /** Closes the sending direction; the peer still receives what was written before. */
    fun shutdownOutput() {
        socket.shutdownOutput()
    }

    /** Closes the connection in both directions. */
    fun close() {
        socket.close()
    }
}

/** An open connection to the node of [record], after the handshake. */
internal class PeerConnection(
    val record: MemberRecord,
    val dialledBy: NodeId,
    val socket: FrameSocket,
    private val sameRegion: Boolean,
    private val traffic: ControlTrafficCounters,
    nowMillis: Long,
) {
    val peer: NodeId get() = record.node

    /** Monotonic time of the last frame in either direction. */
    @Volatile
    var lastActivityMillis: Long = nowMillis
        private set

    /** Monotonic time at which the oldest message that awaits a reply was sent, or `null` if there is none. */
    @Volatile
    var awaitingReplySinceMillis: Long? = null
        private set

    /** Completed once another connection has replaced this one. */
    val retired = Job()

    @Volatile
    private var servingJob: Job? = null

    /** Reason for which this end closed the connection, or `null` if it has not. */
    @Volatile
    var closeReason: CloseReason? = null
        private set

    /** Sets the coroutine that serves the connection; [close] cancels it. */
    fun attachJob(job: Job) {
        servingJob = job
        if (closeReason != null) job.cancel()
    }

    /** Stops sending messages. Messages in flight in either direction still arrive. */
    fun retire() {
        retired.complete()
    }

    /** Closes the connection. Safe to call from any thread; the first reason is recorded. */
    fun close(reason: CloseReason) {
        if (closeReason == null) closeReason = reason
        servingJob?.cancel()
        socket.close()
    }

    /** Updates the state and the traffic counters for a received [payload]. */
    fun received(payload: ByteArray, nowMillis: Long) {
        traffic.received(payload.size + LENGTH_FIELD_BYTES, sameRegion)
        awaitingReplySinceMillis = null
        lastActivityMillis = nowMillis
    }

    /** Writes [frame], the encoding of [message]. */
    suspend fun write(message: PeerMessage, frame: ByteArray, nowMillis: Long) {
        if (message.expectsReply() && awaitingReplySinceMillis == null) awaitingReplySinceMillis = nowMillis
        socket.write(frame)
        traffic.sent(frame.size, sameRegion)
        lastActivityMillis = nowMillis
    }
}

/** Returns whether a running receiver always replies to this message. */
private fun PeerMessage.expectsReply(): Boolean =
    when (this) {
        is PeerMessage.Heartbeat, is PeerMessage.ConfigPush, is PeerMessage.QuarantineUpdate -> true

        is PeerMessage.MemberUpdate -> !isReply

        is PeerMessage.HeartbeatAck, is PeerMessage.ConfigAck, is PeerMessage.ConfigPull, is PeerMessage.MemberAck,
        is PeerMessage.SourceReport,
        is PeerMessage.MemberSummary, is PeerMessage.MemberPull,
        -> false
    }
