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

/** Guards against nodes of another mesh, and against replays, that join with a hello of their own. */
class HandshakeTest {
    @ParameterizedTest
    @CsvSource(
        "same key,              k1,  k1,  1, DIALLER,  false, ",
        "no keys,               ,    ,    1, DIALLER,  false, ",
        "other key,             k1,  k2,  1, DIALLER,  false, Unauthenticated",
        "key on one side,       k1,  ,    1, DIALLER,  false, Unauthenticated",
        "proof sent back,       k1,  k1,  1, ACCEPTOR, false, Unauthenticated",
        "replayed other hello,  k1,  k1,  1, DIALLER,  true,  Unauthenticated",
        "older version,         k1,  k1,  0, DIALLER,  false, ",
        "newer version,         k1,  k1,  2, DIALLER,  false, ",
        "distant version,       k1,  k1,  3, DIALLER,  false, VersionUnsupported",
    )
    fun `a hello is accepted only from an adjacent version with the same key`(
        case: String,
        diallerKey: String?,
        acceptorKey: String?,
        version: Int,
        proofEnd: ConnectionEnd,
        replay: Boolean,
        expected: String?,
    ) {
        val theirs = diallerKey?.let { SharedKey(it.encodeToByteArray()) }
        val own = acceptorKey?.let { SharedKey(it.encodeToByteArray()) }
        val sent = Hello(version, record("a"), ByteArray(NONCE_BYTES) { 1 }, theirs != null)
        val hello = payloadOf(encodeHello(sent).get()!!)
        val answer = payloadOf(encodeHello(createHello(record("b"), ByteArray(NONCE_BYTES) { 2 }, own)).get()!!)
        val older = payloadOf(encodeHello(createHello(record("b"), ByteArray(NONCE_BYTES) { 3 }, own)).get()!!)

        val outcome =
            decodeHello(hello, own).flatMap { accepted ->
                if (theirs == null || own == null) {
                    Ok(accepted.record.node)
                } else {
                    val proof = encodeProof(theirs, proofEnd, HandshakeTranscript(hello, if (replay) older else answer)).get()!!
                    verifyProof(payloadOf(proof), own, ConnectionEnd.DIALLER, HandshakeTranscript(hello, answer))
                        .map { accepted.record.node }
                }
            }

        val error: KClass<out FrameError>? = outcome.getError()?.let { it::class }
        assertEquals(expected, error?.simpleName, case)
        assertEquals(if (expected == null) NodeId("a") else null, outcome.get(), case)
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
