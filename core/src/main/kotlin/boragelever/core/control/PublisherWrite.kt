package boragelever.core.control

import boragelever.core.EventContext
import boragelever.core.store.ObjectKey
import boragelever.core.store.Row
import boragelever.core.store.RowCondition
import boragelever.core.store.RowValue
import boragelever.core.store.RowWrite
import boragelever.core.store.StoreCommand
import boragelever.core.store.StoreFailure
import boragelever.core.store.StoreKeys
import boragelever.core.store.StoreResult

/** Writes the document, then updates the head and renews the lease in one transaction. */
internal fun reducePublish(
    state: ControlState,
    lease: LeaseState.Held,
    phase: PublisherPhase,
    event: Event,
): Transition =
    when (phase) {
        is PublisherPhase.WritingDocument ->
            state.onResult(event, phase.request) { state.documentWritten(phase.plan, it, event.context) }
        is PublisherPhase.AwaitingLeaseWrite -> state.commitPlan(lease, phase.plan, event.context)
        is PublisherPhase.Committing ->
            state.onResult(event, phase.request) { state.commitCompleted(lease, phase, it, event.context) }
        is PublisherPhase.Confirming ->
            if (event is Event.Ticked && phase.request == null && event.context.nowMillis >= phase.nextReadMillis) {
                state.readBack(phase)
            } else {
                state.onResult(event, phase.request) { state.commitConfirmed(lease, phase, it, event.context) }
            }
        else -> state.withoutEffects()
    }

/** Writes the document of [plan]. Its key contains its digest, so writing it twice is idempotent. */
internal fun ControlState.writeDocument(plan: PublishPlan): Transition {
    val head = requireNotNull(plan.head) { "cannot write a document: the publish plan has no head" }
    val call = callStore(RequestOwner.PUBLISHER, StoreCommand.PutDocument(head.value.document, head.document))
    return call.send { withPhase(PublisherPhase.WritingDocument(call.request, plan)) }
}

/** Writes the rows of [plan] once no other write of the lease row is in flight. */
internal fun ControlState.writeRows(plan: PublishPlan, context: EventContext): Transition {
    val held = lease as? LeaseState.Held ?: return withoutEffects()
    return withPhase(PublisherPhase.AwaitingLeaseWrite(plan)).commitPlan(held, plan, context)
}

private fun ControlState.documentWritten(plan: PublishPlan, result: StoreResult, context: EventContext): Transition =
    if (result is StoreResult.ObjectWritten) writeRows(plan, context) else retryScan(context).withoutEffects()

private fun ControlState.commitPlan(lease: LeaseState.Held, plan: PublishPlan, context: EventContext): Transition {
    if (lease.pendingWrite !is PendingLeaseWrite.None) return withoutEffects()
    val writeId = nextWriteId(context)
    val call =
        callStore(RequestOwner.PUBLISHER, StoreCommand.Transact(writeId, conditions(lease, plan), writes(lease, plan)))
    val phase = PublisherPhase.Committing(call.request, plan, writeId, context.nowMillis)
    return call.send { copy(lease = lease.copy(pendingWrite = PendingLeaseWrite.Publishing(writeId))).withPhase(phase) }
}

private fun ControlState.conditions(lease: LeaseState.Held, plan: PublishPlan): List<RowCondition> {
    val leaseUnchanged = RowCondition.RevisionIs(StoreKeys.LEASE, lease.revision)
    if (plan.head == null) return listOf(leaseUnchanged)
    val headUnchanged =
        publisher.head?.let { RowCondition.RevisionIs(StoreKeys.HEAD, it.revision) }
            ?: RowCondition.Absent(StoreKeys.HEAD)
    return listOf(leaseUnchanged, headUnchanged)
}

private fun ControlState.writes(lease: LeaseState.Held, plan: PublishPlan): List<RowWrite> =
    listOfNotNull(
        leaseWrite(lease),
        plan.head?.let { RowWrite.Put(StoreKeys.HEAD, it.value) },
        plan.status?.let { RowWrite.Put(StoreKeys.STATUS, it) },
    )

private fun ControlState.commitCompleted(
    lease: LeaseState.Held,
    phase: PublisherPhase.Committing,
    result: StoreResult,
    context: EventContext,
): Transition =
    when (result) {
        is StoreResult.Committed -> committed(lease, phase, result.rows, context)
        is StoreResult.Conflict -> commitRejected(lease, result.rows, context)
        is StoreResult.StoreFailed ->
            if (result.failure is StoreFailure.OutcomeUnknown) {
                readBack(PublisherPhase.Confirming(phase, context.nowMillis))
            } else {
                clearLeaseWrite(lease).retryScan(context).withoutEffects()
            }
        else -> clearLeaseWrite(lease).retryScan(context).withoutEffects()
    }

private fun ControlState.readBack(phase: PublisherPhase.Confirming): Transition {
    if (!admitsStoreCalls()) return withPhase(phase.copy(request = null)).withoutEffects()
    val call = callStore(RequestOwner.PUBLISHER, READ_SHARED_ROWS)
    return call.send { withPhase(phase.copy(request = call.request)) }
}

