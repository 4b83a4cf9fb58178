package boragelever.core.control

import boragelever.core.EventContext
import boragelever.core.Incarnation
import boragelever.core.NetworkAddress
import boragelever.core.NodeId
import boragelever.core.RegionName
import boragelever.core.ZoneName
import boragelever.core.store.StoreFailure
import boragelever.core.store.StoreResult
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.Arguments
import org.junit.jupiter.params.provider.Arguments.arguments
import org.junit.jupiter.params.provider.MethodSource
import kotlin.random.Random

/** Guards against nodes that together overload the store, especially when it recovers from an outage. */
class StoreReducerTest {
    @ParameterizedTest(name = "{0}")
    @MethodSource("sequences")
    fun `the breaker opens on consecutive failures and closes on a response`(
        @Suppress("unused") name: String,
        steps: String,
        expected: String,
    ) {
        val end = steps.fold(INITIAL_STATE) { state, step -> state.afterStep(step) }
        val health = end.store.health::class.simpleName
        val breaker = end.store.breaker::class.simpleName
        assertEquals(expected, "$health $breaker ${end.admitsStoreCalls()}")
    }

    @Test
    fun `waits are spread over the interval and never exceed the cap`() {
        val waits = (1L..2_000L).map { EventContext(0, it * 7_919).fullJitterMillis("x", attempt = 40, 500, 5_000) }
        val tenths = waits.groupBy { it / 501 }
        assertEquals((0L..9L).toSet(), tenths.keys)
        assertTrue(tenths.values.all { it.size in 140..260 }, "uneven: ${tenths.mapValues { it.value.size }}")
    }

    @Test
    fun `a thousand nodes read the lease row less than fifty times per second`() {
        val members = (1..1_000).map { member("n$it", if (it % 2 == 0) "khomas" else "erongo") }
        val ranks = members.map { leaseRank(it.node, members.asSequence(), RegionName("khomas")) }
        val candidates = members.filterIndexed { index, _ -> ranks[index] < LEASE_CANDIDATES }
        assertEquals(List(LEASE_CANDIDATES) { RegionName("khomas") }, candidates.map { it.region }, "candidates")
        val random = Random(1)
        val reads = ranks.sumOf { rank -> readsIn(WINDOW_MILLIS, rank < LEASE_CANDIDATES, random) }
        assertTrue(reads * 1_000 / WINDOW_MILLIS < 50, "$reads reads in $WINDOW_MILLIS ms")
        val rest = members - candidates.toSet()
        val next = rest.count { leaseRank(it.node, rest.asSequence(), RegionName("khomas")) < LEASE_CANDIDATES }
        assertEquals(LEASE_CANDIDATES, next, "candidates once the first ones are gone")
    }

    private fun readsIn(windowMillis: Long, isCandidate: Boolean, random: Random): Int =
        generateSequence(0L) { it + leaseReadMillis(EventContext(it, random.nextLong()), isCandidate) }
            .takeWhile { it < windowMillis }
            .count()

    private fun ControlState.afterStep(step: Char): ControlState {
        val context = EventContext(nowMillis = 0, seed = 5)
        return when (step) {
            '.' -> reduceStore(this, Event.Ticked(context.copy(nowMillis = 60_000))).state
            'p' -> callStore(RequestOwner.CONFIG, READ_LEASE_ROWS).state
            'k' -> completed(StoreResult.RowsRead(emptyList()), context)
            'u' -> completed(StoreResult.StoreFailed(StoreFailure.Unavailable("")), context)
            'l' -> completed(StoreResult.StoreFailed(StoreFailure.OutcomeUnknown("")), context)
            else -> completed(StoreResult.StoreFailed(StoreFailure.Invalid("")), context)
        }
    }

    private fun ControlState.completed(result: StoreResult, context: EventContext): ControlState =
        reduceStore(this, Event.StoreCommandCompleted(context, RequestId(RequestOwner.CONFIG, 1), result)).state

    private companion object {
        const val WINDOW_MILLIS = 600_000L
        val ADDRESS = NetworkAddress("127.0.0.1:1")
        val INITIAL_STATE =
            ControlState(NodeIdentity(NodeId("n1"), RegionName("r"), ZoneName("a"), ADDRESS, ADDRESS, Incarnation(1)))

        fun member(node: String, region: String) =
            MemberRecord(NodeId(node), Incarnation(1), 1, RegionName(region), ZoneName("a"), ADDRESS, ADDRESS)

        /** `k` response, `u` unavailable, `l` unknown outcome, `i` invalid, `.` one minute passes, `p` command sent. */
        @JvmStatic
        fun sequences(): List<Arguments> =
            listOf(
                arguments("no response yet", "", "NeverReached Closed true"),
                arguments("one unknown outcome", "kl", "Reachable Closed true"),
                arguments("failures that are not consecutive", "ukukuku", "Reachable Closed true"),
                arguments("invalid data counts as a response", "kuui", "Reachable Closed true"),
                arguments("three consecutive failures", "kulu", "Unreachable Open false"),
                arguments("a probe after the wait", "uuu.", "Unreachable HalfOpen true"),
                arguments("one probe at a time", "uuu.p", "Unreachable HalfOpen false"),
                arguments("the probe fails", "uuu.pu", "Unreachable Open false"),
                arguments("the probe gets a response", "uuu.pk", "Reachable Closed true"),
            )
    }
}
