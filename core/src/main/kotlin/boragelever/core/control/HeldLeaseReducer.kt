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

/** Renews or releases the publisher lease while this node holds it, and handles its loss. */
internal fun reduceHeldLease(state: ControlState, lease: LeaseState.Held, event: Event): Transition {
    val nowMillis = event.stamp.nowMillis
    return when {
        nowMillis >= lease.expiresMillis -> state.loseLease(lease, lease.asObserved(), event.stamp)
        event is Event.Ticked -> state.tickHeld(lease, event.stamp)
        else ->
            when (val write = lease.pendingWrite) {
                is PendingLeaseWrite.None, is PendingLeaseWrite.Publishing -> state.withoutEffects()
                is PendingLeaseWrite.Renewing ->
                    state.onResult(event, write.request) { state.renewalCompleted(lease, write, it, event.stamp) }
                is PendingLeaseWrite.Confirming ->
                    state.onResult(event, write.request) { state.renewalConfirmed(lease, write, it, event.stamp) }
                is PendingLeaseWrite.Releasing ->
                    state.onResult(event, write.request) { state.releaseLease(lease, event.stamp) }
            }
    }
}

/** Leaves [LeaseState.Held] because the lease expired or another node holds it; [observed] is the last known row. */
internal fun ControlState.loseLease(
    lease: LeaseState.Held,
    observed: ObservedLease?,
    stamp: Stamp,
): Transition =
    resumeObserving(observed, stamp).with(report(Notice.LeaseLost(lease.epoch)))

private fun ControlState.releaseLease(lease: LeaseState.Held, stamp: Stamp): Transition =
    resumeObserving(null, stamp).with(report(Notice.LeaseReleased(lease.epoch)))

/** Write of a renewed lease row; every transaction that contains it requires [LeaseState.Held.revision]. */
internal fun ControlState.leaseWrite(lease: LeaseState.Held, durationMillis: Long = LEASE_DURATION_MILLIS): RowWrite =
    RowWrite.Put(StoreKeys.LEASE, RowValue.Lease(identity.node, lease.epoch, durationMillis, lastRequest))

/**
 * Updates the lease state from the lease row as just read.
 *
 * A row of this node with the same epoch is a late write of this node: the lease is still held, but its expiry does not
 * change, since it is not known when that write took effect.
 */
internal fun ControlState.reconcileLease(lease: LeaseState.Held, row: Row?, stamp: Stamp): Transition =
    if (row != null && isOwnLease(row, lease.epoch)) {
        copy(lease = lease.copy(revision = row.revision, pendingWrite = PendingLeaseWrite.None)).withoutEffects()
    } else {
        loseLease(lease, observedLease(row, null, stamp.nowMillis), stamp)
    }

private fun ControlState.tickHeld(lease: LeaseState.Held, stamp: Stamp): Transition =
    when (val write = lease.pendingWrite) {
        is PendingLeaseWrite.None ->
            when {
                lifecycle is LifecycleState.Draining -> release(lease, stamp)
                stamp.nowMillis >= lease.nextRenewalMillis -> renew(lease, stamp)
                else -> withoutEffects()
            }
        is PendingLeaseWrite.Confirming ->
            if (write.request == null && stamp.nowMillis >= write.nextReadMillis) {
                readBack(lease, write)
            } else {
                withoutEffects()
            }
        is PendingLeaseWrite.Renewing, is PendingLeaseWrite.Publishing, is PendingLeaseWrite.Releasing ->
            withoutEffects()
    }

/** Renewals ignore an open breaker: only a few fit before the lease expires, and losing the lease costs more. */
private fun ControlState.renew(lease: LeaseState.Held, stamp: Stamp): Transition {
    val writeId = nextWriteId(stamp)
    val condition = RowCondition.RevisionIs(StoreKeys.LEASE, lease.revision)
    val call =
        callStore(
            RequestOwner.LEASE,
            StoreCommand.Transact(writeId, listOf(condition), listOf(leaseWrite(lease))),
        )
    val write = PendingLeaseWrite.Renewing(call.request, writeId, stamp.nowMillis)
    return call.send { copy(lease = lease.copy(pendingWrite = write)) }
}

/** Writes a lease with a duration of 0, which the next reader treats as expired. */
private fun ControlState.release(lease: LeaseState.Held, stamp: Stamp): Transition {
    val condition = RowCondition.RevisionIs(StoreKeys.LEASE, lease.revision)
    val write = leaseWrite(lease, durationMillis = 0)
    val call =
        callStore(RequestOwner.LEASE, StoreCommand.Transact(nextWriteId(stamp), listOf(condition), listOf(write)))
    return call.send { copy(lease = lease.copy(pendingWrite = PendingLeaseWrite.Releasing(call.request))) }
}

private fun ControlState.readBack(lease: LeaseState.Held, write: PendingLeaseWrite.Confirming): Transition {
    val call = callStore(RequestOwner.LEASE, LEASE_ROWS)
    return call.send { copy(lease = lease.copy(pendingWrite = write.copy(request = call.request))) }
}

private fun ControlState.renewalCompleted(
    lease: LeaseState.Held,
    write: PendingLeaseWrite.Renewing,
    result: StoreAnswer,
    stamp: Stamp,
): Transition =
    when (result) {
        is StoreAnswer.Committed -> renewalCommitted(lease, result.rows, write.sentMillis, stamp)
        is StoreAnswer.Conflicted -> reconcileLease(lease, result.rows.row(StoreKeys.LEASE), stamp)
        is StoreAnswer.StoreFailed ->
            if (result.failure is StoreFailure.AnswerLost) {
                val readingBack = PendingLeaseWrite.Confirming(write.writeId, write.sentMillis, stamp.nowMillis)
                readBack(lease, readingBack)
            } else {
                retryRenewal(lease, stamp)
            }
        else -> retryRenewal(lease, stamp)
    }

private fun ControlState.renewalConfirmed(
    lease: LeaseState.Held,
    write: PendingLeaseWrite.Confirming,
    result: StoreAnswer,
    stamp: Stamp,
): Transition {
    if (result !is StoreAnswer.RowsRead) {
        val nextReadMillis = stamp.nowMillis + stamp.spreadMillis("confirm", CONFIRM_RETRY_MILLIS)
        return copy(
            lease = lease.copy(pendingWrite = write.copy(request = null, nextReadMillis = nextReadMillis)),
        ).withoutEffects()
    }
    return if (result.rows.row(StoreKeys.LEASE)?.writeId == write.writeId) {
        renewalCommitted(lease, result.rows, write.sentMillis, stamp)
    } else {
        reconcileLease(lease, result.rows.row(StoreKeys.LEASE), stamp)
    }
}

private fun ControlState.renewalCommitted(
    lease: LeaseState.Held,
    rows: List<Row>,
    sentMillis: Long,
    stamp: Stamp,
): Transition {
    val row = rows.row(StoreKeys.LEASE) ?: return reconcileLease(lease, null, stamp)
    return copy(lease = lease.renewed(row.revision, sentMillis)).withoutEffects()
}

private fun ControlState.retryRenewal(lease: LeaseState.Held, stamp: Stamp): Transition {
    val nextRenewalMillis = stamp.nowMillis + stamp.spreadMillis("renewal", CONFIRM_RETRY_MILLIS)
    return copy(
        lease = lease.copy(pendingWrite = PendingLeaseWrite.None, nextRenewalMillis = nextRenewalMillis),
    ).withoutEffects()
}
