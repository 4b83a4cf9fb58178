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

/** Renews, releases or loses the publisher lease while this node holds it. */
internal fun reduceHeldLease(state: ControlState, lease: LeaseState.Held, event: Event): Transition {
    val now = event.context.nowMillis
    return when {
        now >= lease.expiresMillis -> state.loseLease(lease, lease.asSeen(), event.context)
        event is Event.Ticked -> state.tickHeld(lease, event.context)
        else ->
            when (val writer = lease.writer) {
                is LeaseWriter.Idle, is LeaseWriter.Publishing -> state.unchanged()
                is LeaseWriter.Renewing ->
                    state.answerTo(event, writer.request) { state.renewalAnswered(lease, writer, it, event.context) }
                is LeaseWriter.Confirming ->
                    state.answerTo(event, writer.request) { state.renewalConfirmed(lease, writer, it, event.context) }
                is LeaseWriter.Releasing ->
                    state.answerTo(event, writer.request) { state.releaseLease(lease, event.context) }
            }
    }
}

/** Gives up the belief to hold the lease; [seen] is the row as far as known. */
internal fun ControlState.loseLease(lease: LeaseState.Held, seen: SeenLease?, context: EventContext): Transition =
    observeLeaseAgain(seen, context).with(report(Notice.LeaseLost(lease.epoch)))

private fun ControlState.releaseLease(lease: LeaseState.Held, context: EventContext): Transition =
    observeLeaseAgain(null, context).with(report(Notice.LeaseReleased(lease.epoch)))

/** The write of a renewed lease row; conditional on [LeaseState.Buffered.revision] wherever it is used. */
internal fun ControlState.leaseWrite(lease: LeaseState.Held, durationMillis: Long = LEASE_DURATION_MILLIS): RowWrite =
    RowWrite.Put(StoreKeys.LEASE, RowValue.Lease(identity.node, lease.epoch, durationMillis, lastRequest))

/**
 * Takes note of the lease row as the store has it now.
 *
 * A row of this node with the same epoch is this node's own late write: the lease is still held, but its expiry stays
 * as it was, since it is not known when that write took effect.
 */
internal fun ControlState.adoptLeaseRow(lease: LeaseState.Held, row: Row?, context: EventContext): Transition =
    if (row != null && isOwnLease(row, lease.epoch)) {
        copy(lease = lease.copy(revision = row.revision, writer = LeaseWriter.Idle)).unchanged()
    } else {
        loseLease(lease, seenLease(row, null, context.nowMillis), context)
    }

private fun ControlState.tickHeld(lease: LeaseState.Held, context: EventContext): Transition =
    when (val writer = lease.writer) {
        is LeaseWriter.Idle ->
            when {
                lifecycle is LifecycleState.Draining -> release(lease, context)
                context.nowMillis >= lease.nextRenewalMillis -> renew(lease, context)
                else -> unchanged()
            }
        is LeaseWriter.Confirming ->
            if (writer.request == null && context.nowMillis >= writer.nextReadMillis) {
                readBack(lease, writer)
            } else {
                unchanged()
            }
        is LeaseWriter.Renewing, is LeaseWriter.Publishing, is LeaseWriter.Releasing -> unchanged()
    }

/** Renewals pass an open breaker: there are at most a few until the lease expires, and losing it costs more. */
private fun ControlState.renew(lease: LeaseState.Held, context: EventContext): Transition {
    val writeId = nextWriteId(context)
    val condition = RowCondition.RevisionIs(StoreKeys.LEASE, lease.revision)
    val call =
        callStore(
            RequestOwner.LEASE,
            StoreCommand.Transact(writeId, listOf(condition), listOf(leaseWrite(lease))),
        )
    val writer = LeaseWriter.Renewing(call.request, writeId, context.nowMillis)
    return call.send { copy(lease = lease.copy(writer = writer)) }
}

/** A lease with no duration counts as expired for whoever reads it next. */
private fun ControlState.release(lease: LeaseState.Held, context: EventContext): Transition {
    val condition = RowCondition.RevisionIs(StoreKeys.LEASE, lease.revision)
    val write = leaseWrite(lease, durationMillis = 0)
    val call =
        callStore(RequestOwner.LEASE, StoreCommand.Transact(nextWriteId(context), listOf(condition), listOf(write)))
    return call.send { copy(lease = lease.copy(writer = LeaseWriter.Releasing(call.request))) }
}

private fun ControlState.readBack(lease: LeaseState.Held, writer: LeaseWriter.Confirming): Transition {
    val call = callStore(RequestOwner.LEASE, LEASE_ROWS)
    return call.send { copy(lease = lease.copy(writer = writer.copy(request = call.request))) }
}

private fun ControlState.renewalAnswered(
    lease: LeaseState.Held,
    writer: LeaseWriter.Renewing,
    answer: StoreResult,
    context: EventContext,
): Transition =
    when (answer) {
        is StoreResult.Committed -> renewalTookEffect(lease, answer.rows, writer.sentMillis, context)
        is StoreResult.Conflict -> adoptLeaseRow(lease, answer.rows.row(StoreKeys.LEASE), context)
        is StoreResult.StoreFailed ->
            if (answer.failure is StoreFailure.OutcomeUnknown) {
                val confirming = LeaseWriter.Confirming(writer.writeId, writer.sentMillis, context.nowMillis)
                readBack(lease, confirming)
            } else {
                retryRenewal(lease, context)
            }
        else -> retryRenewal(lease, context)
    }

private fun ControlState.renewalConfirmed(
    lease: LeaseState.Held,
    writer: LeaseWriter.Confirming,
    answer: StoreResult,
    context: EventContext,
): Transition {
    if (answer !is StoreResult.RowsRead) {
        val nextReadMillis = context.nowMillis + context.jitterAroundMillis("confirm", CONFIRM_MILLIS)
        return copy(
            lease = lease.copy(writer = writer.copy(request = null, nextReadMillis = nextReadMillis)),
        ).unchanged()
    }
    return if (answer.rows.row(StoreKeys.LEASE)?.writeId == writer.writeId) {
        renewalTookEffect(lease, answer.rows, writer.sentMillis, context)
    } else {
        adoptLeaseRow(lease, answer.rows.row(StoreKeys.LEASE), context)
    }
}

private fun ControlState.renewalTookEffect(
    lease: LeaseState.Held,
    rows: List<Row>,
    sentMillis: Long,
    context: EventContext,
): Transition {
    val row = rows.row(StoreKeys.LEASE) ?: return adoptLeaseRow(lease, null, context)
    return copy(lease = lease.renewed(row.revision, sentMillis)).unchanged()
}

private fun ControlState.retryRenewal(lease: LeaseState.Held, context: EventContext): Transition {
    val nextRenewalMillis = context.nowMillis + context.jitterAroundMillis("renewal", CONFIRM_MILLIS)
    return copy(lease = lease.copy(writer = LeaseWriter.Idle, nextRenewalMillis = nextRenewalMillis)).unchanged()
}
