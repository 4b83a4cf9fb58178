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

/** Writes the document, then moves the head and renews the lease in one transaction. */
internal fun reducePublish(
    state: ControlState,
    lease: LeaseState.Held,
    phase: PublisherPhase,
    event: Event,
): Transition =
    when (phase) {
        is PublisherPhase.WritingDocument ->
            state.answerTo(event, phase.request) { state.documentWritten(phase.plan, it, event.stamp) }
        is PublisherPhase.AwaitingLeaseWrite -> state.transact(lease, phase.plan, event.stamp)
        is PublisherPhase.Committing ->
            state.answerTo(event, phase.request) { state.transacted(lease, phase, it, event.stamp) }
        is PublisherPhase.Confirming ->
            if (event is Event.Ticked && phase.request == null && event.stamp.nowMillis >= phase.nextReadMillis) {
                state.readBack(phase)
            } else {
                state.answerTo(event, phase.request) { state.confirmed(lease, phase, it, event.stamp) }
            }
        else -> state.withoutEffects()
    }

/** Writes the document of [plan], which names itself by digest: writing it twice changes nothing. */
internal fun ControlState.writeDocument(plan: PublishPlan): Transition {
    val head = requireNotNull(plan.head) { "a plan without a head has no document" }
    val call =
        callStore(RequestOwner.PUBLISHER, StoreCommand.PutDocument(head.value.document, head.document))
    return call.send { inPhase(PublisherPhase.WritingDocument(call.request, plan)) }
}

/** Writes the rows of [plan] as soon as no other write of the lease row is on its way. */
internal fun ControlState.writeRows(plan: PublishPlan, stamp: Stamp): Transition {
    val held = lease as? LeaseState.Held ?: return withoutEffects()
    return inPhase(PublisherPhase.AwaitingLeaseWrite(plan)).transact(held, plan, stamp)
}

private fun ControlState.documentWritten(plan: PublishPlan, answer: StoreAnswer, stamp: Stamp): Transition =
    if (answer is StoreAnswer.ObjectWritten) writeRows(plan, stamp) else retryScan(stamp).withoutEffects()

private fun ControlState.transact(lease: LeaseState.Held, plan: PublishPlan, stamp: Stamp): Transition {
    if (lease.writer !is PendingLeaseWrite.Idle) return withoutEffects()
    val writeId = nextWriteId(stamp)
    val call =
        callStore(RequestOwner.PUBLISHER, StoreCommand.Transact(writeId, conditions(lease, plan), writes(lease, plan)))
    val phase = PublisherPhase.Committing(call.request, plan, writeId, stamp.nowMillis)
    return call.send { copy(lease = lease.copy(writer = PendingLeaseWrite.Publishing(writeId))).inPhase(phase) }
}

private fun ControlState.conditions(lease: LeaseState.Held, plan: PublishPlan): List<RowCondition> {
    val leaseIsHeld = RowCondition.RevisionIs(StoreKeys.LEASE, lease.revision)
    if (plan.head == null) return listOf(leaseIsHeld)
    val headIsKnown =
        publisher.head?.let { RowCondition.RevisionIs(StoreKeys.HEAD, it.revision) }
            ?: RowCondition.Absent(StoreKeys.HEAD)
    return listOf(leaseIsHeld, headIsKnown)
}

private fun ControlState.writes(lease: LeaseState.Held, plan: PublishPlan): List<RowWrite> =
    listOfNotNull(
        leaseWrite(lease),
        plan.head?.let { RowWrite.Put(StoreKeys.HEAD, it.value) },
        plan.status?.let { RowWrite.Put(StoreKeys.STATUS, it) },
    )

private fun ControlState.transacted(
    lease: LeaseState.Held,
    phase: PublisherPhase.Committing,
    answer: StoreAnswer,
    stamp: Stamp,
): Transition =
    when (answer) {
        is StoreAnswer.Committed -> committed(lease, phase, answer.rows, stamp)
        is StoreAnswer.Conflicted -> overruled(lease, answer.rows, stamp)
        is StoreAnswer.StoreFailed ->
            if (answer.failure is StoreFailure.AnswerLost) {
                readBack(PublisherPhase.Confirming(phase, stamp.nowMillis))
            } else {
                releaseWriter(lease).retryScan(stamp).withoutEffects()
            }
        else -> releaseWriter(lease).retryScan(stamp).withoutEffects()
    }

private fun ControlState.readBack(phase: PublisherPhase.Confirming): Transition {
    if (!admitsStoreCalls()) return inPhase(phase.copy(request = null)).withoutEffects()
    val call = callStore(RequestOwner.PUBLISHER, SHARED_ROWS)
    return call.send { inPhase(phase.copy(request = call.request)) }
}

