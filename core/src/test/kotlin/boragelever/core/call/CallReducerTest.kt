package boragelever.core.call

import boragelever.core.call.CallScript.EVENTS
import boragelever.core.call.CallScript.EXPIRED
import boragelever.core.call.CallScript.GET
import boragelever.core.call.CallScript.HOP
import boragelever.core.call.CallScript.KEYED
import boragelever.core.call.CallScript.POST
import boragelever.core.call.CallScript.SPENT
import boragelever.core.call.CallScript.UPLOAD
import boragelever.core.call.CallScript.brief
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

/** Each case names the failure that it guards against; the effects of all events are compared in order. */
class CallReducerTest {
    /** The [events] are names of [EVENTS]; the [effects] are in the words of [brief], separated by `, `. */
    internal class Case(val failure: String, val state: CallState, val events: String, val effects: String) {
        override fun toString() = failure
    }

    @ParameterizedTest
    @MethodSource("cases")
    internal fun `a call takes the expected steps`(case: Case) {
        var state = case.state
        val effects = case.events.split(' ').flatMap { name ->
            val transition = reduceCall(state, EVENTS.getValue(name))
            state = transition.state
            transition.effects.filter { it !is CallEffect.SetDeadline }.map { brief(it) }
        }
        assertEquals(case.effects, effects.joinToString())
    }

