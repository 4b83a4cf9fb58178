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

/** Why a connection ended. */
internal sealed interface CloseReason {
    /** The other end closed, or the connection broke. */
    data object Lost : CloseReason

    /** Nothing was sent for a long time. */
    data object Idle : CloseReason

    /** An answer was due and nothing arrived. */
    data object Silent : CloseReason

    /** Another connection to the same peer took its place, and the peer did not end this one in time. */
    data object Replaced : CloseReason

    /** The control state asked for it, or the node stops. */
    data object Requested : CloseReason

    /** The peer sent something that must not be read on. */
    data class Refused(val error: FrameError) : CloseReason
}

/** A socket that carries frames. Everything but [close] is called on the thread of the socket's loop. */
internal class FrameSocket(private val socket: EventLoopSocket) {
    private val input = SocketInput(socket)

    /** Address of the peer, for people. */
    val remoteAddress: String get() = socket.remoteAddress

    /** Reads the payload of one frame of at most [maxBytes]; throws when the connection ends. */
    suspend fun read(maxBytes: Int): Result<ByteArray, FrameError> {
        input.releaseBuffer()
        val sizeBytes = ByteBuffer.wrap(readFully(LENGTH_FIELD_BYTES)).getInt()
        if (sizeBytes !in 0..maxBytes) return Err(FrameError.Oversized(sizeBytes))
        return Ok(readFully(sizeBytes))
    }

    private suspend fun readFully(sizeBytes: Int): ByteArray {
        val bytes = ByteArray(sizeBytes)
        var count = 0
        while (count < sizeBytes) count += input.read(bytes, count, sizeBytes - count)
        return bytes
    }

    /** Writes one frame with its length field; throws when the connection ends. */
    suspend fun write(frame: ByteArray) {
        socket.write(ByteBuffer.wrap(frame))
    }

    /** Ends the connection in the direction to the peer; the peer reads what was written before. */
    fun endOutput() {
        socket.shutdownOutput()
    }

    /** Ends the connection in both directions. */
    fun close() {
        socket.close()
    }
}

/** An open connection to [record]'s node whose handshake is done. */
internal class PeerConnection(
    val record: MemberRecord,
    val dialledBy: NodeId,
    val socket: FrameSocket,
    private val sameRegion: Boolean,
    private val bytes: TrafficBytes,
    nowMillis: Long,
) {
    val peer: NodeId get() = record.node

    /** Time of the last frame in either direction. */
    @Volatile
    var activeMillis: Long = nowMillis
        private set

    /** Time at which the oldest message was sent that an answer is due for, or `null`. */
    @Volatile
    var awaitingSinceMillis: Long? = null
        private set

    /** Completed once another connection has taken the place of this one. */
    val retired = Job()

    @Volatile
    private var job: Job? = null

    /** Why the connection was closed from this end, or `null`. */
    @Volatile
    var closeReason: CloseReason? = null
        private set

    /** Sets the coroutine that reads from the connection; closing cancels it. */
    fun servedBy(reader: Job) {
        job = reader
        if (closeReason != null) reader.cancel()
    }

    /** Stops sending messages; those that are on their way in both directions still arrive. */
    fun retire() {
        retired.complete()
    }

    /** Ends the connection. Any thread may call it; the first reason counts. */
    fun close(reason: CloseReason) {
        if (closeReason == null) closeReason = reason
        job?.cancel()
        socket.close()
    }

    /** Records a received payload. */
    fun received(payload: ByteArray, nowMillis: Long) {
        bytes.received(payload.size + LENGTH_FIELD_BYTES, sameRegion)
        awaitingSinceMillis = null
        activeMillis = nowMillis
    }

    /** Writes the encoded [frame] of [message]. */
    suspend fun write(message: PeerMessage, frame: ByteArray, nowMillis: Long) {
        if (message.expectsAnswer() && awaitingSinceMillis == null) awaitingSinceMillis = nowMillis
        socket.write(frame)
        bytes.sent(frame.size, sameRegion)
        activeMillis = nowMillis
    }
}

/** Tells whether a live receiver always answers the message. */
private fun PeerMessage.expectsAnswer(): Boolean =
    when (this) {
        is PeerMessage.Heartbeat, is PeerMessage.ConfigPush, is PeerMessage.QuarantineUpdate -> true

        is PeerMessage.MemberUpdate -> !isReply

        is PeerMessage.HeartbeatAck, is PeerMessage.ConfigAck, is PeerMessage.ConfigPull, is PeerMessage.MemberAck,
        is PeerMessage.SourceReport,
        is PeerMessage.MemberSummary, is PeerMessage.MemberPull,
        -> false
    }
