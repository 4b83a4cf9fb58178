package boragelever.core.call

import boragelever.core.call.CallScript.EVENTS
import boragelever.core.call.CallScript.EXPIRED
import boragelever.core.call.CallScript.GET
import boragelever.core.call.CallScript.HOP
import boragelever.core.call.CallScript.HURRIED
import boragelever.core.call.CallScript.KEYED
import boragelever.core.call.CallScript.POST
import boragelever.core.call.CallScript.SPENT
import boragelever.core.call.CallScript.UPLOAD
import boragelever.core.call.CallScript.describe
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

/**
 * Guards against calls that run twice, are lost, or are reported with the wrong outcome. The effects of all events of a
 * case are compared in order.
 */
class CallReducerTest {
    /** [events] are names of [EVENTS]; [effects] are formatted by [describe] and separated by `, `. */
    internal class Case(val name: String, val state: CallState, val events: String, val effects: String) {
        override fun toString() = name
    }

    @ParameterizedTest
    @MethodSource("cases")
    internal fun `events of a call have the expected effects`(case: Case) {
        var state = case.state
        val effects = case.events.split(' ').flatMap { event ->
            val transition = reduceCall(state, EVENTS.getValue(event))
            state = transition.state
            transition.effects.filter { it !is CallEffect.SetDeadline }.map { describe(it) }
        }
        assertEquals(case.effects, effects.joinToString())
    }

