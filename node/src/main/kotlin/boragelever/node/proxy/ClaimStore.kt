package boragelever.node.proxy

import boragelever.core.Digest
import boragelever.core.NodeId
import boragelever.core.call.ClaimOutcome
import boragelever.core.store.ImmutableBytes
import boragelever.core.store.ObjectKey
import boragelever.core.store.RecordedResponse
import boragelever.core.store.Revision
import boragelever.core.store.Row
import boragelever.core.store.RowCondition
import boragelever.core.store.RowKey
import boragelever.core.store.RowValue
import boragelever.core.store.RowWrite
import boragelever.core.store.StoreCommand
import boragelever.core.store.StoreFailure
import boragelever.core.store.StoreResult
import boragelever.core.store.WriteId
import boragelever.platform.Platform
import io.github.oshai.kotlinlogging.KotlinLogging
import java.util.UUID
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay

private val log = KotlinLogging.logger {}

/** Rows in one transaction; bounds its size while the store is slow. */
private const val MAX_BATCH_ROWS = 64

/** Operations that wait for the store; beyond it claims fail at once, which refuses the calls as not run. */
private const val MAX_QUEUED_OPERATIONS = 1_024

/** Attempts to record an answer or to release a claim; with the doubling delay they span about three minutes. */
private const val MAX_UPDATE_ATTEMPTS = 10
private const val FIRST_UPDATE_DELAY_MILLIS = 200L

/** What an operation on a claim row came to. */
private sealed interface RowWriteResult {
    data class Written(val row: Row?) : RowWriteResult

    data class Conflicted(val current: Row?) : RowWriteResult

    data object Failed : RowWriteResult
}

private class ClaimRowOperation(
    val condition: RowCondition,
    val write: RowWrite,
    val result: CompletableDeferred<RowWriteResult> = CompletableDeferred(),
) {
    val key: RowKey get() = write.key
}

/** The answer of a claimed call as it is recorded. */
internal class ForwardedResponse(
    val statusCode: Int,
    val contentType: String?,
    val bodySizeBytes: Long,
    /** The whole body, or `null` if it exceeds the limit. */
    val body: ByteArray?,
)

/** A claim that this node holds. */
internal class HeldClaim(
    val row: RowKey,
    val requestDigest: Digest,
    val revision: Revision,
    val claimedAtEpochMillis: Long,
)

/**
 * Reserves the single run of keyed calls in the platform's table.
 *
 * One transaction is in flight at a time and carries all operations that gathered meanwhile, so that the store's
 * writes per second do not grow with the calls. A conflict concerns only the rows whose condition failed; the others
 * are written again without them.
 */
