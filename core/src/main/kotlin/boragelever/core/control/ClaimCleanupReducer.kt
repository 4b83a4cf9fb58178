package boragelever.core.control

import boragelever.core.Stamp
import boragelever.core.store.ObjectKey
import boragelever.core.store.Row
import boragelever.core.store.RowCondition
import boragelever.core.store.RowValue
import boragelever.core.store.RowWrite
import boragelever.core.store.StoreAnswer
import boragelever.core.store.StoreCommand

/**
 * Deletes claims and recorded answers that are older than any route keeps them, while this node holds the lease.
 *
 * The table is walked in pages, one about each minute. Answers of deletions are never read back: if one is lost and the
 * row still exists, the next walk finds the row again, and deleting what is already gone is not an error.
 */
internal fun reduceClaimCleanup(state: ControlState, event: Event): Transition {
    if (state.lease !is LeaseState.Held || state.lifecycle is LifecycleState.Draining) {
        return state.inCleanupPhase(ClaimCleanupPhase.Inactive).withoutEffects()
    }
    val stamp = event.stamp
    return when (val phase = state.claimCleanup.phase) {
        is ClaimCleanupPhase.Inactive -> state.nextPageLater(stamp).withoutEffects()
        is ClaimCleanupPhase.Waiting ->
            if (event is Event.Ticked) state.scanIfDue(phase, stamp) else state.withoutEffects()
        is ClaimCleanupPhase.Scanning -> state.answerTo(event, phase.request) { state.pageRead(it, stamp) }
        is ClaimCleanupPhase.DeletingAnswer ->
            state.answerTo(event, phase.request) { state.answerDeleted(phase, it, stamp) }
        is ClaimCleanupPhase.DeletingRows ->
            state.answerTo(event, phase.request) { state.rowsDeleted(phase, it, stamp) }
    }
}

private fun ControlState.inCleanupPhase(phase: ClaimCleanupPhase): ControlState =
    if (claimCleanup.phase == phase) this else copy(claimCleanup = claimCleanup.copy(phase = phase))

private fun ControlState.nextPageLater(stamp: Stamp): ControlState {
    val nextPageMillis = stamp.nowMillis + stamp.spreadMillis("claim-cleanup", PAGE_INTERVAL_MILLIS)
    return inCleanupPhase(ClaimCleanupPhase.Waiting(nextPageMillis))
}

private fun ControlState.scanIfDue(phase: ClaimCleanupPhase.Waiting, stamp: Stamp): Transition {
    if (stamp.nowMillis < phase.nextPageMillis || applied == null || !admitsStoreCalls()) return withoutEffects()
    val command = StoreCommand.ScanRows(CLAIM_PREFIX, ROWS_PER_PAGE, claimCleanup.after)
    val call = callStore(RequestOwner.CLAIM_CLEANUP, command)
    return call.send { inCleanupPhase(ClaimCleanupPhase.Scanning(call.request)) }
}

/** Moves on to the next page even if deletions of this one fail later, so that no row can hold up the walk. */
private fun ControlState.pageRead(answer: StoreAnswer, stamp: Stamp): Transition {
    val page = (answer as? StoreAnswer.RowsRead)?.rows ?: return nextPageLater(stamp).withoutEffects()
    val after = if (page.size < ROWS_PER_PAGE) null else page.last().key
    val keepMillis = keepClaimsMillis() ?: return nextPageLater(stamp).withoutEffects()
    val nowEpochMillis = stamp.nowMillis + identity.epochOffsetMillis
    val expired = page.filter { row ->
        val claim = row.value as? RowValue.Claim
        claim != null && nowEpochMillis - claim.claimedAtEpochMillis > keepMillis
    }
    val answers = expired.mapNotNull { (it.value as? RowValue.Claim)?.answer?.body }
    return copy(claimCleanup = claimCleanup.copy(after = after)).deleteNext(expired, answers, stamp)
}

/**
 * Time for which claims are kept, or `null` without a configuration.
 *
 * A claim row does not name its route, so the longest time of all routes holds for each claim.
 */
private fun ControlState.keepClaimsMillis(): Long? {
    val routes = applied?.configuration?.routes ?: return null
    val longestMillis = routes.values.maxOfOrNull { it.idempotency.keepOutcomeMillis } ?: 0
    return maxOf(longestMillis, MIN_KEEP_MILLIS) + CLOCK_MARGIN_MILLIS
}

/** Deletes answers before rows: an object whose row is gone would never be found again. */
private fun ControlState.deleteNext(rows: List<Row>, answers: List<ObjectKey>, stamp: Stamp): Transition {
    val answer = answers.firstOrNull()
    return when {
        rows.isEmpty() || !admitsStoreCalls() -> nextPageLater(stamp).withoutEffects()
        answer == null -> deleteRows(rows, stamp)
        else -> {
            val call = callStore(RequestOwner.CLAIM_CLEANUP, StoreCommand.DeleteObject(answer))
            call.send { inCleanupPhase(ClaimCleanupPhase.DeletingAnswer(call.request, rows, answers.drop(1))) }
        }
    }
}

/** The conditions keep a claim that was taken anew or got its answer since the page was read. */
private fun ControlState.deleteRows(rows: List<Row>, stamp: Stamp): Transition {
    val conditions = rows.map { RowCondition.RevisionIs(it.key, it.revision) }
    val writes = rows.map { RowWrite.Delete(it.key) }
    val call = callStore(RequestOwner.CLAIM_CLEANUP, StoreCommand.Transact(nextWriteId(stamp), conditions, writes))
    return call.send { inCleanupPhase(ClaimCleanupPhase.DeletingRows(call.request, rows)) }
}

private fun ControlState.answerDeleted(
    phase: ClaimCleanupPhase.DeletingAnswer,
    answer: StoreAnswer,
    stamp: Stamp,
): Transition =
    when (answer) {
        is StoreAnswer.ObjectDeleted, is StoreAnswer.ObjectMissing -> deleteNext(phase.rows, phase.answersLeft, stamp)
        else -> nextPageLater(stamp).withoutEffects()
    }

/** After a conflict the rows that changed are left out; the others are deleted without them. */
private fun ControlState.rowsDeleted(
    phase: ClaimCleanupPhase.DeletingRows,
    answer: StoreAnswer,
    stamp: Stamp,
): Transition {
    if (answer !is StoreAnswer.Conflicted) return nextPageLater(stamp).withoutEffects()
    val current = answer.rows.associate { it.key to it.revision }
    val same = phase.rows.filter { current[it.key] == it.revision }
    // A conflict without a changed row would be repeated without end.
    val next = if (same.size < phase.rows.size) same else emptyList()
    return deleteNext(next, emptyList(), stamp)
}

/** Prefix of the rows that reserve the single run of a keyed call. */
private const val CLAIM_PREFIX = "claim/"

/** Mean time between two pages. */
private const val PAGE_INTERVAL_MILLIS = 60_000L

/** Bounds a page to one read, at most as many deletions of answers, and a transaction of moderate size. */
private const val ROWS_PER_PAGE = 100

/** Claims are kept for 24 h whatever the routes say, as the documentation of keys promises to callers. */
private const val MIN_KEEP_MILLIS = 86_400_000L

/** The claiming node and the lease holder have different clocks; a fast clock must not end a claim early. */
private const val CLOCK_MARGIN_MILLIS = 3_600_000L
