package boragelever.wire

import boragelever.core.control.MemberRecord
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import java.security.MessageDigest
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec

/** Length of the nonce in a hello, in bytes. */
public const val NONCE_BYTES: Int = 16

/** Maximum number of upstreams in a hello; a longer list is omitted and sent by the member exchange. */
private const val MAX_HELLO_UPSTREAMS = 16

private const val MAC_ALGORITHM = "HmacSHA256"

/** First frame on a connection in each direction: the sender's record, and a nonce for the receiver's proof. */
@Serializable
@OptIn(ExperimentalSerializationApi::class)
public class Hello(
    @SerialName("v") public val protocolVersion: Int,
    @SerialName("r") public val record: MemberRecord,
    @ByteString
    @SerialName("n")
    public val nonce: ByteArray,
    /** True if the sender has a shared key and expects a [HelloProof]. */
    @SerialName("a") public val authenticates: Boolean = false,
)

/** Second frame on a connection in each direction if a shared key is set: proves that the sender has the key. */
@Serializable
@OptIn(ExperimentalSerializationApi::class)
private class HelloProof(
    @ByteString
    @SerialName("p")
    val mac: ByteArray,
)

/** Secret key that all nodes of a mesh share; it authenticates peers during the handshake. */
public class SharedKey(secret: ByteArray) {
    private val secret: ByteArray = secret.copyOf()

    internal fun mac(parts: List<ByteArray>): ByteArray {
        val mac = Mac.getInstance(MAC_ALGORITHM)
        mac.init(SecretKeySpec(secret, MAC_ALGORITHM))
        parts.forEach(mac::update)
        return mac.doFinal()
    }

    override fun toString(): String = "SharedKey(hidden)"
}

/** End of a connection. A proof includes the end that created it, so that it cannot be reflected to that end. */
public enum class ConnectionEnd {
    DIALLER,
    ACCEPTOR,
}

/** Creates the hello of a node from its [record] and a [nonce], which must be random and new for each connection. */
public fun createHello(record: MemberRecord, nonce: ByteArray, key: SharedKey?): Hello {
    val sentRecord = if (record.upstreams.size > MAX_HELLO_UPSTREAMS) record.copy(upstreams = emptyList()) else record
    return Hello(PROTOCOL_VERSION, sentRecord, nonce, authenticates = key != null)
}

/** Encodes [hello] with its length field. Fails with [FrameError.Oversized] if it is too large to send. */
@OptIn(ExperimentalSerializationApi::class)
public fun encodeHello(hello: Hello): Result<ByteArray, FrameError> =
    withLengthField(cbor.encodeToByteArray(Hello.serializer(), hello))

/** Decodes the payload of a hello; fails unless the versions are adjacent and both nodes or neither have a key. */
public fun decodeHello(payload: ByteArray, key: SharedKey?): Result<Hello, FrameError> {
    val hello = decodeOrNull(Hello.serializer(), payload) ?: return Err(FrameError.Malformed("payload is not a hello"))
    return when {
        hello.protocolVersion !in PROTOCOL_VERSION - 1..PROTOCOL_VERSION + 1 ->
            Err(FrameError.VersionUnsupported(hello.protocolVersion))
        hello.nonce.size != NONCE_BYTES -> Err(FrameError.Malformed("hello with a nonce of ${hello.nonce.size} bytes"))
        hello.authenticates != (key != null) -> Err(FrameError.Unauthenticated("only one node has a shared key"))
        else -> Ok(hello)
    }
}

/** Encodes the proof of the node at [end] for the handshake [transcript], with its length field. */
@OptIn(ExperimentalSerializationApi::class)
public fun encodeProof(
    key: SharedKey,
    end: ConnectionEnd,
    transcript: HandshakeTranscript,
): Result<ByteArray, FrameError> =
    withLengthField(cbor.encodeToByteArray(HelloProof.serializer(), HelloProof(key.proof(end, transcript))))

/** Verifies the payload of the proof frame that the node at [end] sent; the comparison takes constant time. */
public fun verifyProof(
    payload: ByteArray,
    key: SharedKey,
    end: ConnectionEnd,
    transcript: HandshakeTranscript,
): Result<Unit, FrameError> {
    val proof =
        decodeOrNull(HelloProof.serializer(), payload)
            ?: return Err(FrameError.Malformed("payload is not a handshake proof"))
    return if (MessageDigest.isEqual(proof.mac, key.proof(end, transcript))) {
        Ok(Unit)
    } else {
        Err(FrameError.Unauthenticated("the handshake proof does not match"))
    }
}

/** Payloads of both hello frames of a connection as they were sent; they contain both nonces and both identities. */
public class HandshakeTranscript(internal val dialler: ByteArray, internal val acceptor: ByteArray)

private fun SharedKey.proof(end: ConnectionEnd, transcript: HandshakeTranscript): ByteArray =
    // Digests have a fixed length, so that the boundaries between the parts are unambiguous.
    mac(listOf(end.name.encodeToByteArray(), sha256Of(transcript.dialler), sha256Of(transcript.acceptor)))

private fun sha256Of(bytes: ByteArray): ByteArray = MessageDigest.getInstance("SHA-256").digest(bytes)