private fun ControlState.confirmed(
    lease: LeaseState.Held,
    phase: PublisherPhase.Confirming,
    answer: StoreAnswer,
    stamp: Stamp,
): Transition {
    if (answer !is StoreAnswer.RowsRead) {
        val nextReadMillis = stamp.nowMillis + stamp.spreadMillis("confirm", CONFIRM_MILLIS)
        return inPhase(phase.copy(request = null, nextReadMillis = nextReadMillis)).withoutEffects()
    }
    val tookEffect = answer.rows.any { it.writeId == phase.transacting.writeId }
    return if (tookEffect) {
        committed(lease, phase.transacting, answer.rows, stamp)
    } else {
        overruled(lease, answer.rows, stamp) { scanFrom(answer.rows, stamp) }
    }
}

/** Takes note of rows that don't contain the write: goes on with [startOver] if the lease is still held. */
private inline fun ControlState.overruled(
    lease: LeaseState.Held,
    rows: List<Row>,
    stamp: Stamp,
    startOver: ControlState.() -> Transition = { retryScan(stamp).withoutEffects() },
): Transition {
    val row = rows.row(StoreKeys.LEASE)
    val adopted = adoptLeaseRow(lease, row, stamp)
    return if (isOwnLease(row, lease.epoch)) {
        adopted.andThen { it.startOver() }
    } else {
        val next = adopted.state.copy(publisher = PublisherState(files = publisher.files))
        Transition(next, listOf(report(Notice.PublishSuperseded(lease.epoch))) + adopted.effects)
    }
}

private fun ControlState.committed(
    lease: LeaseState.Held,
    phase: PublisherPhase.Committing,
    rows: List<Row>,
    stamp: Stamp,
): Transition {
    val row = rows.row(StoreKeys.LEASE)
    if (row == null || !isOwnLease(row, lease.epoch)) return overruled(lease, rows, stamp)
    val renewed = copy(lease = lease.renewed(row.revision, phase.sentMillis))
    val plan = phase.plan
    val known =
        renewed.publisher.copy(
            head = if (plan.head == null) publisher.head else rows.row(StoreKeys.HEAD),
            status = plan.status ?: publisher.status,
            failures = 0,
            batchUntilMillis = null,
        )
    val next = renewed.copy(publisher = known).scanLater(stamp)
    return if (plan.head == null) next.withoutEffects() else next.published(plan.head, lease)
}

/** Hands the published configuration to the rest of the node and goes on to delete old documents. */
private fun ControlState.published(head: PlannedHead, lease: LeaseState.Held): Transition =
    with(report(Notice.ConfigPublished(head.value.configId, lease.epoch)))
        .andThen { it.offerConfig(head.value.configId, head.document) }
        .andThen { it.listDocuments() }

private fun ControlState.releaseWriter(lease: LeaseState.Held): ControlState =
    copy(lease = lease.copy(writer = PendingLeaseWrite.Idle))

private fun ControlState.listDocuments(): Transition {
    val call = callStore(RequestOwner.PUBLISHER, StoreCommand.ListObjects(StoreKeys.DOCUMENT_PREFIX))
    return call.send { inPhase(PublisherPhase.ListingDocuments(call.request)) }
}

/** Deletes documents that are older than the last [KEPT_DOCUMENTS]; a failure is made up for after the next publish. */
internal fun reduceCleanup(state: ControlState, phase: PublisherPhase, event: Event): Transition =
    when (phase) {
        is PublisherPhase.ListingDocuments ->
            state.answerTo(event, phase.request) { state.deleteNext(state.oldDocuments(it), event.stamp) }
        is PublisherPhase.DeletingDocuments ->
            state.answerTo(event, phase.request) { answer ->
                val goOn = answer is StoreAnswer.ObjectDeleted
                state.deleteNext(if (goOn) phase.remaining else emptyList(), event.stamp)
            }
        else -> state.withoutEffects()
    }

/** Versions are compared with the head's, so that a holder that was deposed never deletes a newer document. */
private fun ControlState.oldDocuments(answer: StoreAnswer): List<ObjectKey> {
    val listed = answer as? StoreAnswer.ObjectsListed ?: return emptyList()
    val head = publisher.head?.value as? RowValue.Head ?: return emptyList()
    val oldestKept = head.version.value - KEPT_DOCUMENTS + 1
    return listed.entries.map { it.key }.filter { key ->
        val version = StoreKeys.documentVersion(key)
        version != null && version.value < oldestKept
    }
}

private fun ControlState.deleteNext(keys: List<ObjectKey>, stamp: Stamp): Transition {
    val key = keys.firstOrNull() ?: return scanLater(stamp).withoutEffects()
    val call = callStore(RequestOwner.PUBLISHER, StoreCommand.DeleteObject(key))
    return call.send { inPhase(PublisherPhase.DeletingDocuments(call.request, keys.drop(1))) }
}

/** Documents kept after a publish; a node that reads a head some seconds old still finds its document. */
private const val KEPT_DOCUMENTS = 10
