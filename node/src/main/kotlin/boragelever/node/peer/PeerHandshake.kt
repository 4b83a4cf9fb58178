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

/** Maximum frame size during the handshake; bounds the memory that an unauthenticated peer can allocate. */
private const val MAX_HANDSHAKE_FRAME_BYTES = 64 * 1024

/** Record of the peer and traffic of a successful handshake. */
internal class HandshakeResult(val record: MemberRecord, val sentBytes: Int, val receivedBytes: Int)

/** Performs the handshake: exchanges hellos, and proofs of the shared key if [key] is set. */
internal suspend fun FrameSocket.performHandshake(
    localRecord: MemberRecord,
    end: ConnectionEnd,
    key: SharedKey?,
): Result<HandshakeResult, FrameError> {
    val nonce = ByteArray(NONCE_BYTES).also(nonceGenerator::nextBytes)
    val localHello = encodeHello(createHello(localRecord, nonce, key)).getOrElse { return Err(it) }
    write(localHello)
    val peerPayload = read(MAX_HANDSHAKE_FRAME_BYTES).getOrElse { return Err(it) }
    val peerHello = decodeHello(peerPayload, key).getOrElse { return Err(it) }
    val localPayload = localHello.copyOfRange(LENGTH_FIELD_BYTES, localHello.size)
    val transcript =
        when (end) {
            ConnectionEnd.DIALLER -> HandshakeTranscript(localPayload, peerPayload)
            ConnectionEnd.ACCEPTOR -> HandshakeTranscript(peerPayload, localPayload)
        }
    val proofBytes = if (key == null) Ok(0) else exchangeProofs(key, end, transcript)
    return proofBytes.map {
        HandshakeResult(peerHello.record, localHello.size + it, peerPayload.size + LENGTH_FIELD_BYTES + it)
    }
}

/** Proves to the peer that this node holds [key] and verifies the peer's proof; returns the size of one proof frame. */
private suspend fun FrameSocket.exchangeProofs(
    key: SharedKey,
    end: ConnectionEnd,
    transcript: HandshakeTranscript,
): Result<Int, FrameError> {
    val proof = encodeProof(key, end, transcript).getOrElse { return Err(it) }
    write(proof)
    val peerProof = read(MAX_HANDSHAKE_FRAME_BYTES).getOrElse { return Err(it) }
    return verifyProof(peerProof, key, end.other(), transcript).map { proof.size }
}

private fun ConnectionEnd.other(): ConnectionEnd =
    when (this) {
        ConnectionEnd.DIALLER -> ConnectionEnd.ACCEPTOR
        ConnectionEnd.ACCEPTOR -> ConnectionEnd.DIALLER
    }

private val nonceGenerator = SecureRandom()
