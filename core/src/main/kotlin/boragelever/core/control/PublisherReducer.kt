package boragelever.core.control

import boragelever.core.EventContext
import boragelever.core.config.DisseminationProfile
import boragelever.core.store.Row
import boragelever.core.store.RowValue
import boragelever.core.store.StoreCommand
import boragelever.core.store.StoreKeys
import boragelever.core.store.StoreResult

/** Scans the folder and publishes changes while this node holds the lease; see [reduceScan] and [reducePublish]. */
internal fun reducePublisher(state: ControlState, event: Event): Transition {
    val lease = state.lease
    val phase = state.publisher.phase
    return when {
        lease !is LeaseState.Held -> state.deactivate()
        phase is PublisherPhase.Inactive ->
            state.scheduleScan(event.context.nowMillis, reload = true).startScanIfDue(event.context)
        else -> state.reducePhase(lease, phase, event)
    }
}

private fun ControlState.reducePhase(lease: LeaseState.Held, phase: PublisherPhase, event: Event): Transition =
    when (phase) {
        is PublisherPhase.Inactive -> withoutEffects()
        is PublisherPhase.Waiting -> if (event is Event.Ticked) startScanIfDue(event.context) else withoutEffects()
        is PublisherPhase.ReadingRows -> onResult(event, phase.request) { rowsRead(it, event.context) }
        is PublisherPhase.Listing,
        is PublisherPhase.ReadingFiles,
        is PublisherPhase.ListingAgain,
        is PublisherPhase.Merging,
        -> reduceScan(this, phase, event)
        is PublisherPhase.WritingDocument,
        is PublisherPhase.AwaitingLeaseWrite,
        is PublisherPhase.Committing,
        is PublisherPhase.Confirming,
        -> reducePublish(this, lease, phase, event)
        is PublisherPhase.ListingDocuments,
        is PublisherPhase.DeletingDocuments,
        -> reduceCleanup(this, phase, event)
    }

/** Starts the next scan if it is due. */
internal fun ControlState.startScanIfDue(context: EventContext): Transition {
    val phase = publisher.phase as? PublisherPhase.Waiting ?: return withoutEffects()
    return when {
        context.nowMillis < phase.nextScanMillis || lifecycle is LifecycleState.Draining -> withoutEffects()
        phase.reload -> readSharedRows()
        else -> startScan()
    }
}

/** Schedules the next scan after a successful one. */
internal fun ControlState.scheduleNextScan(context: EventContext): ControlState =
    scheduleScan(context.nowMillis + scanIntervalMillis())

/** Schedules a scan with exponential backoff and full jitter; the shared rows are read again before it. */
internal fun ControlState.retryScan(context: EventContext): ControlState {
    val failures = publisher.failures + 1
    val waitMillis = context.fullJitterMillis("publisher", failures, SCAN_INTERVAL_MILLIS, MAX_FAILURE_WAIT_MILLIS)
    val waiting = scheduleScan(context.nowMillis + maxOf(waitMillis, RESCAN_WAIT_MILLIS), reload = true)
    return waiting.copy(publisher = waiting.publisher.copy(failures = failures))
}

/** Enters [PublisherPhase.Waiting] until [nextScanMillis]. */
internal fun ControlState.scheduleScan(nextScanMillis: Long, reload: Boolean = false): ControlState =
    withPhase(PublisherPhase.Waiting(nextScanMillis, reload))

internal fun ControlState.withPhase(phase: PublisherPhase): ControlState =
    copy(publisher = publisher.copy(phase = phase))

/** Dissemination profile of the applied configuration, or the default one. */
internal val ControlState.disseminationProfile: DisseminationProfile
    get() = applied?.configuration?.dissemination?.profile ?: DisseminationProfile.CONVERGENCE

/** Keeps only the texts of the files, since another lease holder may write the shared rows in the meantime. */
private fun ControlState.deactivate(): Transition =
    if (publisher.phase is PublisherPhase.Inactive) {
        withoutEffects()
    } else {
        copy(publisher = PublisherState(files = publisher.files)).withoutEffects()
    }

private fun ControlState.readSharedRows(): Transition {
    if (!admitsStoreCalls()) return withoutEffects()
    val call = callStore(RequestOwner.PUBLISHER, READ_SHARED_ROWS)
    return call.send { withPhase(PublisherPhase.ReadingRows(call.request)) }
}

private fun ControlState.rowsRead(result: StoreResult, context: EventContext): Transition {
    return if (result is StoreResult.RowsRead) scanWith(result.rows, context) else retryScan(context).withoutEffects()
}

/** Records the shared rows as just read, fetches the head's document if it is newer, and starts a scan immediately. */
internal fun ControlState.scanWith(rows: List<Row>, context: EventContext): Transition {
    val row = rows.row(StoreKeys.HEAD)
    val status = rows.row(StoreKeys.STATUS)?.value as? RowValue.Status
    val updated = copy(publisher = publisher.copy(head = row, status = status)).scheduleScan(context.nowMillis)
    val head = row?.value as? RowValue.Head
    val fetched = if (head == null) updated.withoutEffects() else updated.fetchHeadDocument(head)
    return fetched.andThen { it.startScanIfDue(context) }
}

private fun ControlState.scanIntervalMillis(): Long =
    when (disseminationProfile) {
        DisseminationProfile.CONVERGENCE, DisseminationProfile.POLL -> SCAN_INTERVAL_MILLIS
        DisseminationProfile.BYTES -> BATCHED_SCAN_INTERVAL_MILLIS
    }

/** Command that reads the rows that only the lease holder writes. */
internal val READ_SHARED_ROWS: StoreCommand =
    StoreCommand.ReadRows(listOf(StoreKeys.HEAD, StoreKeys.LEASE, StoreKeys.STATUS))

/** Wait before the next scan if the folder changed during a scan. */
internal const val RESCAN_WAIT_MILLIS: Long = 100

private const val SCAN_INTERVAL_MILLIS = 500L
private const val BATCHED_SCAN_INTERVAL_MILLIS = 1_000L
private const val MAX_FAILURE_WAIT_MILLIS = 5_000L
