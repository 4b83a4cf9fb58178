package boragelever.wire

import boragelever.core.ConfigVersion
import boragelever.core.Digest
import boragelever.core.NodeId
import boragelever.core.config.ConfigId
import boragelever.core.control.PeerMessage
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Named.named
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.Arguments
import org.junit.jupiter.params.provider.Arguments.arguments
import org.junit.jupiter.params.provider.MethodSource
import org.junit.jupiter.params.provider.ValueSource
import kotlin.random.Random

/** Guards against frames that crash the receiver, and against changes that break adjacent program versions. */
class PeerFrameTest {
    @ParameterizedTest
    @MethodSource("frames")
    fun `a frame decodes to the expected message or error`(bytes: ByteArray, expected: Any) {
        val outcome = framePayload(bytes).flatMap { decodeFrame(it) }
        assertEquals(expected, outcome.get() ?: outcome.getError())
    }

    /** Frames that are cut, doubled, swapped or altered at random places, by fixed seeds. */
    @ParameterizedTest
    @ValueSource(ints = [1, 4, 64])
    fun `an altered frame never throws`(alterations: Int) {
        repeat(MUTATIONS) { seed ->
            val random = Random(seed)
            var bytes = known
            repeat(alterations) { bytes = mutate(bytes, random) }
            framePayload(bytes).flatMap { decodeFrame(it) }
            decodeFrame(bytes)
            decodeHello(bytes, key = null)
        }
    }

    private companion object {
        const val MUTATIONS = 20_000

        fun mutate(bytes: ByteArray, random: Random): ByteArray {
            if (bytes.isEmpty()) return bytes
            val index = random.nextInt(bytes.size)
            return when (random.nextInt(8)) {
                0 -> bytes.copyOf(index)
                1 -> bytes + bytes.copyOfRange(index, minOf(bytes.size, index + 16))
                2 -> bytes.copyOfRange(index, bytes.size) + bytes.copyOf(index)
                else -> bytes.copyOf().also { it[index] = random.nextInt().toByte() }
            }
        }

        val from = NodeId("khomas-a-1")
        val heartbeat = PeerMessage.Heartbeat(7, ConfigId(ConfigVersion(3), Digest("ab")), 42)
        val known = bytesOf(PeerFrame(PROTOCOL_VERSION, from, heartbeat))

        @JvmStatic
        fun frames(): List<Arguments> =
            listOf(
                case("same version", known, knownFrame(PROTOCOL_VERSION)),
                case("older version", bytesOf(frame(PROTOCOL_VERSION - 1)), knownFrame(PROTOCOL_VERSION - 1)),
                case("newer version", bytesOf(frame(PROTOCOL_VERSION + 1)), knownFrame(PROTOCOL_VERSION + 1)),
                case("newer version with an added field", newer("hb", addedField()), knownFrame(2)),
                case("newer version with an added kind", newer("new", byteArrayOf()), unknownKind("new")),
                case("newer version with an undecodable kind", newer("hb", byteArrayOf(1)), unknownKind("hb")),
                case(
                    "same version with an unknown kind",
                    newer("new", byteArrayOf(), 1),
                    malformed("unknown message kind 'new'"),
                ),
                case(
                    "same version with a malformed message",
                    newer("hb", byteArrayOf(1), 1),
                    malformed("invalid message of kind 'hb'"),
                ),
                case("payload that is not CBOR", byteArrayOf(0, 0, 0, 2, -1, -1), malformed("payload is not a frame")),
                case("empty payload", byteArrayOf(0, 0, 0, 0), malformed("payload is not a frame")),
                case("incomplete length field", byteArrayOf(0, 0), FrameError.Truncated(4, 2)),
                case("truncated", known.copyOf(known.size - 1), FrameError.Truncated(known.size - 4, known.size - 5)),
                case("oversized", byteArrayOf(0, 64, 0, 1), FrameError.Oversized(MAX_FRAME_BYTES + 1)),
                case("negative length", byteArrayOf(-1, -1, -1, -1), FrameError.Oversized(-1)),
            )

        fun case(name: String, bytes: ByteArray, expected: Any): Arguments =
            arguments(named(name, bytes), expected)

        fun frame(version: Int) = PeerFrame(version, from, heartbeat)

        fun knownFrame(version: Int) = DecodedFrame.Known(frame(version))

        fun unknownKind(kind: String) = DecodedFrame.UnknownKind(2, from, kind)

        fun malformed(reason: String) = FrameError.Malformed(reason)

        fun bytesOf(frame: PeerFrame): ByteArray = encodeFrame(frame).get()!!

        @OptIn(ExperimentalSerializationApi::class)
        fun newer(kind: String, message: ByteArray, version: Int = 2): ByteArray =
            withLengthField(
                cbor.encodeToByteArray(NewerFrame.serializer(), NewerFrame(version, from, kind, message, "x")),
            ).get()!!

        @OptIn(ExperimentalSerializationApi::class)
        fun addedField(): ByteArray =
            cbor.encodeToByteArray(
                NewerHeartbeat.serializer(),
                NewerHeartbeat(heartbeat.number, listOf(1), heartbeat.config, heartbeat.membersDigest),
            )
    }

    @Serializable
    @OptIn(ExperimentalSerializationApi::class)
    private class NewerFrame(
        val v: Int,
        val f: NodeId,
        val k: String,
        @ByteString val m: ByteArray,
        @SerialName("added") val added: String,
    )

    @Serializable
    private class NewerHeartbeat(
        @SerialName("n") val number: Long,
        @SerialName("added") val added: List<Int>,
        @SerialName("c") val config: ConfigId?,
        @SerialName("m") val membersDigest: Long,
    )
}
