package boragelever.core.control

import boragelever.core.Stamp
import boragelever.core.store.Row
import boragelever.core.store.RowCondition
import boragelever.core.store.RowValue
import boragelever.core.store.RowWrite
import boragelever.core.store.StoreAnswer
import boragelever.core.store.StoreCommand
import boragelever.core.store.StoreFailure
import boragelever.core.store.StoreKeys

/** Renews, releases or loses the publisher lease while this node holds it. */
internal fun reduceHeldLease(state: ControlState, lease: LeaseState.Held, event: Event): Transition {
    val now = event.stamp.nowMillis
    return when {
        now >= lease.expiresMillis -> state.loseLease(lease, lease.asSeen(), event.stamp)
        event is Event.Ticked -> state.tickHeld(lease, event.stamp)
        else ->
            when (val writer = lease.writer) {
                is PendingLeaseWrite.Idle, is PendingLeaseWrite.Publishing -> state.withoutEffects()
                is PendingLeaseWrite.Renewing ->
                    state.answerTo(event, writer.request) { state.renewalAnswered(lease, writer, it, event.stamp) }
                is PendingLeaseWrite.Confirming ->
                    state.answerTo(event, writer.request) { state.renewalConfirmed(lease, writer, it, event.stamp) }
                is PendingLeaseWrite.Releasing ->
                    state.answerTo(event, writer.request) { state.releaseLease(lease, event.stamp) }
            }
    }
}

/** Gives up the belief to hold the lease; [seen] is the row as far as known. */
internal fun ControlState.loseLease(lease: LeaseState.Held, seen: ObservedLease?, stamp: Stamp): Transition =
    observeLeaseAgain(seen, stamp).with(report(Notice.LeaseLost(lease.epoch)))

private fun ControlState.releaseLease(lease: LeaseState.Held, stamp: Stamp): Transition =
    observeLeaseAgain(null, stamp).with(report(Notice.LeaseReleased(lease.epoch)))

/** The write of a renewed lease row; conditional on [LeaseState.Held.revision] wherever it is used. */
internal fun ControlState.leaseWrite(lease: LeaseState.Held, durationMillis: Long = LEASE_DURATION_MILLIS): RowWrite =
    RowWrite.Put(StoreKeys.LEASE, RowValue.Lease(identity.node, lease.epoch, durationMillis, lastRequest))

/**
 * Takes note of the lease row as the store has it now.
 *
 * A row of this node with the same epoch is this node's own late write: the lease is still held, but its expiry stays
 * as it was, since it is not known when that write took effect.
 */
internal fun ControlState.adoptLeaseRow(lease: LeaseState.Held, row: Row?, stamp: Stamp): Transition =
    if (row != null && isOwnLease(row, lease.epoch)) {
        copy(lease = lease.copy(revision = row.revision, writer = PendingLeaseWrite.Idle)).withoutEffects()
    } else {
        loseLease(lease, observedLease(row, null, stamp.nowMillis), stamp)
    }

private fun ControlState.tickHeld(lease: LeaseState.Held, stamp: Stamp): Transition =
    when (val writer = lease.writer) {
        is PendingLeaseWrite.Idle ->
            when {
                lifecycle is LifecycleState.Draining -> release(lease, stamp)
                stamp.nowMillis >= lease.nextRenewalMillis -> renew(lease, stamp)
                else -> withoutEffects()
            }
        is PendingLeaseWrite.Confirming ->
            if (writer.request == null && stamp.nowMillis >= writer.nextReadMillis) {
                readBack(lease, writer)
            } else {
                withoutEffects()
            }
        is PendingLeaseWrite.Renewing, is PendingLeaseWrite.Publishing, is PendingLeaseWrite.Releasing ->
            withoutEffects()
    }

