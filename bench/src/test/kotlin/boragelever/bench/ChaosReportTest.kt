package boragelever.bench

import boragelever.core.ConfigVersion
import boragelever.core.Digest
import boragelever.core.IdempotencyKey
import boragelever.core.InstanceId
import boragelever.core.NodeId
import boragelever.core.call.Outcome
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory

/** Guards against a check that misses its violation or reports one where the promise was kept. */
class ChaosReportTest {
    private class Case(val name: String, val violated: List<Check>, vararg val observations: Observation)

    private val cases =
        listOf(
            Case("all nodes follow an edit", none, *followed(3_000)),
            Case("a version goes back", listOf(Check.VERSION_BACK), status(5, "a", 2, "x"), status(6, "a", 1, "x")),
            Case(
                "a restarted node begins with less",
                listOf(Check.VERSION_BACK_AFTER_RESTART),
                status(5, "a", 2, "x"),
                fault(6, Fault.NodeStopped(NodeId("a"))),
                fault(7, Fault.NodeStarted(NodeId("a"))),
                status(8, "a", 1, "x"),
            ),
            Case(
                "a route is missing",
                listOf(Check.DANGLING_ROUTE),
                answered("r1", Outcome.NOT_RUN, reason = "no-route"),
            ),
            Case("a service has no endpoint", none, answered("r1", Outcome.NOT_RUN, reason = "no-endpoint")),
            Case(
                "content of no folder",
                listOf(Check.UNKNOWN_CONTENT, Check.NEVER_IN_FORCE),
                status(5, "a", 1, "other"),
            ),
            Case("a bad folder is not reported", listOf(Check.BAD_FOLDER_SILENT), edit(10, 1, null)),
            Case(
                "a bad folder is reported",
                none,
                edit(10, 1, null),
                status(1_000, "a", 1, "x", rejects = true),
            ),
            Case(
                "a body of another request",
                listOf(Check.WRONG_BODY),
                answered("r1", Outcome.COMPLETED, BodyCheck.WRONG),
            ),
            Case(
                "not-run was executed",
                listOf(Check.RAN_BUT_NOT_RUN),
                executed(5, "r1", "k"),
                answered("r1", Outcome.NOT_RUN),
            ),
            Case("unknown was executed", none, executed(5, "r1", "k"), answered("r1", Outcome.UNKNOWN)),
            Case("a key runs twice", listOf(Check.RAN_TWICE), executed(5, "r1", "k"), executed(6, "r2", "k")),
            Case("two keys run", none, executed(5, "r1", "k"), executed(6, "r2", "l")),
            Case("late run on a leaver", listOf(Check.RAN_WHILE_DRAINING), drain(10), executed(2_011, "r1", null)),
            Case("last run on a leaver", none, drain(10), executed(2_010, "r1", null)),
            Case(
                "a drain cuts a call",
                listOf(Check.CUT_BY_DRAIN),
                executed(5, "r1", null),
                drain(10),
                ended(50, "r1", CallResult.Broken("EOFException")),
            ),
            Case(
                "a call ends before the drain",
                none,
                executed(5, "r1", null),
                ended(9, "r1", CallResult.Broken("EOFException")),
                drain(10),
            ),
            Case(
                "two digests",
                listOf(Check.TWO_DIGESTS),
                edit(2, 1, "y"),
                status(5, "a", 1, "x"),
                status(6, "b", 1, "y"),
                status(7, "a", 2, "y"),
            ),
            Case(
                "an edit is reverted",
                listOf(Check.REVERTED),
                edit(2, 1, "y"),
                status(5, "a", 1, "y"),
                status(6, "a", 2, "x"),
            ),
            Case(
                "one node is late",
                listOf(Check.LATE_ON_NODE),
                *followed(4_001),
                fault(2_000, Fault.StoreSet(StoreCondition.DOWN)),
            ),
            Case("a paused node follows when it resumes", none, *paused(3_999)),
            Case("a paused node is late when it resumes", listOf(Check.LATE_ON_NODE), *paused(4_001)),
            Case(
                "a quiet edit is late",
                listOf(Check.LATE_WHEN_QUIET),
                edit(10, 1, "y"),
                status(4_011, "a", 2, "y"),
                status(4_011, "b", 2, "y"),
            ),
            Case(
                "the last edit is lost",
                listOf(Check.LATE_WHEN_QUIET, Check.NEVER_IN_FORCE),
                *followed(10),
                edit(20_000, 2, "z"),
            ),
        )

    @TestFactory
    fun `each violation is counted, and nothing else`(): List<DynamicTest> =
        cases.map { case ->
            DynamicTest.dynamicTest(case.name) {
                val state = reduceAll(listOf(edit(0, 0, "x")) + case.observations)
                assertEquals(case.violated, state.violations.keys.sorted(), state.violations.toString())
            }
        }
}

private val none = emptyList<Check>()

private fun edit(at: Long, number: Int, digest: String?) =
    Observation.FolderEdited(at, EditNumber(number), digest?.let(::Digest))

private fun status(at: Long, node: String, version: Long, digest: String, rejects: Boolean = false) =
    Observation.StatusSeen(at, NodeId(node), ConfigVersion(version), Digest(digest), at, rejects)

private fun fault(at: Long, fault: Fault) = Observation.FaultApplied(at, fault)

private fun drain(at: Long) = fault(at, Fault.DrainAnnounced(InstanceId("i")))

private fun executed(at: Long, request: String, key: String?) =
    Observation.Executed(at, InstanceId("i"), RequestId(request), key?.let(::IdempotencyKey))

private fun ended(at: Long, request: String, result: CallResult) =
    Observation.CallEnded(at, 4, RequestId(request), NodeId("a"), CallKind.READ, result)

private fun answered(request: String, outcome: Outcome, body: BodyCheck = BodyCheck.ERROR, reason: String? = null) =
    ended(8, request, CallResult.Answered(200, outcome, reason, body))

/** Node `b` applies an edit [lateMillis] after node `a`. */
private fun followed(lateMillis: Long): Array<Observation> =
    arrayOf(
        status(5, "a", 1, "x"),
        status(5, "b", 1, "x"),
        edit(10, 1, "y"),
        status(900, "a", 2, "y"),
        status(900 + lateMillis, "b", 2, "y"),
    )

/** Node `b` is paused while `a` applies an edit, and applies it [lateMillis] after it has resumed. */
private fun paused(lateMillis: Long): Array<Observation> =
    arrayOf(
        status(5, "b", 1, "x"),
        edit(10, 1, "y"),
        fault(11, Fault.NodePaused(NodeId("b"))),
        status(20, "a", 2, "y"),
        fault(9_000, Fault.NodeResumed(NodeId("b"))),
        status(9_100, "b", 1, "x"),
        status(9_100 + lateMillis, "b", 2, "y"),
    )