    private companion object {
        /** Abbreviations for the effects that many cases start with. */
        val PREFIXES = listOf(
            "@RESUMED" to "@FORWARDED, select -a with token, send b left 1 from 4",
            "@FORWARDED" to "@SENT, forward 1",
            "@SENT" to "select, send a left 3",
            "@DISPATCHED" to "AcquireSlot, send upstream left 1",
        )
        val STATES: Map<String, CallState> = mapOf(
            "GET" to GET,
            "SPENT" to SPENT,
            "EXPIRED" to EXPIRED,
            "HURRIED" to HURRIED,
            "POST" to POST,
            "KEYED" to KEYED,
            "UPLOAD" to UPLOAD,
            "HOP" to HOP,
        )

        /** One case per line: name, state, events, effects. A line that ends with `|` continues on the next line. */
        @JvmStatic
        fun cases(): List<Case> =
            TABLE.replace(Regex("[|]\\n +"), "| ").trim().lines().map { line ->
                val cells = line.split('|').map { it.trim() }
                val effects = PREFIXES.fold(cells[3]) { text, (short, long) -> text.replace(short, long) }
                Case(cells[0], STATES.getValue(cells[1]), cells[2], effects)
            }

        const val TABLE = """
            a node without configuration refuses calls | GET | arrived-unconfigured | 503 not-run no-configuration
            a starting node waits for its configuration | GET | arrived-at-start arrived | AwaitRouting, select
            a starting node waits until it knows the instances |
              GET | arrived-at-start arrived-without-endpoints arrived | AwaitRouting, AwaitRouting, select
            the wait at a node that gets no configuration is limited |
              GET | arrived-at-start arrived-still-unconfigured | AwaitRouting, 503 not-run no-configuration
            a node that started long ago refuses calls without endpoint |
              GET | arrived-late-without-endpoints | 503 not-run no-endpoint
            a stopping node refuses calls | GET | arrived-stopping | 503 not-run node-stopping
            a node at its limit of concurrent calls refuses calls | GET | arrived-at-limit | 503 not-run too-many-calls
            a path prefix matches only at a segment boundary | GET | arrived-unmatched | 404 not-run no-route
            a chain without remaining attempts is refused | SPENT | arrived | 503 not-run budget-spent
            a chain without remaining time is refused | EXPIRED | arrived | 504 not-run deadline
            a read is retried after its endpoint failed |
              GET | arrived a reset b | @SENT, select -a with token, send b left 1
            a booking is not retried if it may have run | POST | arrived a reset | @SENT, 502 unknown attempt-failed
            a booking that was not sent is retried | POST | arrived a unreachable b | @SENT, select -a, send b left 1
            a refusal by a non-serving instance costs no retry token | POST | arrived a not-serving | @SENT, select -a
            a retry after a node shed a call needs a token |
              POST | arrived a shed no-budget | @SENT, select -a, 503 not-run shed
            a call is refused after two nodes shed it |
              POST | arrived a shed b shed2 | @SENT, select -a, send b left 1, 503 not-run shed
            a retry after an instance shed a call needs a token |
              POST | arrived a upstream-shed no-budget | @SENT, select -a with token, 503 not-run upstream-shed
            a read that failed in an instance is retried on another one |
              GET | arrived a error b | @SENT, cancel 1, select -a with token, send b left 1
            a booking that failed in an instance is not retried | POST | arrived a error | @SENT, forward 1
            attempts at unreachable nodes are limited |
              GET | arrived-once a unreachable b unreachable2 a unreachable3 |
              select, send a left 1, select -a, send b left 1, select -a -b, send a left 1, 503 not-run unreachable
            a call shed by an instance counts as not run |
              HOP | arrived slot instance-sheds | @DISPATCHED, ReleaseSlot, 503 not-run upstream-shed
            a quarantined request is not retried | GET | arrived a quarantined | @SENT, 503 not-run quarantined
            attempts are limited | GET | arrived-once a reset | select, send a left 1, 502 unknown attempt-failed
            a call that an attempt may have run is never reported as not run |
              GET | arrived-twice a reset b shed2 no-budget |
              select, send a left 2, select -a with token, send b left 1, select -a -b with token, 502 unknown shed
            a streamed body is not sent again | UPLOAD | arrived a shed | @SENT, 503 not-run shed
            a hedged read forwards only one response |
              GET | arrived-hedged a hedge b response2 response |
              @SENT, SetHedgeTimer, select -a with token, send b left 1, cancel 1, forward 2
            a booking is not hedged | POST | arrived-hedged a hedge | @SENT
            a keyed call acquires its claim before it is sent |
              KEYED | arrived acquired a response ended | AcquireClaim, @SENT, BufferResponse, forward 1, RecordResponse
            a client retry gets the recorded response | KEYED | arrived recorded | AcquireClaim, replay 201
            a client retry of a running call is refused |
              KEYED | arrived pending | AcquireClaim, 409 unknown claim-pending
            a key that was used for a different request is refused |
              KEYED | arrived other | AcquireClaim, 422 not-run key-reused
            a call is refused if its claim cannot be acquired |
              KEYED | arrived store-failed | AcquireClaim, 503 not-run store-failed
            the claim of a call that did not run is released |
              KEYED | arrived acquired none | AcquireClaim, select, ReleaseClaim, 503 not-run no-endpoint
            a claim is kept if the call may have run |
              KEYED | arrived acquired a reset | AcquireClaim, @SENT, 502 unknown attempt-failed
            a claim that is acquired after the deadline is released |
              KEYED | arrived late acquired | AcquireClaim, 504 not-run deadline, ReleaseClaim
            a claim that is acquired after the caller disconnected is released |
              KEYED | arrived disconnected acquired | AcquireClaim, ReleaseClaim
            the response to a disconnected caller is recorded |
              KEYED | arrived acquired a disconnected response ended |
              AcquireClaim, @SENT, BufferResponse, forward 1, RecordResponse
            the response to a disconnected caller is read for a bounded time |
              KEYED | arrived acquired a response disconnected much-later ended |
              AcquireClaim, @SENT, BufferResponse, forward 1, cancel 1
            the response to a disconnected caller is recorded until then |
              KEYED | arrived acquired a response disconnected later ended |
              AcquireClaim, @SENT, BufferResponse, forward 1, RecordResponse
            a claimed response beyond the total timeout is read for a bounded time |
              KEYED | arrived-limited acquired a response late later much-later-still ended |
              AcquireClaim, @SENT, BufferResponse, forward 1, AbortResponse, cancel 1
            a stalled download is resumed | GET | arrived a response stalled b remainder | @RESUMED, remainder 2
            a download is not resumed with another version |
              GET | arrived a response stalled b remainder-other-tag | @RESUMED, cancel 2, AbortResponse
            a download is not resumed with the wrong range |
              GET | arrived a response stalled b remainder-other-range | @RESUMED, cancel 2, AbortResponse
            a download is not resumed with a body of another length |
              GET | arrived a response stalled b remainder-longer | @RESUMED, cancel 2, AbortResponse
            a download is not resumed with a complete body |
              GET | arrived a response stalled b response2 | @RESUMED, cancel 2, AbortResponse
            a truncated body aborts the response |
              GET | arrived a response truncated no-budget | @FORWARDED, select -a with token, AbortResponse
            the response to a booking is not resumed | POST | arrived a response truncated | @FORWARDED, AbortResponse
            a body is not resumed for a disconnected caller |
              GET | arrived a response receiver-gone | @FORWARDED, AbortResponse
            a call of a disconnected caller is cancelled | GET | arrived a disconnected response | @SENT, cancel 1
            a call that is late after it was sent is reported as unknown |
              GET | arrived a late | @SENT, cancel 1, 504 unknown deadline
            a call that is late before it was sent is reported as not run |
              GET | arrived late | select, 504 not-run deadline
            a download in progress may exceed the deadline | GET | arrived a response late | @FORWARDED
            a download in progress is cut off at the total timeout |
              GET | arrived-limited a response late | @FORWARDED, cancel 1, AbortResponse
            a download in progress is not cut off before the total timeout |
              GET | arrived-limited a response early | @FORWARDED
            a download that is being resumed is cut off at the total timeout |
              GET | arrived-limited a response stalled b late | @RESUMED, cancel 2, AbortResponse
            a response is cut off at the total timeout, but recorded if it is claimed |
              KEYED | arrived-limited acquired a response late ended |
              AcquireClaim, @SENT, BufferResponse, forward 1, AbortResponse, RecordResponse
            a call to an instance of another node is refused | HOP | arrived-moved | 503 not-run unknown-instance
            a call to a draining instance is refused | HOP | arrived-draining | 503 not-run not-serving
            a quarantined request does not reach the upstream | HOP | arrived-quarantined | 503 not-run quarantined
            a trial of a quarantined request is sent to one instance, once |
              GET | arrived-for-trial a reset | select only a, send a left 3, 502 unknown attempt-failed
            a trial that another call already is, is refused |
              GET | arrived-for-trial a quarantined | select only a, send a left 3, 503 not-run quarantined
            a quarantined request is refused before its trial is due | GET | arrived-before-trial | 503 not-run quarantined
            the last hop admits a trial |
              HOP | arrived-for-trial slot | AcquireSlot for trial 1, send upstream left 1
            the last hop admits one trial |
              HOP | arrived-for-trial other-trial | AcquireSlot for trial 1, 503 not-run quarantined
            the last hop refuses a trial that is not due | HOP | arrived-before-trial | 503 not-run quarantined
            a call whose deadline is after the exit of the process is refused |
              POST | arrived-shortly-before-exit | 503 not-run node-stopping
            a call whose deadline is before the exit of the process is sent |
              POST | arrived-in-time-before-exit a response ended | @SENT, forward 1
            a call whose response may last until after the exit of the process is refused |
              GET | arrived-limited-shortly-before-exit | 503 not-run node-stopping
            a call whose caller leaves before the exit of the process is sent |
              HURRIED | arrived-limited-shortly-before-exit a response ended | @SENT, forward 1
            the last hop refuses a call whose deadline is after its exit |
              HOP | arrived-shortly-before-exit-of-hop | 503 not-run node-stopping
            a shed call is reported as not run | HOP | arrived no-slot | AcquireSlot, 503 not-run shed
            an expired call is not dispatched | HOP | arrived late-slot | AcquireSlot, ReleaseSlot, 504 not-run deadline
            a refused connection is reported as not run |
              HOP | arrived slot unreachable | @DISPATCHED, crashed a, ReleaseSlot, 503 not-run upstream-refused
            a crash is reported as unknown |
              HOP | arrived slot reset | @DISPATCHED, crashed a, ReleaseSlot, 502 unknown attempt-failed
            the end of an idle connection does not count as a crash |
              HOP | arrived slot closed-idle | @DISPATCHED, ReleaseSlot, 502 unknown attempt-failed
            a cancelled call releases its slot | HOP | arrived slot disconnected | @DISPATCHED, ReleaseSlot, cancel 1
            a complete response releases the slot |
              HOP | arrived slot response ended disconnected | @DISPATCHED, forward 1, ReleaseSlot
            a truncated response is aborted |
              HOP | arrived slot response truncated | @DISPATCHED, forward 1, crashed a, ReleaseSlot, AbortResponse
            a hanging upstream loses the slot at the deadline |
              HOP | arrived slot late | @DISPATCHED, ReleaseSlot, cancel 1, 504 unknown deadline
        """
    }
}
