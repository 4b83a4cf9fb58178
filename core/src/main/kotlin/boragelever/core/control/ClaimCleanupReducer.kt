package boragelever.core.control

import boragelever.core.EventContext
import boragelever.core.store.ObjectKey
import boragelever.core.store.Row
import boragelever.core.store.RowCondition
import boragelever.core.store.RowValue
import boragelever.core.store.RowWrite
import boragelever.core.store.StoreCommand
import boragelever.core.store.StoreResult

/**
 * Deletes claims and recorded responses that are older than the longest retention of any route, while this node holds
 * the publisher lease.
 *
 * A sweep over the claim rows reads about one page per minute. A deletion of unknown outcome is not verified: if the
 * row still exists, the next sweep finds it again, and deleting an absent object or row is not an error.
 */
internal fun reduceClaimCleanup(state: ControlState, event: Event): Transition {
    if (state.lease !is LeaseState.Held || state.lifecycle is LifecycleState.Draining) {
        return state.withCleanupPhase(ClaimCleanupPhase.Inactive).withoutEffects()
    }
    val context = event.context
    return when (val phase = state.claimCleanup.phase) {
        is ClaimCleanupPhase.Inactive -> state.scheduleNextPage(context).withoutEffects()
        is ClaimCleanupPhase.Waiting ->
            if (event is Event.Ticked) state.scanIfDue(phase, context) else state.withoutEffects()
        is ClaimCleanupPhase.Scanning -> state.onResult(event, phase.request) { state.pageRead(it, context) }
        is ClaimCleanupPhase.DeletingResponse ->
            state.onResult(event, phase.request) { state.responseDeleted(phase, it, context) }
        is ClaimCleanupPhase.DeletingRows ->
            state.onResult(event, phase.request) { state.rowsDeleted(phase, it, context) }
    }
}

private fun ControlState.withCleanupPhase(phase: ClaimCleanupPhase): ControlState =
    if (claimCleanup.phase == phase) this else copy(claimCleanup = claimCleanup.copy(phase = phase))

private fun ControlState.scheduleNextPage(context: EventContext): ControlState {
    val nextPageMillis = context.nowMillis + context.jitterAroundMillis("claim-cleanup", PAGE_INTERVAL_MILLIS)
    return withCleanupPhase(ClaimCleanupPhase.Waiting(nextPageMillis))
}

private fun ControlState.scanIfDue(phase: ClaimCleanupPhase.Waiting, context: EventContext): Transition {
    if (context.nowMillis < phase.nextPageMillis || applied == null || !admitsStoreCalls()) return withoutEffects()
    val command = StoreCommand.ScanRows(CLAIM_PREFIX, ROWS_PER_PAGE, claimCleanup.cursor)
    val call = callStore(RequestOwner.CLAIM_CLEANUP, command)
    return call.send { withCleanupPhase(ClaimCleanupPhase.Scanning(call.request)) }
}

/** Advances the cursor even if deletions of this page fail later, so that no row can block the sweep. */
private fun ControlState.pageRead(result: StoreResult, context: EventContext): Transition {
    val page = (result as? StoreResult.RowsRead)?.rows ?: return scheduleNextPage(context).withoutEffects()
    val nextCursor = if (page.size < ROWS_PER_PAGE) null else page.last().key
    val retentionMillis = claimRetentionMillis() ?: return scheduleNextPage(context).withoutEffects()
    val nowEpochMillis = context.nowMillis + identity.epochOffsetMillis
    val expired = page.filter { row ->
        val claim = row.value as? RowValue.Claim
        claim != null && nowEpochMillis - claim.claimedAtEpochMillis > retentionMillis
    }
    val responses = expired.mapNotNull { (it.value as? RowValue.Claim)?.answer?.body }
    return copy(claimCleanup = claimCleanup.copy(cursor = nextCursor)).deleteNext(expired, responses, context)
}

/**
 * Retention of claims in milliseconds, or `null` without a configuration.
 *
 * A claim row does not contain its route, so the longest retention of all routes applies to every claim.
 */
private fun ControlState.claimRetentionMillis(): Long? {
    val routes = applied?.configuration?.routes ?: return null
    val longestRetentionMillis = routes.values.maxOfOrNull { it.idempotency.keepOutcomeMillis } ?: 0
    return maxOf(longestRetentionMillis, MIN_RETENTION_MILLIS) + CLOCK_MARGIN_MILLIS
}

/** Deletes recorded responses before their rows: an object without a row would never be found again. */
private fun ControlState.deleteNext(rows: List<Row>, responses: List<ObjectKey>, context: EventContext): Transition {
    val response = responses.firstOrNull()
    return when {
        rows.isEmpty() || !admitsStoreCalls() -> scheduleNextPage(context).withoutEffects()
        response == null -> deleteRows(rows, context)
        else -> {
            val call = callStore(RequestOwner.CLAIM_CLEANUP, StoreCommand.DeleteObject(response))
            call.send { withCleanupPhase(ClaimCleanupPhase.DeletingResponse(call.request, rows, responses.drop(1))) }
        }
    }
}

/** Deletes [rows] on condition that no claim was acquired again or got its response since the page was read. */
private fun ControlState.deleteRows(rows: List<Row>, context: EventContext): Transition {
    val conditions = rows.map { RowCondition.RevisionIs(it.key, it.revision) }
    val writes = rows.map { RowWrite.Delete(it.key) }
    val call = callStore(RequestOwner.CLAIM_CLEANUP, StoreCommand.Transact(nextWriteId(context), conditions, writes))
    return call.send { withCleanupPhase(ClaimCleanupPhase.DeletingRows(call.request, rows)) }
}

private fun ControlState.responseDeleted(
    phase: ClaimCleanupPhase.DeletingResponse,
    result: StoreResult,
    context: EventContext,
): Transition =
    when (result) {
        is StoreResult.ObjectDeleted, is StoreResult.ObjectMissing ->
            deleteNext(phase.rows, phase.remainingResponses, context)
        else -> scheduleNextPage(context).withoutEffects()
    }

/** After a conflict, retries the deletion without the rows that changed. */
private fun ControlState.rowsDeleted(
    phase: ClaimCleanupPhase.DeletingRows,
    result: StoreResult,
    context: EventContext,
): Transition {
    if (result !is StoreResult.Conflict) return scheduleNextPage(context).withoutEffects()
    val currentRevisions = result.rows.associate { it.key to it.revision }
    val unchangedRows = phase.rows.filter { currentRevisions[it.key] == it.revision }
    // A conflict without a changed row would repeat forever.
    val next = if (unchangedRows.size < phase.rows.size) unchangedRows else emptyList()
    return deleteNext(next, emptyList(), context)
}

/** Key prefix of the claim rows, each of which reserves the single execution of a call with an idempotency key. */
private const val CLAIM_PREFIX = "claim/"

/** Mean interval between two pages. */
private const val PAGE_INTERVAL_MILLIS = 60_000L

/** Bounds a page to one read, at most that many deletions of recorded responses, and one transaction of that size. */
private const val ROWS_PER_PAGE = 100

/** Claims are kept for at least 24 h whatever the routes configure, as documented to callers for idempotency keys. */
private const val MIN_RETENTION_MILLIS = 86_400_000L

/** The claiming node and the lease holder have different clocks; a fast clock must not expire a claim early. */
private const val CLOCK_MARGIN_MILLIS = 3_600_000L
