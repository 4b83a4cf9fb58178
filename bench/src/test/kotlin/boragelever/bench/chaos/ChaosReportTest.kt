package boragelever.bench.chaos

import boragelever.core.ConfigVersion
import boragelever.core.Digest
import boragelever.core.IdempotencyKey
import boragelever.core.InstanceId
import boragelever.core.NodeId
import boragelever.core.call.Outcome
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory

/** Guards against a check that misses a violation or reports one although the promise was kept. */
class ChaosReportTest {
    private class Case(val name: String, val violated: List<Check>, vararg val observations: Observation)

    private val cases =
        listOf(
            Case("all nodes apply an edit in time", noViolation, *appliedAfter(3_000)),
            Case(
                "the version of a node decreases",
                listOf(Check.VERSION_DECREASED),
                status(5, "a", 2, "x"),
                status(6, "a", 1, "x"),
            ),
            Case(
                "a restarted node applies a lower version",
                listOf(Check.VERSION_DECREASED_AFTER_RESTART),
                status(5, "a", 2, "x"),
                fault(6, Fault.NodeStopped(NodeId("a"))),
                fault(7, Fault.NodeStarted(NodeId("a"))),
                status(8, "a", 1, "x"),
            ),
            Case(
                "a route is missing",
                listOf(Check.DANGLING_ROUTE),
                responded("r1", Outcome.NOT_RUN, reason = "no-route"),
            ),
            Case("a service has no endpoint", noViolation, responded("r1", Outcome.NOT_RUN, reason = "no-endpoint")),
            Case(
                "a node applies content that the folder never had",
                listOf(Check.UNKNOWN_CONTENT, Check.LAST_EDIT_NOT_APPLIED),
                status(5, "a", 1, "other"),
            ),
            Case("an invalid folder is not reported", listOf(Check.INVALID_FOLDER_NOT_REPORTED), edit(10, 1, null)),
            Case(
                "an invalid folder is reported",
                noViolation,
                edit(10, 1, null),
                status(1_000, "a", 1, "x", rejects = true),
            ),
            Case(
                "a response has the body of another request",
                listOf(Check.WRONG_BODY),
                responded("r1", Outcome.COMPLETED, BodyCheck.UNEXPECTED),
            ),
            Case(
                "a request with the outcome not-run was executed",
                listOf(Check.EXECUTED_BUT_NOT_RUN),
                executed(5, "r1", "k"),
                responded("r1", Outcome.NOT_RUN),
            ),
            Case(
                "a request with the outcome unknown was executed",
                noViolation,
                executed(5, "r1", "k"),
                responded("r1", Outcome.UNKNOWN),
            ),
            Case(
                "a key is executed twice",
                listOf(Check.EXECUTED_TWICE),
                executed(5, "r1", "k"),
                executed(6, "r2", "k"),
            ),
            Case("two keys are executed once each", noViolation, executed(5, "r1", "k"), executed(6, "r2", "l")),
            Case(
                "a call starts after the drain bound",
                listOf(Check.EXECUTED_WHILE_DRAINING),
                drain(10),
                executed(2_011, "r1", null),
            ),
            Case("a call starts at the drain bound", noViolation, drain(10), executed(2_010, "r1", null)),
            Case(
                "a drain interrupts a call",
                listOf(Check.INTERRUPTED_BY_DRAIN),
                executed(5, "r1", null),
                drain(10),
                callEnded(50, "r1", CallResult.Failed("EOFException")),
            ),
            Case(
                "a call fails before the drain",
                noViolation,
                executed(5, "r1", null),
                callEnded(9, "r1", CallResult.Failed("EOFException")),
                drain(10),
            ),
            Case(
                "one version has two digests",
                listOf(Check.DIGEST_CONFLICT),
                edit(2, 1, "y"),
                status(5, "a", 1, "x"),
                status(6, "b", 1, "y"),
                status(7, "a", 2, "y"),
            ),
            Case(
                "an edit is reverted",
                listOf(Check.EDIT_REVERTED),
                edit(2, 1, "y"),
                status(5, "a", 1, "y"),
                status(6, "a", 2, "x"),
            ),
            Case(
                "one node applies an edit late",
                listOf(Check.LATE_ON_NODE),
                *appliedAfter(4_001),
                fault(2_000, Fault.StoreConditionChanged(StoreCondition.DOWN)),
            ),
            Case("a paused node applies an edit in time after it resumes", noViolation, *appliedAfterPause(3_999)),
            Case(
                "a paused node applies an edit late after it resumes",
                listOf(Check.LATE_ON_NODE),
                *appliedAfterPause(4_001),
            ),
            Case(
                "an undisturbed edit is late",
                listOf(Check.LATE_UNDISTURBED),
                edit(10, 1, "y"),
                status(4_011, "a", 2, "y"),
                status(4_011, "b", 2, "y"),
            ),
            Case(
                "the last edit is never applied",
                listOf(Check.LATE_UNDISTURBED, Check.LAST_EDIT_NOT_APPLIED),
                *appliedAfter(10),
                edit(20_000, 2, "z"),
            ),
        )

    @TestFactory
    fun `exactly the violated checks are reported`(): List<DynamicTest> =
        cases.map { case ->
            DynamicTest.dynamicTest(case.name) {
                val state = reduceAll(listOf(edit(0, 0, "x")) + case.observations)
                assertEquals(case.violated, state.violations.keys.sorted(), state.violations.toString())
            }
        }
}

private val noViolation = emptyList<Check>()

private fun edit(at: Long, number: Int, digest: String?) =
    Observation.FolderEdited(at, EditNumber(number), digest?.let(::Digest))

private fun status(at: Long, node: String, version: Long, digest: String, rejects: Boolean = false) =
    Observation.StatusObserved(at, NodeId(node), ConfigVersion(version), Digest(digest), at, rejects)

private fun fault(at: Long, fault: Fault) = Observation.FaultApplied(at, fault)

private fun drain(at: Long) = fault(at, Fault.DrainStarted(InstanceId("i")))

private fun executed(at: Long, request: String, key: String?) =
    Observation.Executed(at, InstanceId("i"), RequestId(request), key?.let(::IdempotencyKey))

private fun callEnded(at: Long, request: String, result: CallResult) =
    Observation.CallEnded(at, 4, RequestId(request), NodeId("a"), CallKind.READ, result)

private fun responded(request: String, outcome: Outcome, body: BodyCheck = BodyCheck.ERROR, reason: String? = null) =
    callEnded(8, request, CallResult.Responded(200, outcome, reason, body))

/** Node `b` applies an edit [lateMillis] after node `a`. */
private fun appliedAfter(lateMillis: Long): Array<Observation> =
    arrayOf(
        status(5, "a", 1, "x"),
        status(5, "b", 1, "x"),
        edit(10, 1, "y"),
        status(900, "a", 2, "y"),
        status(900 + lateMillis, "b", 2, "y"),
    )

/** Node `b` is paused while `a` applies an edit, and applies it [lateMillis] after its first status on resuming. */
private fun appliedAfterPause(lateMillis: Long): Array<Observation> =
    arrayOf(
        status(5, "b", 1, "x"),
        edit(10, 1, "y"),
        fault(11, Fault.NodePaused(NodeId("b"))),
        status(20, "a", 2, "y"),
        fault(9_000, Fault.NodeResumed(NodeId("b"))),
        status(9_100, "b", 1, "x"),
        status(9_100 + lateMillis, "b", 2, "y"),
    )