private fun ControlState.commitConfirmed(
    lease: LeaseState.Held,
    phase: PublisherPhase.Confirming,
    result: StoreResult,
    context: EventContext,
): Transition {
    if (result !is StoreResult.RowsRead) {
        val nextReadMillis = context.nowMillis + context.jitterAroundMillis("confirm", CONFIRM_RETRY_MILLIS)
        return withPhase(phase.copy(request = null, nextReadMillis = nextReadMillis)).withoutEffects()
    }
    val isCommitted = result.rows.any { it.writeId == phase.committing.writeId }
    return if (isCommitted) {
        committed(lease, phase.committing, result.rows, context)
    } else {
        commitRejected(lease, result.rows, context) { scanWith(result.rows, context) }
    }
}

/** Handles [rows] as read after a write that was not committed; continues with [retry] if the lease is still held. */
private inline fun ControlState.commitRejected(
    lease: LeaseState.Held,
    rows: List<Row>,
    context: EventContext,
    retry: ControlState.() -> Transition = { retryScan(context).withoutEffects() },
): Transition {
    val leaseRow = rows.row(StoreKeys.LEASE)
    val reconciled = reconcileLease(lease, leaseRow, context)
    return if (isOwnLease(leaseRow, lease.epoch)) {
        reconciled.andThen { it.retry() }
    } else {
        val next = reconciled.state.copy(publisher = PublisherState(files = publisher.files))
        Transition(next, listOf(report(Notice.PublishSuperseded(lease.epoch))) + reconciled.effects)
    }
}

private fun ControlState.committed(
    lease: LeaseState.Held,
    phase: PublisherPhase.Committing,
    rows: List<Row>,
    context: EventContext,
): Transition {
    val leaseRow = rows.row(StoreKeys.LEASE)
    if (leaseRow == null || !isOwnLease(leaseRow, lease.epoch)) return commitRejected(lease, rows, context)
    val renewed = copy(lease = lease.renewed(leaseRow.revision, phase.sentMillis))
    val plan = phase.plan
    val updated =
        renewed.publisher.copy(
            head = if (plan.head == null) publisher.head else rows.row(StoreKeys.HEAD),
            status = plan.status ?: publisher.status,
            failures = 0,
            batchUntilMillis = null,
        )
    val next = renewed.copy(publisher = updated).scheduleNextScan(context)
    return if (plan.head == null) next.withoutEffects() else next.offerPublished(plan.head, lease)
}

/** Offers the published configuration to this node, then lists documents to delete the old ones. */
private fun ControlState.offerPublished(head: PlannedHead, lease: LeaseState.Held): Transition =
    with(report(Notice.ConfigPublished(head.value.configId, lease.epoch)))
        .andThen { it.offerConfig(head.value.configId, head.document) }
        .andThen { it.listDocuments() }

private fun ControlState.clearLeaseWrite(lease: LeaseState.Held): ControlState =
    copy(lease = lease.copy(pendingWrite = PendingLeaseWrite.None))

private fun ControlState.listDocuments(): Transition {
    val call = callStore(RequestOwner.PUBLISHER, StoreCommand.ListObjects(StoreKeys.DOCUMENT_PREFIX))
    return call.send { withPhase(PublisherPhase.ListingDocuments(call.request)) }
}

/** Deletes all but the newest [KEPT_DOCUMENTS] documents; failed deletions are retried after the next publish. */
internal fun reduceCleanup(state: ControlState, phase: PublisherPhase, event: Event): Transition =
    when (phase) {
        is PublisherPhase.ListingDocuments ->
            state.onResult(event, phase.request) { state.deleteNext(state.oldDocuments(it), event.context) }
        is PublisherPhase.DeletingDocuments ->
            state.onResult(event, phase.request) { result ->
                val isDeleted = result is StoreResult.ObjectDeleted
                state.deleteNext(if (isDeleted) phase.remaining else emptyList(), event.context)
            }
        else -> state.withoutEffects()
    }

/** Returns documents too old relative to the known head, so that a former lease holder never deletes a newer one. */
private fun ControlState.oldDocuments(result: StoreResult): List<ObjectKey> {
    val listed = result as? StoreResult.ObjectsListed ?: return emptyList()
    val head = publisher.head?.value as? RowValue.Head ?: return emptyList()
    val oldestKeptVersion = head.version.value - KEPT_DOCUMENTS + 1
    return listed.entries.map { it.key }.filter { key ->
        val version = StoreKeys.documentVersion(key)
        version != null && version.value < oldestKeptVersion
    }
}

private fun ControlState.deleteNext(keys: List<ObjectKey>, context: EventContext): Transition {
    val key = keys.firstOrNull() ?: return scheduleNextScan(context).withoutEffects()
    val call = callStore(RequestOwner.PUBLISHER, StoreCommand.DeleteObject(key))
    return call.send { withPhase(PublisherPhase.DeletingDocuments(call.request, keys.drop(1))) }
}

/** Documents kept after a publish, so that a node with a head several seconds old still finds its document. */
private const val KEPT_DOCUMENTS = 10
