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

/** Acquires the publisher lease. What happens while it is held is in [reduceHeldLease]. */
internal fun reduceLease(state: ControlState, event: Event): Transition =
    when (state.identity.origin) {
        is ConfigOrigin.Folder -> reduceFolderLease(state, event)
        is ConfigOrigin.StoreRow -> state.withoutEffects()
    }

private fun reduceFolderLease(state: ControlState, event: Event): Transition =
    when (val lease = state.lease) {
        is LeaseState.Observing -> if (event is Event.Ticked) {
            state.observeLease(
                lease,
                event.stamp,
            )
        } else {
            state.withoutEffects()
        }
        is LeaseState.Reading -> state.answerTo(event, lease.request) { state.leaseRead(lease, it, event.stamp) }
        is LeaseState.Acquiring -> state.answerTo(event, lease.request) { state.acquired(lease, it, event.stamp) }
        is LeaseState.ConfirmingAcquisition -> reduceConfirmation(state, lease, event)
        is LeaseState.Held -> reduceHeldLease(state, lease, event)
    }

/** Runs [handle] if [event] is the store's answer to [request]. */
internal inline fun ControlState.answerTo(
    event: Event,
    request: RequestId?,
    handle: (StoreAnswer) -> Transition,
): Transition =
    if (event is Event.StoreCommandCompleted && event.request == request) handle(event.result) else withoutEffects()

/** Waits for the next read of the lease row with what is known about it. */
internal fun ControlState.observeLeaseAgain(seen: ObservedLease?, stamp: Stamp): ControlState {
    val isCandidate = isLeaseCandidate()
    return copy(lease = LeaseState.Observing(stamp.nowMillis + leaseReadMillis(stamp, isCandidate), seen, isCandidate))
}

/** The rows that every step of the lease looks at: the head's epoch guards against a lease row that was deleted. */
internal val LEASE_ROWS: StoreCommand = StoreCommand.ReadRows(listOf(StoreKeys.LEASE, StoreKeys.HEAD))

internal fun List<Row>.row(key: RowKey): Row? = firstOrNull { it.key == key }

/** The time drawn for a candidate doesn't hold for other nodes, and the other way round, as members come and go. */
private fun ControlState.observeLease(lease: LeaseState.Observing, stamp: Stamp): Transition {
    val due = lease.nextReadMillis
    return when {
        lifecycle is LifecycleState.Draining -> withoutEffects()
        due == null -> copy(lease = lease.copy(nextReadMillis = firstRead(stamp))).withoutEffects()
        !lease.isCandidate && isLeaseCandidate() -> observeLeaseAgain(lease.observed, stamp).withoutEffects()
        stamp.nowMillis < due || !admitsStoreCalls() -> withoutEffects()
        lease.isCandidate && !isLeaseCandidate() -> observeLeaseAgain(lease.observed, stamp).withoutEffects()
        else -> {
            val call = callStore(RequestOwner.LEASE, LEASE_ROWS)
            call.send { copy(lease = LeaseState.Reading(call.request, lease.observed)) }
        }
    }
}

/** The first read waits until other members had time to show up, so that a mass start doesn't read all at once. */
private fun ControlState.firstRead(stamp: Stamp): Long =
    stamp.nowMillis + stamp.spreadMillis("lease", FIRST_READ_MILLIS)

private fun ControlState.leaseRead(lease: LeaseState.Reading, answer: StoreAnswer, stamp: Stamp): Transition {
    if (answer !is StoreAnswer.RowsRead) return observeLeaseAgain(lease.observed, stamp).withoutEffects()
    val row = answer.rows.row(StoreKeys.LEASE)
    val seen = observedLease(row, lease.observed, stamp.nowMillis)
    val free = seen == null || seen.isExpired(stamp.nowMillis)
    return if (free) acquire(answer.rows, seen, stamp) else observeLeaseAgain(seen, stamp).withoutEffects()
}

