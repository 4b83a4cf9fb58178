package boragelever.core.control

import boragelever.core.Epoch
import boragelever.core.EventContext
import boragelever.core.store.Row
import boragelever.core.store.RowCondition
import boragelever.core.store.RowKey
import boragelever.core.store.RowValue
import boragelever.core.store.RowWrite
import boragelever.core.store.StoreCommand
import boragelever.core.store.StoreFailure
import boragelever.core.store.StoreKeys
import boragelever.core.store.StoreResult

/** Acquires the publisher lease; [reduceHeldLease] takes over while this node holds it. */
internal fun reduceLease(state: ControlState, event: Event): Transition =
    when (state.identity.origin) {
        is ConfigOrigin.Folder -> reduceFolderLease(state, event)
        is ConfigOrigin.StoreRow -> state.withoutEffects()
    }

private fun reduceFolderLease(state: ControlState, event: Event): Transition =
    when (val lease = state.lease) {
        is LeaseState.Observing -> if (event is Event.Ticked) {
            state.observeLeaseIfDue(lease, event.context)
        } else {
            state.withoutEffects()
        }
        is LeaseState.Reading -> state.onResult(event, lease.request) { state.leaseRead(lease, it, event.context) }
        is LeaseState.Acquiring ->
            state.onResult(event, lease.request) { state.acquisitionCompleted(lease, it, event.context) }
        is LeaseState.ConfirmingAcquisition -> reduceConfirmation(state, lease, event)
        is LeaseState.Held -> reduceHeldLease(state, lease, event)
    }

/** Runs [handle] if [event] is the completion of the store command with [request]. */
internal inline fun ControlState.onResult(
    event: Event,
    request: RequestId?,
    handle: (StoreResult) -> Transition,
): Transition =
    if (event is Event.StoreCommandCompleted && event.request == request) handle(event.result) else withoutEffects()

/** Schedules the next read of the lease row and keeps [observed], the lease as last read. */
internal fun ControlState.resumeObserving(observed: ObservedLease?, context: EventContext): ControlState {
    val isCandidate = isLeaseCandidate()
    return copy(
        lease = LeaseState.Observing(context.nowMillis + leaseReadMillis(context, isCandidate), observed, isCandidate),
    )
}

/** Command that reads lease and head; the epoch of the head keeps epochs increasing if the lease row was deleted. */
internal val READ_LEASE_ROWS: StoreCommand = StoreCommand.ReadRows(listOf(StoreKeys.LEASE, StoreKeys.HEAD))

internal fun List<Row>.row(key: RowKey): Row? = firstOrNull { it.key == key }

/** Reads the lease row when due; draws a new time if members joined or left and this node's candidacy changed. */
private fun ControlState.observeLeaseIfDue(lease: LeaseState.Observing, context: EventContext): Transition {
    val dueMillis = lease.nextReadMillis
    return when {
        lifecycle is LifecycleState.Draining -> withoutEffects()
        dueMillis == null -> copy(lease = lease.copy(nextReadMillis = firstReadMillis(context))).withoutEffects()
        !lease.isCandidate && isLeaseCandidate() -> resumeObserving(lease.observed, context).withoutEffects()
        context.nowMillis < dueMillis || !admitsStoreCalls() -> withoutEffects()
        lease.isCandidate && !isLeaseCandidate() -> resumeObserving(lease.observed, context).withoutEffects()
        else -> {
            val call = callStore(RequestOwner.LEASE, READ_LEASE_ROWS)
            call.send { copy(lease = LeaseState.Reading(call.request, lease.observed)) }
        }
    }
}

/** Delays the first read until other members are known, so that nodes that start together do not all read the row. */
private fun ControlState.firstReadMillis(context: EventContext): Long =
    context.nowMillis + context.jitterAroundMillis("lease", FIRST_READ_DELAY_MILLIS)

private fun ControlState.leaseRead(lease: LeaseState.Reading, result: StoreResult, context: EventContext): Transition {
    if (result !is StoreResult.RowsRead) return resumeObserving(lease.observed, context).withoutEffects()
    val row = result.rows.row(StoreKeys.LEASE)
    val latest = observedLease(row, lease.observed, context.nowMillis)
    val isFree = latest == null || latest.isExpired(context.nowMillis)
    return if (isFree) acquireLease(result.rows, latest, context) else resumeObserving(latest, context).withoutEffects()
}

