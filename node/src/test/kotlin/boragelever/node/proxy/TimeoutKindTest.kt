package boragelever.node.proxy

import boragelever.core.call.FailureKind
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource

/** Guards against healthy endpoints that are excluded as unreachable because an instance is slow. */
class TimeoutKindTest {
    @ParameterizedTest
    @CsvSource(
        "a short deadline expires at a busy instance, 250, false, true, SLOW",
        "a long attempt expires at a node that sends interim responses, 3000, true, true, SLOW",
        "a node sends no interim response, 1500, false, false, SILENT",
        "a node sends no interim response until the attempt expires, 900, false, true, SILENT",
        "a node freezes after an interim response, 2400, true, false, SILENT",
    )
    fun `a timeout distinguishes a slow instance from an unreachable node`(
        case: String,
        waitedMillis: Long,
        receivedInterim: Boolean,
        isExpired: Boolean,
        expected: FailureKind,
    ) {
        assertEquals(expected, timeoutKind(waitedMillis, receivedInterim, isExpired), case)
    }
}
