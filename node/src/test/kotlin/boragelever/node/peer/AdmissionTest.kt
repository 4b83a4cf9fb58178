package boragelever.node.peer

import boragelever.core.control.TokenBucket
import boragelever.core.control.tryTake
import boragelever.core.control.waitMillis
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import kotlin.random.Random

/** Guards against reconnect storms after a mass restart. */
class AdmissionTest {
    @ParameterizedTest
    @CsvSource(
        "the burst is admitted at once,     0 0 0,         0 0 0",
        "beyond the burst the rate counts,  0 0 0 0,       0 0 0 100",
        "a token returns with time,         0 0 0 100,     0 0 0 0",
        "tokens do not pile up,             0 9000 9000 9000 9000, 0 0 0 0 100",
    )
    fun `a token bucket bounds admissions`(case: String, times: String, expectedWaits: String) {
        var bucket = TokenBucket(perSecond = 10.0, burst = 3.0)
        val waits = times.split(' ').map { time ->
            val nowMillis = time.toLong()
            val wait = bucket.waitMillis(nowMillis)
            bucket = bucket.tryTake(nowMillis) ?: bucket
            wait
        }
        assertEquals(expectedWaits, waits.joinToString(" "), case)
    }

    @ParameterizedTest
    @CsvSource("0, 0", "1, 100", "2, 200", "6, 3200", "7, 5000", "1000, 5000")
    fun `reconnect delays spread over a bounded, doubling range`(failures: Int, ceilingMillis: Long) {
        val random = Random(1)
        val delays = List(1_000) { reconnectDelayMillis(failures, random) }
        assertEquals(true, delays.all { it in 0..ceilingMillis })
        // Full jitter: the delays fill the range down to its lower and up to its upper tenth.
        assertEquals(true, delays.min() <= ceilingMillis / 10 && delays.max() >= ceilingMillis * 9 / 10)
    }
}