/** Renewals pass an open breaker: there are at most a few until the lease expires, and losing it costs more. */
private fun ControlState.renew(lease: LeaseState.Held, stamp: Stamp): Transition {
    val writeId = nextWriteId(stamp)
    val condition = RowCondition.RevisionIs(StoreKeys.LEASE, lease.revision)
    val call =
        callStore(
            RequestOwner.LEASE,
            StoreCommand.Transact(writeId, listOf(condition), listOf(leaseWrite(lease))),
        )
    val writer = PendingLeaseWrite.Renewing(call.request, writeId, stamp.nowMillis)
    return call.send { copy(lease = lease.copy(writer = writer)) }
}

/** A lease with no duration counts as expired for whoever reads it next. */
private fun ControlState.release(lease: LeaseState.Held, stamp: Stamp): Transition {
    val condition = RowCondition.RevisionIs(StoreKeys.LEASE, lease.revision)
    val write = leaseWrite(lease, durationMillis = 0)
    val call =
        callStore(RequestOwner.LEASE, StoreCommand.Transact(nextWriteId(stamp), listOf(condition), listOf(write)))
    return call.send { copy(lease = lease.copy(writer = PendingLeaseWrite.Releasing(call.request))) }
}

private fun ControlState.readBack(lease: LeaseState.Held, writer: PendingLeaseWrite.Confirming): Transition {
    val call = callStore(RequestOwner.LEASE, LEASE_ROWS)
    return call.send { copy(lease = lease.copy(writer = writer.copy(request = call.request))) }
}

private fun ControlState.renewalAnswered(
    lease: LeaseState.Held,
    writer: PendingLeaseWrite.Renewing,
    answer: StoreAnswer,
    stamp: Stamp,
): Transition =
    when (answer) {
        is StoreAnswer.Committed -> renewalTookEffect(lease, answer.rows, writer.sentMillis, stamp)
        is StoreAnswer.Conflicted -> adoptLeaseRow(lease, answer.rows.row(StoreKeys.LEASE), stamp)
        is StoreAnswer.StoreFailed ->
            if (answer.failure is StoreFailure.AnswerLost) {
                val confirming = PendingLeaseWrite.Confirming(writer.writeId, writer.sentMillis, stamp.nowMillis)
                readBack(lease, confirming)
            } else {
                retryRenewal(lease, stamp)
            }
        else -> retryRenewal(lease, stamp)
    }

private fun ControlState.renewalConfirmed(
    lease: LeaseState.Held,
    writer: PendingLeaseWrite.Confirming,
    answer: StoreAnswer,
    stamp: Stamp,
): Transition {
    if (answer !is StoreAnswer.RowsRead) {
        val nextReadMillis = stamp.nowMillis + stamp.spreadMillis("confirm", CONFIRM_MILLIS)
        return copy(
            lease = lease.copy(writer = writer.copy(request = null, nextReadMillis = nextReadMillis)),
        ).withoutEffects()
    }
    return if (answer.rows.row(StoreKeys.LEASE)?.writeId == writer.writeId) {
        renewalTookEffect(lease, answer.rows, writer.sentMillis, stamp)
    } else {
        adoptLeaseRow(lease, answer.rows.row(StoreKeys.LEASE), stamp)
    }
}

private fun ControlState.renewalTookEffect(
    lease: LeaseState.Held,
    rows: List<Row>,
    sentMillis: Long,
    stamp: Stamp,
): Transition {
    val row = rows.row(StoreKeys.LEASE) ?: return adoptLeaseRow(lease, null, stamp)
    return copy(lease = lease.renewed(row.revision, sentMillis)).withoutEffects()
}

private fun ControlState.retryRenewal(lease: LeaseState.Held, stamp: Stamp): Transition {
    val nextRenewalMillis = stamp.nowMillis + stamp.spreadMillis("renewal", CONFIRM_MILLIS)
    return copy(
        lease = lease.copy(writer = PendingLeaseWrite.Idle, nextRenewalMillis = nextRenewalMillis),
    ).withoutEffects()
}
