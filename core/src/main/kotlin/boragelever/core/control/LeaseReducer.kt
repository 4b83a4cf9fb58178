package boragelever.core.control

import boragelever.core.Epoch
import boragelever.core.Stamp
import boragelever.core.store.Row
import boragelever.core.store.RowCondition
import boragelever.core.store.RowKey
import boragelever.core.store.RowValue
import boragelever.core.store.RowWrite
import boragelever.core.store.StoreAnswer
import boragelever.core.store.StoreCommand
import boragelever.core.store.StoreFailure
import boragelever.core.store.StoreKeys

/** Acquires the publisher lease; [reduceHeldLease] takes over while this node holds it. */
internal fun reduceLease(state: ControlState, event: Event): Transition =
    when (state.identity.origin) {
        is ConfigOrigin.Folder -> reduceFolderLease(state, event)
        is ConfigOrigin.StoreRow -> state.withoutEffects()
    }

private fun reduceFolderLease(state: ControlState, event: Event): Transition =
    when (val lease = state.lease) {
        is LeaseState.Observing -> if (event is Event.Ticked) {
            state.observeLeaseIfDue(lease, event.stamp)
        } else {
            state.withoutEffects()
        }
        is LeaseState.Reading -> state.onResult(event, lease.request) { state.leaseRead(lease, it, event.stamp) }
        is LeaseState.Acquiring ->
            state.onResult(event, lease.request) { state.acquisitionCompleted(lease, it, event.stamp) }
        is LeaseState.ConfirmingAcquisition -> reduceConfirmation(state, lease, event)
        is LeaseState.Held -> reduceHeldLease(state, lease, event)
    }

/** Runs [handle] if [event] is the completion of the store command with [request]. */
internal inline fun ControlState.onResult(
    event: Event,
    request: RequestId?,
    handle: (StoreAnswer) -> Transition,
): Transition =
    if (event is Event.StoreCommandCompleted && event.request == request) handle(event.result) else withoutEffects()

/** Schedules the next read of the lease row and keeps [observed], the lease as last read. */
internal fun ControlState.resumeObserving(observed: ObservedLease?, stamp: Stamp): ControlState {
    val isCandidate = isLeaseCandidate()
    return copy(
        lease = LeaseState.Observing(stamp.nowMillis + leaseReadMillis(stamp, isCandidate), observed, isCandidate),
    )
}

/** Reads the lease and the head; the epoch of the head keeps epochs increasing if the lease row was deleted. */
internal val LEASE_ROWS: StoreCommand = StoreCommand.ReadRows(listOf(StoreKeys.LEASE, StoreKeys.HEAD))

internal fun List<Row>.row(key: RowKey): Row? = firstOrNull { it.key == key }

/** Reads the lease row when due; draws a new time if members came or went and this node's candidacy changed. */
private fun ControlState.observeLeaseIfDue(lease: LeaseState.Observing, stamp: Stamp): Transition {
    val dueMillis = lease.nextReadMillis
    return when {
        lifecycle is LifecycleState.Draining -> withoutEffects()
        dueMillis == null -> copy(lease = lease.copy(nextReadMillis = firstReadMillis(stamp))).withoutEffects()
        !lease.isCandidate && isLeaseCandidate() -> resumeObserving(lease.observed, stamp).withoutEffects()
        stamp.nowMillis < dueMillis || !admitsStoreCalls() -> withoutEffects()
        lease.isCandidate && !isLeaseCandidate() -> resumeObserving(lease.observed, stamp).withoutEffects()
        else -> {
            val call = callStore(RequestOwner.LEASE, LEASE_ROWS)
            call.send { copy(lease = LeaseState.Reading(call.request, lease.observed)) }
        }
    }
}

/** Delays the first read until other members are known, so that nodes that start together do not all read at once. */
private fun ControlState.firstReadMillis(stamp: Stamp): Long =
    stamp.nowMillis + stamp.spreadMillis("lease", FIRST_READ_DELAY_MILLIS)

private fun ControlState.leaseRead(lease: LeaseState.Reading, result: StoreAnswer, stamp: Stamp): Transition {
    if (result !is StoreAnswer.RowsRead) return resumeObserving(lease.observed, stamp).withoutEffects()
    val row = result.rows.row(StoreKeys.LEASE)
    val observed = observedLease(row, lease.observed, stamp.nowMillis)
    val isFree = observed == null || observed.isExpired(stamp.nowMillis)
    return if (isFree) acquire(result.rows, observed, stamp) else resumeObserving(observed, stamp).withoutEffects()
}

