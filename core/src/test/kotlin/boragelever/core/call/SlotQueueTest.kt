package boragelever.core.call

import boragelever.core.config.QueueConfig
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource

/** Guards against calls that wait behind less urgent ones, and against calls that wait only to be refused later. */
class SlotQueueTest {
    /** `name:priority` is a call and `-` the release of a slot. There is one slot, and two calls may wait. */
    @ParameterizedTest
    @CsvSource(
        "the first call gets the slot,       a:2,                 a granted",
        "later calls wait in their order,    a:2 b:2 c:2 - -,     a granted b queued c queued b c",
        "an urgent call goes first,          a:2 b:2 c:0 - -,     a granted b queued c queued c b",
        "a full queue sheds calls,           a:2 b:2 c:2 d:2,     a granted b queued c queued d shed",
        "an urgent call displaces the last,  a:2 b:1 c:2 d:1 - -, a granted b queued c queued d displaces c b d",
        "running calls are not displaced,    a:2 b:0 c:0 d:0,     a granted b queued c queued d shed",
    )
    fun `calls get slots by priority`(name: String, calls: String, expected: String) {
        var queue = SlotQueue<String>(slots = 1)
        val events = calls.split(' ').mapNotNull { step ->
            if (step == "-") {
                val (next, waiter) = queue.release()
                queue = next
                waiter
            } else {
                val (call, priority) = step.split(':')
                val (next, decision) = queue.request(call, maxWaiting = 2, priority.toInt())
                queue = next
                "$call " + when (decision) {
                    SlotDecision.Granted -> "granted"
                    SlotDecision.Queued -> "queued"
                    SlotDecision.Shed -> "shed"
                    is SlotDecision.Displaced -> "displaces ${decision.waiter}"
                }
            }
        }
        assertEquals(expected, events.joinToString(" "), name)
    }

    @ParameterizedTest
    @CsvSource("0, 16", "100, 9", "200, 4", "1000, 0", "10, 16")
    fun `the queue holds no more calls than can get a slot in time`(meanHoldMillis: Double, expected: Int) {
        assertEquals(expected, maxQueueLength(QueueConfig(maxWaiting = 16, maxWaitMillis = 100), 9, meanHoldMillis))
    }
}
