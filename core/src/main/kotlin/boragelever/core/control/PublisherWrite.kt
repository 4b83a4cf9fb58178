package boragelever.core.control

import boragelever.core.Stamp
import boragelever.core.store.ObjectKey
import boragelever.core.store.Row
import boragelever.core.store.RowCondition
import boragelever.core.store.RowValue
import boragelever.core.store.RowWrite
import boragelever.core.store.StoreAnswer
import boragelever.core.store.StoreCommand
import boragelever.core.store.StoreFailure
import boragelever.core.store.StoreKeys

/** Writes the document, then updates the head and renews the lease in one transaction. */
internal fun reducePublish(
    state: ControlState,
    lease: LeaseState.Held,
    phase: PublisherPhase,
    event: Event,
): Transition =
    when (phase) {
        is PublisherPhase.WritingDocument ->
            state.onResult(event, phase.request) { state.documentWritten(phase.plan, it, event.stamp) }
        is PublisherPhase.AwaitingLeaseWrite -> state.commitPlan(lease, phase.plan, event.stamp)
        is PublisherPhase.Committing ->
            state.onResult(event, phase.request) { state.commitCompleted(lease, phase, it, event.stamp) }
        is PublisherPhase.Confirming ->
            if (event is Event.Ticked && phase.request == null && event.stamp.nowMillis >= phase.nextReadMillis) {
                state.readBack(phase)
            } else {
                state.onResult(event, phase.request) { state.commitConfirmed(lease, phase, it, event.stamp) }
            }
        else -> state.withoutEffects()
    }

/** Writes the document of [plan]. Its key contains its digest, so writing it twice is idempotent. */
internal fun ControlState.writeDocument(plan: PublishPlan): Transition {
    val head = requireNotNull(plan.head) { "cannot write a document: the publish plan has no head" }
    val call =
        callStore(RequestOwner.PUBLISHER, StoreCommand.PutDocument(head.value.document, head.document))
    return call.send { withPhase(PublisherPhase.WritingDocument(call.request, plan)) }
}

/** Writes the rows of [plan] once no other write of the lease row is in flight. */
internal fun ControlState.writeRows(plan: PublishPlan, stamp: Stamp): Transition {
    val held = lease as? LeaseState.Held ?: return withoutEffects()
    return withPhase(PublisherPhase.AwaitingLeaseWrite(plan)).commitPlan(held, plan, stamp)
}

private fun ControlState.documentWritten(plan: PublishPlan, result: StoreAnswer, stamp: Stamp): Transition =
    if (result is StoreAnswer.ObjectWritten) writeRows(plan, stamp) else retryScan(stamp).withoutEffects()

private fun ControlState.commitPlan(lease: LeaseState.Held, plan: PublishPlan, stamp: Stamp): Transition {
    if (lease.pendingWrite !is PendingLeaseWrite.None) return withoutEffects()
    val writeId = nextWriteId(stamp)
    val call =
        callStore(RequestOwner.PUBLISHER, StoreCommand.Transact(writeId, conditions(lease, plan), writes(lease, plan)))
    val phase = PublisherPhase.Committing(call.request, plan, writeId, stamp.nowMillis)
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
    result: StoreAnswer,
    stamp: Stamp,
): Transition =
    when (result) {
        is StoreAnswer.Committed -> committed(lease, phase, result.rows, stamp)
        is StoreAnswer.Conflicted -> commitRejected(lease, result.rows, stamp)
        is StoreAnswer.StoreFailed ->
            if (result.failure is StoreFailure.AnswerLost) {
                readBack(PublisherPhase.Confirming(phase, stamp.nowMillis))
            } else {
                clearLeaseWrite(lease).retryScan(stamp).withoutEffects()
            }
        else -> clearLeaseWrite(lease).retryScan(stamp).withoutEffects()
    }