private fun ControlState.acquire(rows: List<Row>, observed: ObservedLease?, stamp: Stamp): Transition {
    val head = rows.row(StoreKeys.HEAD)?.value as? RowValue.Head
    val epoch = Epoch(maxOf(observed?.epoch?.value ?: 0, head?.epoch?.value ?: 0) + 1)
    val attempt = LeaseAttempt(nextWriteId(stamp), epoch, stamp.nowMillis, observed)
    val condition =
        if (observed ==
            null
        ) {
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
    result: StoreAnswer,
    stamp: Stamp,
): Transition =
    when (result) {
        is StoreAnswer.Committed -> becomeHolder(lease.attempt, result.rows.row(StoreKeys.LEASE), stamp)
        is StoreAnswer.Conflicted -> {
            val observed = observedLease(result.rows.row(StoreKeys.LEASE), lease.attempt.observed, stamp.nowMillis)
            resumeObserving(observed, stamp).withoutEffects()
        }
        is StoreAnswer.StoreFailed ->
            if (result.failure is StoreFailure.AnswerLost) {
                confirmAcquisition(LeaseState.ConfirmingAcquisition(lease.attempt, stamp.nowMillis))
            } else {
                resumeObserving(lease.attempt.observed, stamp).withoutEffects()
            }
        else -> resumeObserving(lease.attempt.observed, stamp).withoutEffects()
    }

private fun reduceConfirmation(
    state: ControlState,
    lease: LeaseState.ConfirmingAcquisition,
    event: Event,
): Transition {
    val isDue = event is Event.Ticked && lease.request == null && event.stamp.nowMillis >= lease.nextReadMillis
    return if (isDue) {
        state.confirmAcquisition(lease)
    } else {
        state.onResult(event, lease.request) { state.acquisitionConfirmed(lease, it, event.stamp) }
    }
}

private fun ControlState.confirmAcquisition(lease: LeaseState.ConfirmingAcquisition): Transition {
    if (!admitsStoreCalls()) return copy(lease = lease.copy(request = null)).withoutEffects()
    val call = callStore(RequestOwner.LEASE, LEASE_ROWS)
    return call.send { copy(lease = lease.copy(request = call.request)) }
}

private fun ControlState.acquisitionConfirmed(
    lease: LeaseState.ConfirmingAcquisition,
    result: StoreAnswer,
    stamp: Stamp,
): Transition {
    if (result !is StoreAnswer.RowsRead) {
        val nextReadMillis = stamp.nowMillis + stamp.spreadMillis("confirm", CONFIRM_RETRY_MILLIS)
        return copy(lease = lease.copy(request = null, nextReadMillis = nextReadMillis)).withoutEffects()
    }
    val row = result.rows.row(StoreKeys.LEASE)
    return if (row?.writeId == lease.attempt.writeId) {
        becomeHolder(lease.attempt, row, stamp)
    } else {
        resumeObserving(observedLease(row, lease.attempt.observed, stamp.nowMillis), stamp).withoutEffects()
    }
}

/** Enters [LeaseState.Held]. It runs from the time the acquisition was sent; results after the expiry are late. */
private fun ControlState.becomeHolder(attempt: LeaseAttempt, row: Row?, stamp: Stamp): Transition {
    val expiresMillis = attempt.sentMillis + LEASE_DURATION_MILLIS
    if (row == null || stamp.nowMillis >= expiresMillis) {
        return resumeObserving(observedLease(row, null, stamp.nowMillis), stamp).withoutEffects()
    }
    val renewalMillis = attempt.sentMillis + LEASE_RENEWAL_INTERVAL_MILLIS
    return copy(lease = LeaseState.Held(attempt.epoch, row.revision, expiresMillis, renewalMillis))
        .with(report(Notice.LeaseAcquired(attempt.epoch)))
}

/** Mean delay of the first read of the lease row. */
private const val FIRST_READ_DELAY_MILLIS = 1_000L

/** Mean wait before a read that verifies a write of unknown outcome is repeated after it failed. */
internal const val CONFIRM_RETRY_MILLIS: Long = 500
