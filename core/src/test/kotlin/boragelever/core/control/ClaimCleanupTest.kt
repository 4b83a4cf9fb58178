package boragelever.core.control

import boragelever.core.Digest
import boragelever.core.Epoch
import boragelever.core.EventContext
import boragelever.core.FileName
import boragelever.core.Handling
import boragelever.core.NodeId
import boragelever.core.Session
import boragelever.core.store.ImmutableBytes
import boragelever.core.store.ObjectKey
import boragelever.core.store.RecordedResponse
import boragelever.core.store.Revision
import boragelever.core.store.RowKey
import boragelever.core.store.RowValue
import boragelever.core.store.RowWrite
import boragelever.core.store.StoreCommand
import boragelever.core.store.StoreFailure
import boragelever.core.store.StoreKeys
import boragelever.core.store.WriteId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

/** Guards against claims that are deleted too early, by the wrong node or never, and against orphaned responses. */
class ClaimCleanupTest {
    /** Claims by name with their age in minutes, and the names of the rows and recorded responses that must remain. */
    internal class Case(
        private val name: String,
        val claims: Map<String, Long>,
        val rows: Set<String>,
        val responses: Set<String> = rows,
        val script: Session.() -> Unit,
    ) {
        override fun toString(): String = name
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("sessions")
    internal fun `only expired claims and their responses are deleted`(case: Case) {
        val session = Session()
        case.claims.forEach { (name, ageMinutes) -> session.claim(name, ageMinutes) }
        case.script(session)
        assertEquals(case.rows, session.names(session.store.rows.keys.map { it.value }, "claim/"), "rows")
        assertEquals(case.responses, session.names(session.store.objects.keys.map { it.value }, "answer/"), "responses")
    }

    /** Guards against store commands of a node that must not send them; the first case is the positive control. */
    @ParameterizedTest(name = "{0}")
    @MethodSource("states")
    internal fun `only a running lease holder with a configuration reads a page`(
        case: Triple<String, Int, ControlState>,
    ) {
        val (name, calls, state) = case
        val transition = reduceClaimCleanup(state, Event.Ticked(EventContext(nowMillis = 1_000, seed = 1)))
        assertEquals(calls, transition.effects.size, name)
    }

    private companion object {
        const val MINUTE_MILLIS = 60_000L
        const val DAY = 24 * 60L
        const val OLD = 25 * 60L + 1

        /** Longest wait for a page: the mean interval of one minute plus up to half of it as jitter, rounded up. */
        const val PAGE_MILLIS = 95_000L

        fun Session.names(keys: List<String>, prefix: String): Set<String> =
            keys.filter { it.startsWith(prefix) }.map { it.removePrefix(prefix) }.toSet()

        fun Session.claim(name: String, ageMinutes: Long) {
            val body = ObjectKey("answer/$name")
            val atMillis = nowMillis - ageMinutes * MINUTE_MILLIS
            val claim = RowValue.Claim(Digest("d"), NodeId("n9"), atMillis, RecordedResponse(201, body = body))
            put(RowKey("claim/$name"), claim)
            store = store.copy(objects = store.objects + (body to ImmutableBytes(ByteArray(1))))
        }

        fun Session.put(key: RowKey, value: RowValue) {
            val command = StoreCommand.Transact(WriteId("test"), emptyList(), listOf(RowWrite.Put(key, value)))
            store = store.execute(command).first
        }

        /** Applies [how] to the first command of the claim cleanup that [matches]. */
        fun Session.once(how: Handling, matches: (StoreCommand) -> Boolean) {
            var isDone = false
            handling = { _, effect ->
                if (isDone || cleanupCommand(effect)?.let(matches) != true) {
                    Handling.EXECUTE
                } else {
                    isDone = true
                    how
                }
            }
        }

        fun cleanupCommand(effect: Effect): StoreCommand? =
            (effect as? Effect.CallStore)?.takeIf { it.request.owner == RequestOwner.CLAIM_CLEANUP }?.command

        /** Holds the deletion of the first response, runs [meanwhile], then executes the deletion. */
        fun Session.duringDeletion(meanwhile: Session.() -> Unit) {
            publishFirst()
            once(Handling.HOLD) { it is StoreCommand.DeleteObject }
            run(PAGE_MILLIS)
            check(state(nodes.first()).claimCleanup.phase is ClaimCleanupPhase.DeletingResponse) {
                "the deletion of the response was not held"
            }
            meanwhile()
            executeHeld()
            run(10_000)
        }

        fun Session.cleanupFails(how: Handling, matches: (StoreCommand) -> Boolean) {
            publishFirst()
            once(how, matches)
            run(PAGE_MILLIS)
        }

        @JvmStatic
        fun sessions(): List<Case> = plainCases() + faultCases()

        fun plainCases(): List<Case> =
            listOf(
                Case("a claim within its retention and the clock margin stays", mapOf("a" to OLD - 3), setOf("a")) {
                    publishFirst()
                    run(PAGE_MILLIS)
                },
                Case("an expired claim is deleted with its response", mapOf("a" to OLD, "b" to 0), setOf("b")) {
                    publishFirst()
                    run(PAGE_MILLIS)
                },
                Case("the longest retention applies", mapOf("a" to 7 * DAY, "b" to 8 * DAY), setOf("a")) {
                    folder[FileName("05-keep.yaml")] = "keep_ms: ${7 * DAY * MINUTE_MILLIS}"
                    publishFirst()
                    run(PAGE_MILLIS)
                },
                Case("a retention of less than 24 h counts as 24 h", mapOf("a" to DAY), setOf("a")) {
                    folder[FileName("05-keep.yaml")] = "keep_ms: 1"
                    publishFirst()
                    run(PAGE_MILLIS)
                },
                Case(
                    "the sweep continues after a full page and restarts after the last one",
                    (100..209).associate { "a$it" to 0L } + mapOf("z" to OLD, "a150" to OLD - 3),
                    (100..209).map { "a$it" }.toSet() - "a150",
                ) {
                    publishFirst()
                    run(5 * PAGE_MILLIS)
                },
                Case("at most one page is deleted at a time", (100..299).associate { "a$it" to OLD }, emptySet()) {
                    publishFirst()
                    runUntil("first page", 2 * PAGE_MILLIS) {
                        names(store.rows.keys.map { it.value }, "claim/").size < 200
                    }
                    check(names(store.rows.keys.map { it.value }, "claim/").size == 100) { "more than a page deleted" }
                    run(PAGE_MILLIS)
                },
            )

        fun faultCases(): List<Case> =
            listOf(
                Case("only a changed row stays", mapOf("a" to OLD, "b" to OLD), setOf("a"), emptySet()) {
                    duringDeletion { put(RowKey("claim/a"), RowValue.Claim(Digest("e"), NodeId("n9"), nowMillis)) }
                },
                Case("no row is deleted once the lease is lost", mapOf("a" to OLD), setOf("a"), emptySet()) {
                    duringDeletion {
                        put(StoreKeys.LEASE, RowValue.Lease(NodeId("n9"), Epoch(9), LEASE_DURATION_MILLIS))
                        run(3_000)
                    }
                },
                Case("no row is deleted once the node drains", mapOf("a" to OLD), setOf("a"), emptySet()) {
                    duringDeletion { send(nodes.first(), Event.StopRequested(eventContext(nodes.first()))) }
                },
                Case("the row stays if the object store is unreachable", mapOf("a" to OLD), setOf("a")) {
                    cleanupFails(Handling.UNAVAILABLE) { it is StoreCommand.DeleteObject }
                },
                Case("the row stays if the outcome is unknown", mapOf("a" to OLD), setOf("a"), emptySet()) {
                    cleanupFails(Handling.LOSE_AFTER) { it is StoreCommand.DeleteObject }
                },
                Case("a failed scan is retried", mapOf("a" to OLD), emptySet()) {
                    cleanupFails(Handling.UNAVAILABLE) { it is StoreCommand.ScanRows }
                    run(PAGE_MILLIS)
                },
                Case("the next sweep finds a row whose deletion was lost", mapOf("a" to OLD), emptySet()) {
                    cleanupFails(Handling.LOSE_BEFORE) { it is StoreCommand.Transact }
                    run(PAGE_MILLIS)
                },
            )

        @JvmStatic
        fun states(): List<Triple<String, Int, ControlState>> {
            val due = ClaimCleanupState(ClaimCleanupPhase.Waiting(nextPageMillis = 1_000))
            val held = LeaseState.Held(Epoch(1), Revision(1), expiresMillis = 6_000, nextRenewalMillis = 2_000)
            val holder = ReducerDriver().apply(1).state.copy(claimCleanup = due, lease = held)
            val open = StoreBreaker.Open(untilMillis = 2_000, openCount = 1)
            val health = StoreHealth.Unreachable(0, null, StoreFailure.Unavailable("out"))
            return listOf(
                Triple("lease holder", 1, holder),
                Triple(
                    "page not due",
                    0,
                    holder.copy(claimCleanup = ClaimCleanupState(ClaimCleanupPhase.Waiting(1_001))),
                ),
                Triple("lease not held", 0, holder.copy(lease = LeaseState.Observing())),
                Triple("draining", 0, holder.copy(lifecycle = LifecycleState.Draining(sinceMillis = 0))),
                Triple("no configuration", 0, holder.copy(applied = null)),
                Triple("store unreachable", 0, holder.copy(store = StoreState(health, open))),
            )
        }
    }
}
