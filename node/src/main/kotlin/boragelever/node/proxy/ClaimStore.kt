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
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import java.util.UUID

private val log = KotlinLogging.logger {}

/** Upper limit of rows per transaction, which bounds its size while the store is slow. */
private const val MAX_BATCH_ROWS = 64

/** Upper limit of queued operations; further claims fail immediately, and their calls are refused as not run. */
private const val MAX_QUEUED_OPERATIONS = 1_024

/** Attempts to record a response or to release a claim; with the doubling delay they span about three minutes. */
private const val MAX_UPDATE_ATTEMPTS = 10
private const val FIRST_UPDATE_DELAY_MILLIS = 200L

/** Result of an operation on a claim row. */
private sealed interface RowWriteResult {
    /** The transaction was committed; [row] is the new row, or `null` after a deletion. */
    data class Written(val row: Row?) : RowWriteResult

    /** The condition failed; [current] is the stored row, or `null` if there is none. */
    data class Conflicted(val current: Row?) : RowWriteResult

    /** The store did not commit the operation, or it is not known whether it will. */
    data object Failed : RowWriteResult
}

/** A conditional write of one claim row; [result] is completed when the store has settled it. */
private class ClaimRowOperation(
    val condition: RowCondition,
    val write: RowWrite,
    val result: CompletableDeferred<RowWriteResult> = CompletableDeferred(),
) {
    val key: RowKey get() = write.key
}

