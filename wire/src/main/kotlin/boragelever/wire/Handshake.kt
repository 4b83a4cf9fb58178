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

/** Length of the random number in a hello, in bytes. */
public const val NONCE_BYTES: Int = 16

/** Upstreams beyond this number are left out of a hello; the member exchange carries them. */
private const val MAX_HELLO_UPSTREAMS = 16

private const val MAC_ALGORITHM = "HmacSHA256"

/** First frame on a connection in each direction: who the sender is, and a challenge for the receiver. */
@Serializable
@OptIn(ExperimentalSerializationApi::class)
public class Hello(
    @SerialName("v") public val protocolVersion: Int,
    @SerialName("r") public val record: MemberRecord,
    @ByteString
    @SerialName("n")
    public val nonce: ByteArray,
    /** True if the sender holds a shared key and expects a proof. */
    @SerialName("a") public val authenticates: Boolean = false,
)

/** Second frame on a connection in each direction if a shared key is set: shows that the sender holds the key. */
@Serializable
@OptIn(ExperimentalSerializationApi::class)
private class HelloProof(
    @ByteString
    @SerialName("p")
    val mac: ByteArray,
)

/** Key that all nodes of a mesh share. */
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

/** End of a connection. A proof names the end that made it, so that it cannot be sent back to its maker. */
public enum class ConnectionEnd {
    DIALLER,
    ACCEPTOR,
}

/** Makes the hello of a node from its [record] and a fresh random [nonce]. */
public fun createHello(record: MemberRecord, nonce: ByteArray, key: SharedKey?): Hello {
    val sent = if (record.upstreams.size > MAX_HELLO_UPSTREAMS) record.copy(upstreams = emptyList()) else record
    return Hello(PROTOCOL_VERSION, sent, nonce, authenticates = key != null)
}

/** Encodes [hello] with its length field. */
@OptIn(ExperimentalSerializationApi::class)
public fun encodeHello(hello: Hello): Result<ByteArray, FrameError> =
    withLengthField(cbor.encodeToByteArray(Hello.serializer(), hello))

/** Decodes the payload of a hello frame and checks that the versions are adjacent and that both sides use a key. */
public fun decodeHello(payload: ByteArray, key: SharedKey?): Result<Hello, FrameError> {
    val hello = decodeOrNull(Hello.serializer(), payload) ?: return Err(FrameError.Malformed("no hello"))
    return when {
        hello.protocolVersion !in PROTOCOL_VERSION - 1..PROTOCOL_VERSION + 1 ->
            Err(FrameError.VersionUnsupported(hello.protocolVersion))
        hello.nonce.size != NONCE_BYTES -> Err(FrameError.Malformed("nonce of ${hello.nonce.size} bytes"))
        hello.authenticates != (key != null) -> Err(FrameError.Unauthenticated("only one side has a shared key"))
        else -> Ok(hello)
    }
}

/** Encodes the proof of the node at [end] over both hello payloads, with its length field. */
@OptIn(ExperimentalSerializationApi::class)
public fun encodeProof(key: SharedKey, end: ConnectionEnd, hellos: HandshakeTranscript): Result<ByteArray, FrameError> =
    withLengthField(cbor.encodeToByteArray(HelloProof.serializer(), HelloProof(key.proof(end, hellos))))

/** Checks the payload of the proof frame that the node at [end] sent. */
public fun verifyProof(
    payload: ByteArray,
    key: SharedKey,
    end: ConnectionEnd,
    hellos: HandshakeTranscript,
): Result<Unit, FrameError> {
    val proof = decodeOrNull(HelloProof.serializer(), payload) ?: return Err(FrameError.Malformed("no proof"))
    return if (MessageDigest.isEqual(proof.mac, key.proof(end, hellos))) {
        Ok(Unit)
    } else {
        Err(FrameError.Unauthenticated("the proof does not match"))
    }
}

/** Payloads of both hello frames of a connection as they were sent; they hold both nonces and both identities. */
public class HandshakeTranscript(internal val dialler: ByteArray, internal val acceptor: ByteArray)

private fun SharedKey.proof(end: ConnectionEnd, hellos: HandshakeTranscript): ByteArray =
    // Digests have a fixed length, so that the parts cannot run into each other.
    mac(listOf(end.name.encodeToByteArray(), sha256Of(hellos.dialler), sha256Of(hellos.acceptor)))

private fun sha256Of(bytes: ByteArray): ByteArray = MessageDigest.getInstance("SHA-256").digest(bytes)
