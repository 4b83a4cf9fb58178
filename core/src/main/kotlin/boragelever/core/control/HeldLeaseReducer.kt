package boragelever.core.control

import boragelever.core.EventContext
import boragelever.core.store.Row
import boragelever.core.store.RowCondition
import boragelever.core.store.RowValue
import boragelever.core.store.RowWrite
import boragelever.core.store.StoreCommand
import boragelever.core.store.StoreFailure
import boragelever.core.store.StoreKeys
import boragelever.core.store.StoreResult

/** Renews or releases the publisher lease while this node holds it, and handles its loss. */
internal fun reduceHeldLease(state: ControlState, lease: LeaseState.Held, event: Event): Transition {
    val nowMillis = event.context.nowMillis
    return when {
        nowMillis >= lease.expiresMillis -> state.loseLease(lease, lease.asObserved(), event.context)
        event is Event.Ticked -> state.tickHeld(lease, event.context)
        else ->
            when (val write = lease.pendingWrite) {
                is PendingLeaseWrite.None, is PendingLeaseWrite.Publishing -> state.withoutEffects()
                is PendingLeaseWrite.Renewing ->
                    state.onResult(event, write.request) { state.renewalCompleted(lease, write, it, event.context) }
                is PendingLeaseWrite.Confirming ->
                    state.onResult(event, write.request) { state.renewalConfirmed(lease, write, it, event.context) }
                is PendingLeaseWrite.Releasing ->
                    state.onResult(event, write.request) { state.releaseLease(lease, event.context) }
            }
    }
}

/** Leaves [LeaseState.Held] because the lease expired or another node holds it; [observed] is the last known row. */
internal fun ControlState.loseLease(
    lease: LeaseState.Held,
    observed: ObservedLease?,
    context: EventContext,
): Transition =
    resumeObserving(observed, context).with(report(Notice.LeaseLost(lease.epoch)))

private fun ControlState.releaseLease(lease: LeaseState.Held, context: EventContext): Transition =
    resumeObserving(null, context).with(report(Notice.LeaseReleased(lease.epoch)))

/** Write of a renewed lease row; every transaction that contains it requires [LeaseState.Held.revision]. */
internal fun ControlState.leaseWrite(lease: LeaseState.Held, durationMillis: Long = LEASE_DURATION_MILLIS): RowWrite =
    RowWrite.Put(StoreKeys.LEASE, RowValue.Lease(identity.node, lease.epoch, durationMillis, lastRequest))

/**
 * Updates the lease state from the lease row as just read.
 *
 * A row of this node with the same epoch is a late write of this node: the lease is still held, but its expiry does not
 * change, since it is not known when that write took effect.
 */
internal fun ControlState.reconcileLease(lease: LeaseState.Held, row: Row?, context: EventContext): Transition =
    if (row != null && isOwnLease(row, lease.epoch)) {
        copy(lease = lease.copy(revision = row.revision, pendingWrite = PendingLeaseWrite.None)).withoutEffects()
    } else {
        loseLease(lease, observedLease(row, null, context.nowMillis), context)
    }

private fun ControlState.tickHeld(lease: LeaseState.Held, context: EventContext): Transition =
    when (val write = lease.pendingWrite) {
        is PendingLeaseWrite.None ->
            when {
                lifecycle is LifecycleState.Draining -> release(lease, context)
                context.nowMillis >= lease.nextRenewalMillis -> renew(lease, context)
                else -> withoutEffects()
            }
        is PendingLeaseWrite.Confirming ->
            if (write.request == null && context.nowMillis >= write.nextReadMillis) {
                readBack(lease, write)
            } else {
                withoutEffects()
            }
        is PendingLeaseWrite.Renewing, is PendingLeaseWrite.Publishing, is PendingLeaseWrite.Releasing ->
            withoutEffects()
    }

/** Renewals ignore an open breaker: only a few fit before the lease expires, and losing the lease costs more. */
private fun ControlState.renew(lease: LeaseState.Held, context: EventContext): Transition {
    val writeId = nextWriteId(context)
    val condition = RowCondition.RevisionIs(StoreKeys.LEASE, lease.revision)
    val call =
        callStore(RequestOwner.LEASE, StoreCommand.Transact(writeId, listOf(condition), listOf(leaseWrite(lease))))
    val write = PendingLeaseWrite.Renewing(call.request, writeId, context.nowMillis)
    return call.send { copy(lease = lease.copy(pendingWrite = write)) }
}

/** Writes a lease with a duration of 0, which the next reader treats as expired. */
private fun ControlState.release(lease: LeaseState.Held, context: EventContext): Transition {
    val condition = RowCondition.RevisionIs(StoreKeys.LEASE, lease.revision)
    val write = leaseWrite(lease, durationMillis = 0)
    val call =
        callStore(RequestOwner.LEASE, StoreCommand.Transact(nextWriteId(context), listOf(condition), listOf(write)))
    return call.send { copy(lease = lease.copy(pendingWrite = PendingLeaseWrite.Releasing(call.request))) }
}

private fun ControlState.readBack(lease: LeaseState.Held, write: PendingLeaseWrite.Confirming): Transition {
    val call = callStore(RequestOwner.LEASE, READ_LEASE_ROWS)
    return call.send { copy(lease = lease.copy(pendingWrite = write.copy(request = call.request))) }
}

private fun ControlState.renewalCompleted(
    lease: LeaseState.Held,
    write: PendingLeaseWrite.Renewing,
    result: StoreResult,
    context: EventContext,
): Transition =
    when (result) {
        is StoreResult.Committed -> renewalCommitted(lease, result.rows, write.sentMillis, context)
        is StoreResult.Conflict -> reconcileLease(lease, result.rows.row(StoreKeys.LEASE), context)
        is StoreResult.StoreFailed ->
            if (result.failure is StoreFailure.OutcomeUnknown) {
                val readingBack = PendingLeaseWrite.Confirming(write.writeId, write.sentMillis, context.nowMillis)
                readBack(lease, readingBack)
            } else {
                retryRenewal(lease, context)
            }
        else -> retryRenewal(lease, context)
    }

private fun ControlState.renewalConfirmed(
    lease: LeaseState.Held,
    write: PendingLeaseWrite.Confirming,
    result: StoreResult,
    context: EventContext,
): Transition {
    if (result !is StoreResult.RowsRead) {
        val nextReadMillis = context.nowMillis + context.jitterAroundMillis("confirm", CONFIRM_RETRY_MILLIS)
        return copy(
            lease = lease.copy(pendingWrite = write.copy(request = null, nextReadMillis = nextReadMillis)),
        ).withoutEffects()
    }
    return if (result.rows.row(StoreKeys.LEASE)?.writeId == write.writeId) {
        renewalCommitted(lease, result.rows, write.sentMillis, context)
    } else {
        reconcileLease(lease, result.rows.row(StoreKeys.LEASE), context)
    }
}

private fun ControlState.renewalCommitted(
    lease: LeaseState.Held,
    rows: List<Row>,
    sentMillis: Long,
    context: EventContext,
): Transition {
    val row = rows.row(StoreKeys.LEASE) ?: return reconcileLease(lease, null, context)
    return copy(lease = lease.renewed(row.revision, sentMillis)).withoutEffects()
}

private fun ControlState.retryRenewal(lease: LeaseState.Held, context: EventContext): Transition {
    val nextRenewalMillis = context.nowMillis + context.jitterAroundMillis("renewal", CONFIRM_RETRY_MILLIS)
    return copy(
        lease = lease.copy(pendingWrite = PendingLeaseWrite.None, nextRenewalMillis = nextRenewalMillis),
    ).withoutEffects()
}
