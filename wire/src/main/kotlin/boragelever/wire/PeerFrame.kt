package boragelever.wire

import boragelever.core.NodeId
import boragelever.core.control.PeerMessage
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.ByteString
import kotlinx.serialization.cbor.Cbor

/** Version of the protocol between nodes that this program uses. */
public const val PROTOCOL_VERSION: Int = 1

/** Maximum length of a frame without its length field, in bytes. */
public const val MAX_FRAME_BYTES: Int = 4 * 1024 * 1024

/** Size of the big-endian length field that precedes each frame, in bytes. */
public const val LENGTH_FIELD_BYTES: Int = 4

/** A message with its sender and the sender's protocol version. */
public data class PeerFrame(
    public val protocolVersion: Int,
    public val from: NodeId,
    public val message: PeerMessage,
)

/** Result of decoding a well-formed frame. */
public sealed interface DecodedFrame {
    /** The frame contains a message that this program can decode. */
    public data class Known(public val frame: PeerFrame) : DecodedFrame

    /** The frame contains a message that only a newer program version can decode; the receiver logs and skips it. */
    public data class UnknownKind(
        public val protocolVersion: Int,
        public val from: NodeId,
        public val kind: String,
    ) : DecodedFrame
}

/**
 * Encoding of a frame on the wire.
 *
 * The message is a separate byte string next to its kind, so that a receiver can distinguish an unknown kind from a
 * malformed message.
 */
@Serializable
@OptIn(ExperimentalSerializationApi::class)
private class WireFrame(
    @SerialName("v") val protocolVersion: Int,
    @SerialName("f") val from: NodeId,
    @SerialName("k") val kind: String,
    @ByteString
    @SerialName("m")
    val message: ByteArray,
)

@OptIn(ExperimentalSerializationApi::class)
internal val cbor: Cbor =
    Cbor {
        ignoreUnknownKeys = true
        encodeDefaults = false
        useDefiniteLengthEncoding = true
    }

/** Encodes [frame] with its length field. Fails with [FrameError.Oversized] if the message is too large to send. */
@OptIn(ExperimentalSerializationApi::class)
public fun encodeFrame(frame: PeerFrame): Result<ByteArray, FrameError> {
    val kind = MessageKind.forMessage(frame.message)
    val message = cbor.encodeToByteArray(kind.messageSerializer(), frame.message)
    val wire = WireFrame(frame.protocolVersion, frame.from, kind.wireName, message)
    return withLengthField(cbor.encodeToByteArray(WireFrame.serializer(), wire))
}

/** Decodes the [payload] of a frame, which excludes the length field. Fails with [FrameError.Malformed]. */
@OptIn(ExperimentalSerializationApi::class)
public fun decodeFrame(payload: ByteArray): Result<DecodedFrame, FrameError> {
    val wire =
        decodeOrNull(WireFrame.serializer(), payload) ?: return Err(FrameError.Malformed("payload is not a frame"))
    val kind = MessageKind.forWireName(wire.kind)
    val message = kind?.let { decodeOrNull(it.serializer, wire.message) }
    return when {
        message != null -> Ok(DecodedFrame.Known(PeerFrame(wire.protocolVersion, wire.from, message)))
        // A newer version may add kinds, and enum values within known kinds.
        wire.protocolVersion > PROTOCOL_VERSION ->
            Ok(DecodedFrame.UnknownKind(wire.protocolVersion, wire.from, wire.kind))
        kind == null -> Err(FrameError.Malformed("unknown message kind '${wire.kind}'"))
        else -> Err(FrameError.Malformed("invalid message of kind '${wire.kind}'"))
    }
}

/** Returns [sizeBytes], the value of a length field, or [FrameError.Oversized] if it is out of bounds. */
public fun checkFrameLength(sizeBytes: Int): Result<Int, FrameError> =
    if (sizeBytes in 0..MAX_FRAME_BYTES) Ok(sizeBytes) else Err(FrameError.Oversized(sizeBytes))

/** Returns the payload of the frame at the start of [bytes], or an error if it is oversized or truncated. */
public fun framePayload(bytes: ByteArray): Result<ByteArray, FrameError> {
    if (bytes.size < LENGTH_FIELD_BYTES) return Err(FrameError.Truncated(LENGTH_FIELD_BYTES, bytes.size))
    val length = bytes.take(LENGTH_FIELD_BYTES).fold(0) { sum, byte -> sum shl 8 or (byte.toInt() and 0xff) }
    val found = bytes.size - LENGTH_FIELD_BYTES
    return when {
        length !in 0..MAX_FRAME_BYTES -> Err(FrameError.Oversized(length))
        found < length -> Err(FrameError.Truncated(length, found))
        else -> Ok(bytes.copyOfRange(LENGTH_FIELD_BYTES, LENGTH_FIELD_BYTES + length))
    }
}

internal fun withLengthField(payload: ByteArray): Result<ByteArray, FrameError> {
    if (payload.size > MAX_FRAME_BYTES) return Err(FrameError.Oversized(payload.size))
    val framed = ByteArray(LENGTH_FIELD_BYTES + payload.size)
    repeat(LENGTH_FIELD_BYTES) { index -> framed[index] = (payload.size ushr (24 - 8 * index)).toByte() }
    payload.copyInto(framed, LENGTH_FIELD_BYTES)
    return Ok(framed)
}

/** Decodes [bytes], or returns `null` if they are invalid; the decoder reports this by several exception types. */
@OptIn(ExperimentalSerializationApi::class)
internal fun <T> decodeOrNull(serializer: KSerializer<T>, bytes: ByteArray): T? =
    try {
        cbor.decodeFromByteArray(serializer, bytes)
    } catch (e: SerializationException) {
        null
    } catch (e: IllegalArgumentException) {
        null
    } catch (e: IllegalStateException) {
        null
    } catch (e: IndexOutOfBoundsException) {
        null
    } catch (e: NegativeArraySizeException) {
        null
    }
