package boragelever.node.peer

import boragelever.core.control.MemberRecord
import boragelever.wire.ConnectionEnd
import boragelever.wire.FrameError
import boragelever.wire.HandshakeTranscript
import boragelever.wire.LENGTH_FIELD_BYTES
import boragelever.wire.NONCE_BYTES
import boragelever.wire.SharedKey
import boragelever.wire.createHello
import boragelever.wire.decodeHello
import boragelever.wire.encodeHello
import boragelever.wire.encodeProof
import boragelever.wire.verifyProof
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.map
import java.security.SecureRandom

/** Largest frame before the peer is known, so that an unknown sender cannot make the node allocate much. */
private const val MAX_HANDSHAKE_FRAME_BYTES = 64 * 1024

/** What a finished handshake tells. */
internal class HandshakeOutcome(val record: MemberRecord, val sentBytes: Int, val receivedBytes: Int)

/** Exchanges hellos, and proofs if there is a [key], and returns what the peer said of itself. */
internal suspend fun FrameSocket.shakeHands(
    own: MemberRecord,
    end: ConnectionEnd,
    key: SharedKey?,
): Result<HandshakeOutcome, FrameError> {
    val nonce = ByteArray(NONCE_BYTES).also(nonces::nextBytes)
    val ownHello = encodeHello(createHello(own, nonce, key)).getOrElse { return Err(it) }
    write(ownHello)
    val peerPayload = read(MAX_HANDSHAKE_FRAME_BYTES).getOrElse { return Err(it) }
    val peerHello = decodeHello(peerPayload, key).getOrElse { return Err(it) }
    val ownPayload = ownHello.copyOfRange(LENGTH_FIELD_BYTES, ownHello.size)
    val hellos =
        when (end) {
            ConnectionEnd.DIALLER -> HandshakeTranscript(ownPayload, peerPayload)
            ConnectionEnd.ACCEPTOR -> HandshakeTranscript(peerPayload, ownPayload)
        }
    val proofBytes = if (key == null) Ok(0) else exchangeProofs(key, end, hellos)
    return proofBytes.map {
        HandshakeOutcome(peerHello.record, ownHello.size + it, peerPayload.size + LENGTH_FIELD_BYTES + it)
    }
}

/** Proves to the peer that this node holds [key] and checks the peer's proof; returns the size of one proof frame. */
private suspend fun FrameSocket.exchangeProofs(
    key: SharedKey,
    end: ConnectionEnd,
    hellos: HandshakeTranscript,
): Result<Int, FrameError> {
    val proof = encodeProof(key, end, hellos).getOrElse { return Err(it) }
    write(proof)
    val peerProof = read(MAX_HANDSHAKE_FRAME_BYTES).getOrElse { return Err(it) }
    return verifyProof(peerProof, key, end.other(), hellos).map { proof.size }
}

private fun ConnectionEnd.other(): ConnectionEnd =
    when (this) {
        ConnectionEnd.DIALLER -> ConnectionEnd.ACCEPTOR
        ConnectionEnd.ACCEPTOR -> ConnectionEnd.DIALLER
    }

private val nonces = SecureRandom()
