package boragelever.node.proxy

import boragelever.core.Digest
import boragelever.core.NodeId
import boragelever.core.call.ClaimOutcome
import boragelever.core.store.RowKey
import boragelever.core.store.RowValue
import boragelever.core.store.StoreCommand
import boragelever.core.store.StoreResult
import boragelever.platform.Platform
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.yield
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

/** Claims of concurrent calls; each case names the failure that it guards against. */
class ClaimStoreTest {
    internal class Case(
        val failure: String,
        /** Claims taken while the first transaction is under way, as `row/digest`. */
        val claims: List<String>,
        val faults: List<PlatformFault> = emptyList(),
        val answers: List<ClaimOutcome>,
        /** Operations of each transaction. */
        val transactions: List<Int>,
    ) {
        override fun toString() = failure
    }

    @ParameterizedTest
    @MethodSource("cases")
    internal fun `each claim gets its own answer`(case: Case) {
        val platform = FakePlatform(case.faults.toMutableList())
        runBlocking {
            val firstCommandAllowed = CompletableDeferred<Unit>()
            val store = ClaimStore(BlockingPlatform(platform, firstCommandAllowed), NodeId("a"), SystemTrafficClock)
            val runner = launch { store.run() }
            val answers = coroutineScope {
                val pendingAnswers = case.claims.map { claim ->
                    async { store.acquire(RowKey(claim.substringBefore('/')), Digest(claim.substringAfter('/'))).first }
                        // The first claim is on its way before the others are taken, so that they gather.
                        .also { repeat(YIELDS) { yield() } }
                }
                firstCommandAllowed.complete(Unit)
                pendingAnswers.awaitAll()
            }
            assertEquals(case.answers, answers)
            runner.cancel()
        }
        assertEquals(case.transactions, platform.transactions)
    }

    @ParameterizedTest
    @MethodSource("updates")
    internal fun `a claim is settled once`(fault: PlatformFault) = runBlocking {
        val platform = FakePlatform(mutableListOf(PlatformFault.NONE, fault))
        val store = ClaimStore(platform, NodeId("a"), SystemTrafficClock)
        val runner = launch { store.run() }
        val row = RowKey("r")
        val claim = checkNotNull(store.acquire(row, Digest("d")).second)
        store.record(claim, ForwardedResponse(201, "text/plain", 2, "ok".encodeToByteArray()))
        val answer = (platform.row(row)?.value as RowValue.Claim).answer
        assertEquals(201, answer?.statusCode)
        assertEquals(ClaimOutcome.Recorded(checkNotNull(answer)), store.acquire(row, Digest("d")).first)
        runner.cancel()
    }

    /** Holds the first command back until [held] is completed. */
    private class BlockingPlatform(
        private val platform: Platform,
        private val firstCommandAllowed: CompletableDeferred<Unit>,
    ) : Platform by platform {
        override suspend fun execute(command: StoreCommand): StoreResult {
            firstCommandAllowed.await()
            return platform.execute(command)
        }
    }

    private companion object {
        const val YIELDS = 5
        val WON = ClaimOutcome.Acquired

        @JvmStatic
        fun updates(): List<PlatformFault> = PlatformFault.entries

        @JvmStatic
        fun cases(): List<Case> = listOf(
            Case(
                "each claim costs a transaction",
                listOf("a/1", "b/1", "c/1"),
                emptyList(),
                List(3) {
                    WON
                },
                listOf(1, 2),
            ),
            Case(
                "a conflict refuses the calls beside it",
                listOf("a/1", "a/1", "b/1"),
                answers = listOf(WON, ClaimOutcome.Pending, WON),
                transactions = listOf(1, 2, 1),
            ),
            Case(
                "two calls in one batch both win a key",
                listOf("a/1", "b/1", "b/2"),
                answers = listOf(WON, WON, ClaimOutcome.KeyReused),
                transactions = listOf(1, 1, 1),
            ),
            Case(
                "a lost answer is taken for a failure",
                listOf("a/1", "b/1"),
                listOf(PlatformFault.LOST_AFTER, PlatformFault.LOST_AFTER),
                listOf(WON, WON),
                listOf(1, 1),
            ),
            Case(
                "a lost request is taken for a success",
                listOf("a/1", "b/1"),
                listOf(PlatformFault.LOST_BEFORE),
                listOf(ClaimOutcome.Failed, WON),
                listOf(1, 1),
            ),
            Case(
                "an outage is taken for a success",
                listOf("a/1"),
                listOf(PlatformFault.UNAVAILABLE),
                listOf(ClaimOutcome.Failed),
                listOf(1),
            ),
        )
    }
}