private fun ControlState.acquireLease(rows: List<Row>, observed: ObservedLease?, context: EventContext): Transition {
    val head = rows.row(StoreKeys.HEAD)?.value as? RowValue.Head
    val epoch = Epoch(maxOf(observed?.epoch?.value ?: 0, head?.epoch?.value ?: 0) + 1)
    val attempt = LeaseAttempt(nextWriteId(context), epoch, context.nowMillis, observed)
    val condition =
        if (observed == null) {
            RowCondition.Absent(StoreKeys.LEASE)
        } else {
            RowCondition.RevisionIs(StoreKeys.LEASE, observed.revision)
        }
    val write = RowWrite.Put(StoreKeys.LEASE, RowValue.Lease(identity.node, epoch, LEASE_DURATION_MILLIS))
    val call = callStore(RequestOwner.LEASE, StoreCommand.Transact(attempt.writeId, listOf(condition), listOf(write)))
    return call.send { copy(lease = LeaseState.Acquiring(call.request, attempt)) }
}

private fun ControlState.acquisitionCompleted(
    lease: LeaseState.Acquiring,
    result: StoreResult,
    context: EventContext,
): Transition =
    when (result) {
        is StoreResult.Committed -> becomeHolder(lease.attempt, result.rows.row(StoreKeys.LEASE), context)
        is StoreResult.Conflict -> {
            val observed = observedLease(result.rows.row(StoreKeys.LEASE), lease.attempt.observed, context.nowMillis)
            resumeObserving(observed, context).withoutEffects()
        }
        is StoreResult.StoreFailed ->
            if (result.failure is StoreFailure.OutcomeUnknown) {
                confirmAcquisition(LeaseState.ConfirmingAcquisition(lease.attempt, context.nowMillis))
            } else {
                resumeObserving(lease.attempt.observed, context).withoutEffects()
            }
        else -> resumeObserving(lease.attempt.observed, context).withoutEffects()
    }

private fun reduceConfirmation(
    state: ControlState,
    lease: LeaseState.ConfirmingAcquisition,
    event: Event,
): Transition {
    val isDue = event is Event.Ticked && lease.request == null && event.context.nowMillis >= lease.nextReadMillis
    return if (isDue) {
        state.confirmAcquisition(lease)
    } else {
        state.onResult(event, lease.request) { state.acquisitionConfirmed(lease, it, event.context) }
    }
}

private fun ControlState.confirmAcquisition(lease: LeaseState.ConfirmingAcquisition): Transition {
    if (!admitsStoreCalls()) return copy(lease = lease.copy(request = null)).withoutEffects()
    val call = callStore(RequestOwner.LEASE, READ_LEASE_ROWS)
    return call.send { copy(lease = lease.copy(request = call.request)) }
}

private fun ControlState.acquisitionConfirmed(
    lease: LeaseState.ConfirmingAcquisition,
    result: StoreResult,
    context: EventContext,
): Transition {
    if (result !is StoreResult.RowsRead) {
        val nextReadMillis = context.nowMillis + context.jitterAroundMillis("confirm", CONFIRM_RETRY_MILLIS)
        return copy(lease = lease.copy(request = null, nextReadMillis = nextReadMillis)).withoutEffects()
    }
    val row = result.rows.row(StoreKeys.LEASE)
    return if (row?.writeId == lease.attempt.writeId) {
        becomeHolder(lease.attempt, row, context)
    } else {
        resumeObserving(observedLease(row, lease.attempt.observed, context.nowMillis), context).withoutEffects()
    }
}

/** Enters [LeaseState.Held]. The lease runs from the time the acquisition was sent; a later result is ignored. */
private fun ControlState.becomeHolder(attempt: LeaseAttempt, row: Row?, context: EventContext): Transition {
    val expiresMillis = attempt.sentMillis + LEASE_DURATION_MILLIS
    if (row == null || context.nowMillis >= expiresMillis) {
        return resumeObserving(observedLease(row, null, context.nowMillis), context).withoutEffects()
    }
    val renewalMillis = attempt.sentMillis + LEASE_RENEWAL_INTERVAL_MILLIS
    return copy(lease = LeaseState.Held(attempt.epoch, row.revision, expiresMillis, renewalMillis))
        .with(report(Notice.LeaseAcquired(attempt.epoch)))
}

/** Mean delay of the first read of the lease row. */
private const val FIRST_READ_DELAY_MILLIS = 1_000L

/** Mean wait before a read that verifies a write of unknown outcome is repeated after it failed. */
internal const val CONFIRM_RETRY_MILLIS: Long = 500