private fun ControlState.acquire(rows: List<Row>, seen: ObservedLease?, stamp: Stamp): Transition {
    val head = rows.row(StoreKeys.HEAD)?.value as? RowValue.Head
    val epoch = Epoch(maxOf(seen?.epoch?.value ?: 0, head?.epoch?.value ?: 0) + 1)
    val attempt = LeaseAttempt(nextWriteId(stamp), epoch, stamp.nowMillis, seen)
    val condition =
        if (seen ==
            null
        ) {
            RowCondition.Absent(StoreKeys.LEASE)
        } else {
            RowCondition.RevisionIs(StoreKeys.LEASE, seen.revision)
        }
    val write = RowWrite.Put(StoreKeys.LEASE, RowValue.Lease(identity.node, epoch, LEASE_DURATION_MILLIS))
    val call = callStore(RequestOwner.LEASE, StoreCommand.Transact(attempt.writeId, listOf(condition), listOf(write)))
    return call.send { copy(lease = LeaseState.Acquiring(call.request, attempt)) }
}

private fun ControlState.acquired(lease: LeaseState.Acquiring, answer: StoreAnswer, stamp: Stamp): Transition =
    when (answer) {
        is StoreAnswer.Committed -> hold(lease.attempt, answer.rows.row(StoreKeys.LEASE), stamp)
        is StoreAnswer.Conflicted -> {
            val seen = observedLease(answer.rows.row(StoreKeys.LEASE), lease.attempt.observed, stamp.nowMillis)
            observeLeaseAgain(seen, stamp).withoutEffects()
        }
        is StoreAnswer.StoreFailed ->
            if (answer.failure is StoreFailure.AnswerLost) {
                confirmAcquisition(LeaseState.ConfirmingAcquisition(lease.attempt, stamp.nowMillis))
            } else {
                observeLeaseAgain(lease.attempt.observed, stamp).withoutEffects()
            }
        else -> observeLeaseAgain(lease.attempt.observed, stamp).withoutEffects()
    }

private fun reduceConfirmation(
    state: ControlState,
    lease: LeaseState.ConfirmingAcquisition,
    event: Event,
): Transition {
    val due = event is Event.Ticked && lease.request == null && event.stamp.nowMillis >= lease.nextReadMillis
    return if (due) {
        state.confirmAcquisition(lease)
    } else {
        state.answerTo(event, lease.request) { state.acquisitionConfirmed(lease, it, event.stamp) }
    }
}

private fun ControlState.confirmAcquisition(lease: LeaseState.ConfirmingAcquisition): Transition {
    if (!admitsStoreCalls()) return copy(lease = lease.copy(request = null)).withoutEffects()
    val call = callStore(RequestOwner.LEASE, LEASE_ROWS)
    return call.send { copy(lease = lease.copy(request = call.request)) }
}

private fun ControlState.acquisitionConfirmed(
    lease: LeaseState.ConfirmingAcquisition,
    answer: StoreAnswer,
    stamp: Stamp,
): Transition {
    if (answer !is StoreAnswer.RowsRead) {
        val nextReadMillis = stamp.nowMillis + stamp.spreadMillis("confirm", CONFIRM_MILLIS)
        return copy(lease = lease.copy(request = null, nextReadMillis = nextReadMillis)).withoutEffects()
    }
    val row = answer.rows.row(StoreKeys.LEASE)
    return if (row?.writeId == lease.attempt.writeId) {
        hold(lease.attempt, row, stamp)
    } else {
        observeLeaseAgain(observedLease(row, lease.attempt.observed, stamp.nowMillis), stamp).withoutEffects()
    }
}

/** Holds the lease, counted from the moment when the acquisition was sent; an answer after the expiry is too late. */
private fun ControlState.hold(attempt: LeaseAttempt, row: Row?, stamp: Stamp): Transition {
    val expiresMillis = attempt.sentMillis + LEASE_DURATION_MILLIS
    if (row == null || stamp.nowMillis >= expiresMillis) {
        return observeLeaseAgain(observedLease(row, null, stamp.nowMillis), stamp).withoutEffects()
    }
    val renewalMillis = attempt.sentMillis + LEASE_RENEWAL_MILLIS
    return copy(lease = LeaseState.Held(attempt.epoch, row.revision, expiresMillis, renewalMillis))
        .with(report(Notice.LeaseAcquired(attempt.epoch)))
}

private const val FIRST_READ_MILLIS = 1_000L

/** Mean wait before a failed read-back is repeated. */
internal const val CONFIRM_MILLIS: Long = 500
