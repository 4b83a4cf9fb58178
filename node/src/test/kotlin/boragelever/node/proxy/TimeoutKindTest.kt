package boragelever.node.proxy

import boragelever.core.call.FailureKind
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource

/** Guards against sound endpoints that are left out as unreachable because an instance is slow. */
class TimeoutKindTest {
    @ParameterizedTest
    @CsvSource(
        "a short deadline passes at a busy instance, 250, false, true, SLOW",
        "a long attempt ends at a node that shows life, 3000, true, true, SLOW",
        "a node shows no life, 1500, false, false, SILENT",
        "a node shows no life until the attempt ends, 900, false, true, SILENT",
        "a node freezes after it has shown life, 2400, true, false, SILENT",
    )
    fun `a timeout tells whether the node may be alive`(
        case: String,
        waitedMillis: Long,
        receivedInterim: Boolean,
        isExpired: Boolean,
        expected: FailureKind,
    ) {
        assertEquals(expected, timeoutKind(waitedMillis, receivedInterim, isExpired), case)
    }
}