    private companion object {
        /** Abbreviations for the effects with which many calls begin. */
        val BEGINNINGS = listOf(
            "@RESUMED" to "@PASSED, select -a paid, send b left 1 from 4",
            "@PASSED" to "@SENT, pass 1",
            "@SENT" to "select, send a left 3",
            "@DISPATCHED" to "AcquireSlot, send upstream left 1",
        )
        val STATES: Map<String, CallState> = mapOf(
            "GET" to GET,
            "SPENT" to SPENT,
            "EXPIRED" to EXPIRED,
            "POST" to POST,
            "KEYED" to KEYED,
            "UPLOAD" to UPLOAD,
            "HOP" to HOP,
        )

        /** One case a line: failure, state, events, effects; a line that ends with `|` goes on in the next. */
        @JvmStatic
        fun cases(): List<Case> =
            TABLE.replace(Regex("[|]\\n +"), "| ").trim().lines().map { line ->
                val cells = line.split('|').map { it.trim() }
                val effects = BEGINNINGS.fold(cells[3]) { text, (short, long) -> text.replace(short, long) }
                Case(cells[0], STATES.getValue(cells[1]), cells[2], effects)
            }

        const val TABLE = """
            a node without configuration guesses | GET | arrived-unconfigured | 503 not-run no-configuration
            a starting node refuses what it will soon know | GET | arrived-at-start arrived | AwaitRouting, select
            a starting node refuses before it knows the instances |
              GET | arrived-at-start arrived-without-endpoints arrived | AwaitRouting, AwaitRouting, select
            a call waits for ever at a node that learns nothing |
              GET | arrived-at-start arrived-still-unconfigured | AwaitRouting, 503 not-run no-configuration
            a call waits at a node that has long known the instances |
              GET | arrived-late-without-endpoints | 503 not-run no-endpoint
            a stopping node takes calls | GET | arrived-stopping | 503 not-run node-stopping
            an overloaded node takes calls | GET | arrived-crowded | 503 not-run too-many-calls
            a prefix matches half a segment | GET | arrived-unmatched | 404 not-run no-route
            a chain that used up its attempts goes on | SPENT | arrived | 503 not-run budget-spent
            a chain that used up its time goes on | EXPIRED | arrived | 504 not-run deadline
            a read fails with its endpoint | GET | arrived a reset b | @SENT, select -a paid, send b left 1
            a booking runs twice | POST | arrived a reset | @SENT, 502 unknown attempt-failed
            a booking that was not sent is lost | POST | arrived a unconnected b | @SENT, select -a, send b left 1
            a stale member view uses up the budget | POST | arrived a not-serving | @SENT, select -a
            shedding by a node multiplies the load | POST | arrived a shed no-budget | @SENT, select -a, 503 not-run shed
            a call asks all nodes of a service that is short of room |
              POST | arrived a shed b shed2 | @SENT, select -a, send b left 1, 503 not-run shed
            shedding by an instance multiplies the load |
              POST | arrived a upstream-shed no-budget | @SENT, select -a paid, 503 not-run upstream-shed
            a failed run of a read is passed on although another instance may do better |
              GET | arrived a error b | @SENT, cancel 1, select -a paid, send b left 1
            a failed run of a booking is repeated | POST | arrived a error | @SENT, pass 1
            nodes that are not reached are tried without end |
              GET | arrived-once a unconnected b unconnected2 a unconnected3 |
              select, send a left 1, select -a, send b left 1, select -a -b, send a left 1, 503 not-run unreachable
            an instance that sheds passes for one that ran | HOP | arrived slot instance-sheds |
              @DISPATCHED, ReleaseSlot, 503 not-run upstream-shed
            a crashing request is tried elsewhere | GET | arrived a poison | @SENT, 503 not-run quarantined
            attempts are not limited | GET | arrived-once a reset | select, send a left 1, 502 unknown attempt-failed
            a call that one attempt may have run is told as not-run |
              GET | arrived-twice a reset b shed2 no-budget |
              select, send a left 2, select -a paid, send b left 1, select -a -b paid, 502 unknown shed
            a body that is gone is sent again | UPLOAD | arrived a shed | @SENT, 503 not-run shed
            a hedged read passes both answers on |
              GET | arrived-hedged a hedge b answer2 answer |
              @SENT, SetHedgeTimer, select -a paid, send b left 1, cancel 1, pass 2
            a booking is hedged | POST | arrived-hedged a hedge | @SENT
            a keyed call is sent before its claim |
              KEYED | arrived won a answer ended | AcquireClaim, @SENT, BufferResponse, pass 1, RecordResponse
            a repeat runs | KEYED | arrived recorded | AcquireClaim, replay 201
            a repeat of a running call runs | KEYED | arrived pending | AcquireClaim, 409 unknown claim-pending
            a key covers two requests | KEYED | arrived other | AcquireClaim, 422 not-run key-reused
            a call runs without its claim | KEYED | arrived store-failed | AcquireClaim, 503 not-run store-failed
            the key of a call that did not run is lost |
              KEYED | arrived won none | AcquireClaim, select, ReleaseClaim, 503 not-run no-endpoint
            a claim is released although the call may have run |
              KEYED | arrived won a reset | AcquireClaim, @SENT, 502 unknown attempt-failed
            a claim that is won too late runs or stays |
              KEYED | arrived late won | AcquireClaim, 504 not-run deadline, ReleaseClaim
            a claim of a caller that is gone stays | KEYED | arrived gone won | AcquireClaim, ReleaseClaim
            a gone caller loses the outcome of its booking |
              KEYED | arrived won a gone answer ended | AcquireClaim, @SENT, BufferResponse, pass 1, RecordResponse
            a download is not resumed | GET | arrived a answer stalled b rest | @RESUMED, rest 2
            another version is appended |
              GET | arrived a answer stalled b rest-other-tag | @RESUMED, cancel 2, AbortResponse
            the wrong part is appended |
              GET | arrived a answer stalled b rest-other-part | @RESUMED, cancel 2, AbortResponse
            a longer body is appended | GET | arrived a answer stalled b rest-longer | @RESUMED, cancel 2, AbortResponse
            a whole other body is appended | GET | arrived a answer stalled b answer2 | @RESUMED, cancel 2, AbortResponse
            a broken body ends as whole | GET | arrived a answer cut no-budget | @PASSED, select -a paid, AbortResponse
            the answer to a booking is resumed | POST | arrived a answer cut | @PASSED, AbortResponse
            a body is resumed for a gone caller | GET | arrived a answer unread | @PASSED, AbortResponse
            a cancelled call goes on | GET | arrived a gone answer | @SENT, cancel 1
            a late call is told as not-run | GET | arrived a late | @SENT, cancel 1, 504 unknown deadline
            a late call that was not sent is told as unknown | GET | arrived late | select, 504 not-run deadline
            a download that makes progress is cut | GET | arrived a answer late | @PASSED
            an instance that moved gets the call | HOP | arrived-moved | 503 not-run unknown-instance
            a draining instance gets new work | HOP | arrived-draining | 503 not-run not-serving
            a crashing request reaches the upstream | HOP | arrived-poison | 503 not-run quarantined
            a shed call is told as unknown | HOP | arrived no-slot | AcquireSlot, 503 not-run shed
            an expired call is dispatched | HOP | arrived late-slot | AcquireSlot, ReleaseSlot, 504 not-run deadline
            a refused connection is told as unknown |
              HOP | arrived slot unconnected | @DISPATCHED, died a, ReleaseSlot, 503 not-run upstream-refused
            a death is told as not-run |
              HOP | arrived slot reset | @DISPATCHED, died a, ReleaseSlot, 502 unknown attempt-failed
            the end of an unused connection counts as a death |
              HOP | arrived slot closed-idle | @DISPATCHED, ReleaseSlot, 502 unknown attempt-failed
            a cancelled call keeps its slot | HOP | arrived slot gone | @DISPATCHED, ReleaseSlot, cancel 1
            a whole answer keeps its slot | HOP | arrived slot answer ended gone | @DISPATCHED, pass 1, ReleaseSlot
            a truncated answer ends as whole |
              HOP | arrived slot answer cut | @DISPATCHED, pass 1, died a, ReleaseSlot, AbortResponse
            a hanging upstream keeps its slot |
              HOP | arrived slot late | @DISPATCHED, ReleaseSlot, cancel 1, 504 unknown deadline
        """
    }
}
