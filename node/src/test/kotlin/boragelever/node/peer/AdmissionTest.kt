package boragelever.node.peer

import boragelever.core.control.TokenBucket
import boragelever.core.control.tryTake
import boragelever.core.control.waitMillis
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import kotlin.random.Random

/** Guards against connection storms after a mass restart: unlimited accepts, or reconnects in lockstep. */
class AdmissionTest {
    @ParameterizedTest
    @CsvSource(
        "the burst is admitted immediately, 0 0 0,         0 0 0",
        "above the burst the rate applies,  0 0 0 0,       0 0 0 100",
        "tokens are refilled over time,     0 0 0 100,     0 0 0 0",
        "tokens are limited to the burst,   0 9000 9000 9000 9000, 0 0 0 0 100",
    )
    fun `a token bucket limits admissions to its burst and rate`(case: String, times: String, expectedWaits: String) {
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
    fun `reconnect delays are spread over a range that doubles up to a maximum`(failures: Int, maxDelayMillis: Long) {
        val random = Random(1)
        val delays = List(1_000) { reconnectDelayMillis(failures, random) }
        assertEquals(true, delays.all { it in 0..maxDelayMillis })
        // Full jitter: the delays reach the lowest and the highest tenth of the range.
        assertEquals(true, delays.min() <= maxDelayMillis / 10 && delays.max() >= maxDelayMillis * 9 / 10)
    }
}