internal class ClaimStore(
    private val platform: Platform,
    private val node: NodeId,
    private val clock: TrafficClock,
    private val newWriteId: () -> WriteId = { WriteId(UUID.randomUUID().toString()) },
) {
    private val queued = Channel<ClaimRowOperation>(MAX_QUEUED_OPERATIONS)

    /** Executes operations until it is cancelled. */
    suspend fun run() {
        for (first in queued) {
            val batch = mutableListOf(first)
            while (batch.size < MAX_BATCH_ROWS) batch += queued.tryReceive().getOrNull() ?: break
            try {
                execute(batch)
            } catch (cancelled: CancellationException) {
                throw cancelled
            } catch (failure: Exception) {
                // Calls would wait for ever for an operation that no one executes.
                log.error(failure) { "[proxy] the platform failed unexpectedly; the claims of this batch are refused" }
                fail(batch)
            }
        }
    }

    /** Inserts the claim row if it is absent. The held claim is set if and only if the answer is `Acquired`. */
    suspend fun acquire(row: RowKey, requestDigest: Digest): Pair<ClaimOutcome, HeldClaim?> {
        val now = clock.epochMillis()
        val claim = RowValue.Claim(requestDigest, node, now)
        return when (val result = submit(RowCondition.Absent(row), RowWrite.Put(row, claim))) {
            is RowWriteResult.Written -> {
                val revision = result.row?.revision ?: return ClaimOutcome.Failed to null
                ClaimOutcome.Acquired to HeldClaim(row, requestDigest, revision, now)
            }
            is RowWriteResult.Conflicted -> answerOf(result.current, requestDigest) to null
            RowWriteResult.Failed -> ClaimOutcome.Failed to null
        }
    }

    /** Deletes a claim whose call provably did not run. */
    suspend fun release(claim: HeldClaim) {
        retryUntilWritten(claim) { update(claim, RowWrite.Delete(claim.row)) }
    }

    /** Stores the answer of a claimed call, its body first, so that a recorded answer always has its body. */
    suspend fun record(claim: HeldClaim, answer: ForwardedResponse) {
        val bytes = answer.body?.takeIf { it.isNotEmpty() }
        val key = bytes?.let { ObjectKey("answer/" + claim.row.value.substringAfter('/')) }
        val recorded = RecordedResponse(answer.statusCode, answer.contentType, key, answer.bodySizeBytes)
        val value = RowValue.Claim(claim.requestDigest, node, claim.claimedAtEpochMillis, recorded)
        retryUntilWritten(claim) {
            val stored = key?.let { putBody(it, bytes) } ?: true
            stored && update(claim, RowWrite.Put(claim.row, value))
        }
    }

    private suspend fun putBody(key: ObjectKey, bytes: ByteArray): Boolean =
        platform.execute(StoreCommand.PutObject(key, ImmutableBytes(bytes))) is StoreResult.ObjectWritten

    /** Reads the body of a recorded answer, or returns `null` if it cannot be read now. */
    suspend fun readBody(key: ObjectKey): ByteArray? =
        when (val answer = platform.execute(StoreCommand.GetObject(key))) {
            is StoreResult.ObjectRead -> answer.bytes.toByteArray()
            else -> null
        }

    /** Repeats [attempt] through an outage of some minutes; operations name a revision, so repeating them is safe. */
    private suspend fun retryUntilWritten(claim: HeldClaim, attempt: suspend () -> Boolean) {
        repeat(MAX_UPDATE_ATTEMPTS) { number ->
            if (attempt()) return
            delay(FIRST_UPDATE_DELAY_MILLIS shl number)
        }
        log.warn { "[proxy] claim ${claim.row} could not be updated; a repeat is answered with outcome unknown" }
    }

    private suspend fun update(claim: HeldClaim, write: RowWrite): Boolean =
        submit(RowCondition.RevisionIs(claim.row, claim.revision), write) != RowWriteResult.Failed

    private suspend fun submit(condition: RowCondition, write: RowWrite): RowWriteResult {
        val operation = ClaimRowOperation(condition, write)
        if (queued.trySend(operation).isFailure) return RowWriteResult.Failed
        return operation.result.await()
    }

    private fun answerOf(current: Row?, requestDigest: Digest): ClaimOutcome {
        val claim = current?.value as? RowValue.Claim ?: return ClaimOutcome.Failed
        return when {
            claim.requestDigest != requestDigest -> ClaimOutcome.KeyReused
            else -> claim.answer?.let { ClaimOutcome.Recorded(it) } ?: ClaimOutcome.Pending
        }
    }

    /** Executes [batch]; of several operations on one row, all but the first wait for the next transaction. */
    private suspend fun execute(batch: List<ClaimRowOperation>) {
        var remaining = batch
        while (remaining.isNotEmpty()) {
            val distinct = remaining.distinctBy { it.key }
            val completed = transact(distinct)
            remaining = remaining.filter { it !in completed }
        }
    }

    /** Executes one transaction and returns the operations that are settled by it: at least one. */
    private suspend fun transact(operations: List<ClaimRowOperation>): Set<ClaimRowOperation> {
        val writeId = newWriteId()
        val command = StoreCommand.Transact(writeId, operations.map { it.condition }, operations.map { it.write })
        return when (val answer = platform.execute(command)) {
            is StoreResult.Committed -> {
                val rows = answer.rows.associateBy { it.key }
                operations.onEach { it.result.complete(RowWriteResult.Written(rows[it.key])) }.toSet()
            }
            is StoreResult.Conflict -> completeConflict(operations, answer.rows.associateBy { it.key })
            is StoreResult.StoreFailed -> {
                if (answer.failure is StoreFailure.OutcomeUnknown) readBack(operations, writeId) else fail(operations)
            }
            else -> fail(operations)
        }
    }

    private fun completeConflict(operations: List<ClaimRowOperation>, rows: Map<RowKey, Row>): Set<ClaimRowOperation> {
        val conflicted = operations.filter { !it.condition.isSatisfiedBy(rows[it.key]) }
        if (conflicted.isEmpty()) return fail(operations)
        return conflicted.onEach { it.result.complete(RowWriteResult.Conflicted(rows[it.key])) }.toSet()
    }

    /**
     * Finds out what became of a transaction whose answer was lost.
     *
     * A row with the write id shows that it took effect. Without one it may still take effect, so nothing runs on the
     * strength of these claims and a claim that appears later is answered as pending.
     */
    private suspend fun readBack(operations: List<ClaimRowOperation>, writeId: WriteId): Set<ClaimRowOperation> {
        val answer = platform.execute(StoreCommand.ReadRows(operations.map { it.key }))
        val rows = (answer as? StoreResult.RowsRead)?.rows?.associateBy { it.key } ?: return fail(operations)
        operations.forEach { operation ->
            val row = rows[operation.key]
            val result = when {
                row?.writeId == writeId -> RowWriteResult.Written(row)
                row == null && operation.write is RowWrite.Delete -> RowWriteResult.Written(null)
                operation.condition.isSatisfiedBy(row) -> RowWriteResult.Failed
                else -> RowWriteResult.Conflicted(row)
            }
            operation.result.complete(result)
        }
        return operations.toSet()
    }

    private fun fail(operations: List<ClaimRowOperation>): Set<ClaimRowOperation> =
        operations.onEach { it.result.complete(RowWriteResult.Failed) }.toSet()
}

private fun RowCondition.isSatisfiedBy(row: Row?): Boolean =
    when (this) {
        is RowCondition.Absent -> row == null
        is RowCondition.RevisionIs -> row?.revision == revision
    }
