package boragelever.wire

import boragelever.core.Incarnation
import boragelever.core.NetworkAddress
import boragelever.core.NodeId
import boragelever.core.RegionName
import boragelever.core.ZoneName
import boragelever.core.control.MemberRecord
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.map
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import kotlin.reflect.KClass

/** Guards against nodes without the shared key that join the mesh, also by a reflected or replayed proof. */
class HandshakeTest {
    @ParameterizedTest
    @CsvSource(
        "same key,              k1,  k1,  1, DIALLER,  false, ",
        "no keys,               ,    ,    1, DIALLER,  false, ",
        "other key,             k1,  k2,  1, DIALLER,  false, Unauthenticated",
        "key on one side,       k1,  ,    1, DIALLER,  false, Unauthenticated",
        "reflected proof,       k1,  k1,  1, ACCEPTOR, false, Unauthenticated",
        "replayed proof,        k1,  k1,  1, DIALLER,  true,  Unauthenticated",
        "older version,         k1,  k1,  0, DIALLER,  false, ",
        "newer version,         k1,  k1,  2, DIALLER,  false, ",
        "distant version,       k1,  k1,  3, DIALLER,  false, VersionUnsupported",
    )
    fun `a handshake succeeds only between adjacent versions with the same key`(
        case: String,
        diallerKey: String?,
        acceptorKey: String?,
        version: Int,
        proofEnd: ConnectionEnd,
        replay: Boolean,
        expected: String?,
    ) {
        val diallerSecret = diallerKey?.let { SharedKey(it.encodeToByteArray()) }
        val acceptorSecret = acceptorKey?.let { SharedKey(it.encodeToByteArray()) }
        val diallerHello = Hello(version, record("a"), ByteArray(NONCE_BYTES) { 1 }, diallerSecret != null)
        val diallerPayload = payloadOf(encodeHello(diallerHello).get()!!)
        val acceptorPayload =
            payloadOf(encodeHello(createHello(record("b"), ByteArray(NONCE_BYTES) { 2 }, acceptorSecret)).get()!!)
        val replayedPayload =
            payloadOf(encodeHello(createHello(record("b"), ByteArray(NONCE_BYTES) { 3 }, acceptorSecret)).get()!!)

        val result =
            decodeHello(diallerPayload, acceptorSecret).flatMap { accepted ->
                if (diallerSecret == null || acceptorSecret == null) {
                    Ok(accepted.record.node)
                } else {
                    val proof = encodeProof(
                        diallerSecret,
                        proofEnd,
                        HandshakeTranscript(diallerPayload, if (replay) replayedPayload else acceptorPayload),
                    ).get()!!
                    verifyProof(
                        payloadOf(proof),
                        acceptorSecret,
                        ConnectionEnd.DIALLER,
                        HandshakeTranscript(diallerPayload, acceptorPayload),
                    )
                        .map { accepted.record.node }
                }
            }

        val error: KClass<out FrameError>? = result.getError()?.let { it::class }
        assertEquals(expected, error?.simpleName, case)
        assertEquals(if (expected == null) NodeId("a") else null, result.get(), case)
    }

    private fun payloadOf(framed: ByteArray): ByteArray = framePayload(framed).get()!!

    private fun record(node: String) =
        MemberRecord(
            NodeId(node),
            Incarnation(1),
            0,
            RegionName("khomas"),
            ZoneName("z1"),
            NetworkAddress("127.0.0.1:1"),
            NetworkAddress("127.0.0.1:2"),
        )
}