/** The response of a claimed call, to be recorded for client retries. */
internal class ForwardedResponse(
    val statusCode: Int,
    val contentType: String?,
    val bodySizeBytes: Long,
    /** The complete body, or `null` if it exceeds the limit. */
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
 * One transaction is in flight at a time, and the operations submitted meanwhile are batched into the next one, so that
 * the store's writes per second do not grow with the calls. A conflict ends only the operations whose condition failed;
 * the others are retried without them.
 */
internal class ClaimStore(
    private val platform: Platform,
    private val node: NodeId,
    private val clock: TrafficClock,
    private val newWriteId: () -> WriteId = { WriteId(UUID.randomUUID().toString()) },
) {
    private val queue = Channel<ClaimRowOperation>(MAX_QUEUED_OPERATIONS)

    /** Executes the queued operations until it is cancelled. */
    suspend fun run() {
        for (first in queue) {
            val batch = mutableListOf(first)
            while (batch.size < MAX_BATCH_ROWS) batch += queue.tryReceive().getOrNull() ?: break
            try {
                execute(batch)
            } catch (cancelled: CancellationException) {
                throw cancelled
            } catch (failure: Exception) {
                // The calls would wait forever for an operation that is never completed.
                log.error(failure) { "[proxy] a claim transaction failed unexpectedly; its operations count as failed" }
                fail(batch)
            }
        }
    }

    /** Inserts the claim row if it is absent. The claim is not `null` if and only if the row was inserted. */
    suspend fun acquire(row: RowKey, requestDigest: Digest): Pair<ClaimOutcome, HeldClaim?> {
        val now = clock.epochMillis()
        val claim = RowValue.Claim(requestDigest, node, now)
        return when (val result = submit(RowCondition.Absent(row), RowWrite.Put(row, claim))) {
            is RowWriteResult.Written -> {
                val revision = result.row?.revision ?: return ClaimOutcome.Failed to null
                ClaimOutcome.Acquired to HeldClaim(row, requestDigest, revision, now)
            }
            is RowWriteResult.Conflicted -> outcomeOf(result.current, requestDigest) to null
            RowWriteResult.Failed -> ClaimOutcome.Failed to null
        }
    }

    /** Deletes the claim of a call that provably did not run. */
    suspend fun release(claim: HeldClaim) {
        retryUntilWritten(claim) { update(claim, RowWrite.Delete(claim.row)) }
    }

    /** Stores the response of a claimed call. The body is written first, so that a recorded response has its body. */
    suspend fun record(claim: HeldClaim, response: ForwardedResponse) {
        val bytes = response.body?.takeIf { it.isNotEmpty() }
        val key = bytes?.let { ObjectKey("answer/" + claim.row.value.substringAfter('/')) }
        val recorded = RecordedResponse(response.statusCode, response.contentType, key, response.bodySizeBytes)
        val value = RowValue.Claim(claim.requestDigest, node, claim.claimedAtEpochMillis, recorded)
        retryUntilWritten(claim) {
            val stored = key?.let { putBody(it, bytes) } ?: true
            stored && update(claim, RowWrite.Put(claim.row, value))
        }
    }

    private suspend fun putBody(key: ObjectKey, bytes: ByteArray): Boolean =
        platform.execute(StoreCommand.PutObject(key, ImmutableBytes(bytes))) is StoreResult.ObjectWritten

    /** Reads the body of a recorded response; returns `null` if it cannot be read now. */
    suspend fun readBody(key: ObjectKey): ByteArray? =
        when (val result = platform.execute(StoreCommand.GetObject(key))) {
            is StoreResult.ObjectRead -> result.bytes.toByteArray()
            else -> null
        }

    /** Retries [attempt] for about three minutes; it is idempotent, because its operations name a revision. */
    private suspend fun retryUntilWritten(claim: HeldClaim, attempt: suspend () -> Boolean) {
        repeat(MAX_UPDATE_ATTEMPTS) { number ->
            if (attempt()) return
            delay(FIRST_UPDATE_DELAY_MILLIS shl number)
        }
        log.warn { "[proxy] claim ${claim.row} could not be updated; client retries with its key get outcome unknown" }
    }

    private suspend fun update(claim: HeldClaim, write: RowWrite): Boolean =
        submit(RowCondition.RevisionIs(claim.row, claim.revision), write) != RowWriteResult.Failed

    private suspend fun submit(condition: RowCondition, write: RowWrite): RowWriteResult {
        val operation = ClaimRowOperation(condition, write)
        if (queue.trySend(operation).isFailure) return RowWriteResult.Failed
        return operation.result.await()
    }

    private fun outcomeOf(current: Row?, requestDigest: Digest): ClaimOutcome {
        val claim = current?.value as? RowValue.Claim ?: return ClaimOutcome.Failed
        return when {
            claim.requestDigest != requestDigest -> ClaimOutcome.KeyReused
            else -> claim.answer?.let { ClaimOutcome.Recorded(it) } ?: ClaimOutcome.Pending
        }
    }

    /** Executes [batch]; each transaction has at most one operation per row, and the rest follows in the next one. */
    private suspend fun execute(batch: List<ClaimRowOperation>) {
        var remaining = batch
        while (remaining.isNotEmpty()) {
            val distinct = remaining.distinctBy { it.key }
            val completed = transact(distinct)
            remaining = remaining.filter { it !in completed }
        }
    }

    /** Executes one transaction and returns the operations that it completed: at least one. */
    private suspend fun transact(operations: List<ClaimRowOperation>): Set<ClaimRowOperation> {
        val writeId = newWriteId()
        val command = StoreCommand.Transact(writeId, operations.map { it.condition }, operations.map { it.write })
        return when (val result = platform.execute(command)) {
            is StoreResult.Committed -> {
                val rows = result.rows.associateBy { it.key }
                operations.onEach { it.result.complete(RowWriteResult.Written(rows[it.key])) }.toSet()
            }
            is StoreResult.Conflict -> completeConflict(operations, result.rows.associateBy { it.key })
            is StoreResult.StoreFailed -> {
                if (result.failure is StoreFailure.OutcomeUnknown) readBack(operations, writeId) else fail(operations)
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
     * Reads the rows of a transaction whose result was lost.
     *
     * A row with [writeId] shows that the transaction was committed. Otherwise it may still be committed later, so its
     * claims count as failed, and a claim row that appears later makes client retries pending.
     */
    private suspend fun readBack(operations: List<ClaimRowOperation>, writeId: WriteId): Set<ClaimRowOperation> {
        val storeResult = platform.execute(StoreCommand.ReadRows(operations.map { it.key }))
        val rows = (storeResult as? StoreResult.RowsRead)?.rows?.associateBy { it.key } ?: return fail(operations)
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
