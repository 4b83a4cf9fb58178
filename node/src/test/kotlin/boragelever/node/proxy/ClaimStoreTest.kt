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

/**
 * Claims of concurrent calls that share transactions.
 *
 * Guards against a claim that is granted twice, refused because of another row, or granted although its transaction may
 * not have been committed.
 */
class ClaimStoreTest {
    internal class Case(
        val name: String,
        /** Claims as `row/digest`; all but the first are requested while the first transaction is in flight. */
        val claims: List<String>,
        val faults: List<PlatformFault> = emptyList(),
        val outcomes: List<ClaimOutcome>,
        /** Number of operations of each transaction. */
        val transactions: List<Int>,
    ) {
        override fun toString() = name
    }

    @ParameterizedTest
    @MethodSource("cases")
    internal fun `each claim gets its own result`(case: Case) {
        val platform = FakePlatform(case.faults.toMutableList())
        runBlocking {
            val firstCommandAllowed = CompletableDeferred<Unit>()
            val store = ClaimStore(BlockingPlatform(platform, firstCommandAllowed), NodeId("a"), SystemTrafficClock)
            val runner = launch { store.run() }
            val outcomes = coroutineScope {
                val pendingOutcomes = case.claims.map { claim ->
                    async { store.acquire(RowKey(claim.substringBefore('/')), Digest(claim.substringAfter('/'))).first }
                        // The first transaction starts before the other claims arrive, so that those are batched.
                        .also { repeat(YIELDS) { yield() } }
                }
                firstCommandAllowed.complete(Unit)
                pendingOutcomes.awaitAll()
            }
            assertEquals(case.outcomes, outcomes)
            runner.cancel()
        }
        assertEquals(case.transactions, platform.transactions)
    }

    @ParameterizedTest
    @MethodSource("updates")
    internal fun `a response is recorded once`(fault: PlatformFault) = runBlocking {
        val platform = FakePlatform(mutableListOf(PlatformFault.NONE, fault))
        val store = ClaimStore(platform, NodeId("a"), SystemTrafficClock)
        val runner = launch { store.run() }
        val row = RowKey("r")
        val claim = checkNotNull(store.acquire(row, Digest("d")).second)
        store.record(claim, ForwardedResponse(201, "text/plain", 2, "ok".encodeToByteArray()))
        val recorded = (platform.row(row)?.value as RowValue.Claim).answer
        assertEquals(201, recorded?.statusCode)
        assertEquals(ClaimOutcome.Recorded(checkNotNull(recorded)), store.acquire(row, Digest("d")).first)
        runner.cancel()
    }

    /** Delays all commands until [firstCommandAllowed] is completed. */
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
        val ACQUIRED = ClaimOutcome.Acquired

        @JvmStatic
        fun updates(): List<PlatformFault> = PlatformFault.entries

        @JvmStatic
        fun cases(): List<Case> = listOf(
            Case(
                "claims that arrive during a transaction share the next one",
                listOf("a/1", "b/1", "c/1"),
                emptyList(),
                List(3) { ACQUIRED },
                listOf(1, 2),
            ),
            Case(
                "a conflict does not affect the other claims of its transaction",
                listOf("a/1", "a/1", "b/1"),
                outcomes = listOf(ACQUIRED, ClaimOutcome.Pending, ACQUIRED),
                transactions = listOf(1, 2, 1),
            ),
            Case(
                "only the first of two claims of one row in a batch is acquired",
                listOf("a/1", "b/1", "b/2"),
                outcomes = listOf(ACQUIRED, ACQUIRED, ClaimOutcome.KeyReused),
                transactions = listOf(1, 1, 1),
            ),
            Case(
                "a committed transaction whose result was lost acquires its claims",
                listOf("a/1", "b/1"),
                listOf(PlatformFault.LOST_AFTER, PlatformFault.LOST_AFTER),
                listOf(ACQUIRED, ACQUIRED),
                listOf(1, 1),
            ),
            Case(
                "a transaction that was lost before its commit fails its claims",
                listOf("a/1", "b/1"),
                listOf(PlatformFault.LOST_BEFORE),
                listOf(ClaimOutcome.Failed, ACQUIRED),
                listOf(1, 1),
            ),
            Case(
                "an unavailable store fails the claim",
                listOf("a/1"),
                listOf(PlatformFault.UNAVAILABLE),
                listOf(ClaimOutcome.Failed),
                listOf(1),
            ),
        )
    }
}