private fun ControlState.readBack(phase: PublisherPhase.Confirming): Transition {
    if (!admitsStoreCalls()) return withPhase(phase.copy(request = null)).withoutEffects()
    val call = callStore(RequestOwner.PUBLISHER, SHARED_ROWS)
    return call.send { withPhase(phase.copy(request = call.request)) }
}

private fun ControlState.commitConfirmed(
    lease: LeaseState.Held,
    phase: PublisherPhase.Confirming,
    result: StoreAnswer,
    stamp: Stamp,
): Transition {
    if (result !is StoreAnswer.RowsRead) {
        val nextReadMillis = stamp.nowMillis + stamp.spreadMillis("confirm", CONFIRM_RETRY_MILLIS)
        return withPhase(phase.copy(request = null, nextReadMillis = nextReadMillis)).withoutEffects()
    }
    val isCommitted = result.rows.any { it.writeId == phase.committing.writeId }
    return if (isCommitted) {
        committed(lease, phase.committing, result.rows, stamp)
    } else {
        commitRejected(lease, result.rows, stamp) { scanWith(result.rows, stamp) }
    }
}

/** Handles [rows] as read after a write that was not committed; continues with [retry] if the lease is still held. */
private inline fun ControlState.commitRejected(
    lease: LeaseState.Held,
    rows: List<Row>,
    stamp: Stamp,
    retry: ControlState.() -> Transition = { retryScan(stamp).withoutEffects() },
): Transition {
    val leaseRow = rows.row(StoreKeys.LEASE)
    val reconciled = reconcileLease(lease, leaseRow, stamp)
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
    stamp: Stamp,
): Transition {
    val leaseRow = rows.row(StoreKeys.LEASE)
    if (leaseRow == null || !isOwnLease(leaseRow, lease.epoch)) return commitRejected(lease, rows, stamp)
    val renewed = copy(lease = lease.renewed(leaseRow.revision, phase.sentMillis))
    val plan = phase.plan
    val updated =
        renewed.publisher.copy(
            head = if (plan.head == null) publisher.head else rows.row(StoreKeys.HEAD),
            status = plan.status ?: publisher.status,
            failures = 0,
            batchUntilMillis = null,
        )
    val next = renewed.copy(publisher = updated).scheduleNextScan(stamp)
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

/** Deletes all but the newest [KEPT_DOCUMENTS] documents; what fails is deleted after the next publish. */
internal fun reduceCleanup(state: ControlState, phase: PublisherPhase, event: Event): Transition =
    when (phase) {
        is PublisherPhase.ListingDocuments ->
            state.onResult(event, phase.request) { state.deleteNext(state.oldDocuments(it), event.stamp) }
        is PublisherPhase.DeletingDocuments ->
            state.onResult(event, phase.request) { result ->
                val isDeleted = result is StoreAnswer.ObjectDeleted
                state.deleteNext(if (isDeleted) phase.remaining else emptyList(), event.stamp)
            }
        else -> state.withoutEffects()
    }

/** Returns documents too old relative to the known head, so that a former lease holder never deletes a newer one. */
private fun ControlState.oldDocuments(result: StoreAnswer): List<ObjectKey> {
    val listed = result as? StoreAnswer.ObjectsListed ?: return emptyList()
    val head = publisher.head?.value as? RowValue.Head ?: return emptyList()
    val oldestKeptVersion = head.version.value - KEPT_DOCUMENTS + 1
    return listed.entries.map { it.key }.filter { key ->
        val version = StoreKeys.documentVersion(key)
        version != null && version.value < oldestKeptVersion
    }
}

private fun ControlState.deleteNext(keys: List<ObjectKey>, stamp: Stamp): Transition {
    val key = keys.firstOrNull() ?: return scheduleNextScan(stamp).withoutEffects()
    val call = callStore(RequestOwner.PUBLISHER, StoreCommand.DeleteObject(key))
    return call.send { withPhase(PublisherPhase.DeletingDocuments(call.request, keys.drop(1))) }
}

/** Documents kept after a publish, so that a node with a head several seconds old still finds its document. */
private const val KEPT_DOCUMENTS = 10
