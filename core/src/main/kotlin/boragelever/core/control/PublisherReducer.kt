package boragelever.core.control

import boragelever.core.EventContext
import boragelever.core.config.DisseminationProfile
import boragelever.core.store.Row
import boragelever.core.store.RowValue
import boragelever.core.store.StoreCommand
import boragelever.core.store.StoreKeys
import boragelever.core.store.StoreResult

/** Scans the folder and publishes while this node holds the lease; see [reduceScan] and [reducePublish]. */
internal fun reducePublisher(state: ControlState, event: Event): Transition {
    val lease = state.lease
    val phase = state.publisher.phase
    return when {
        lease !is LeaseState.Held -> state.withoutLease()
        phase is PublisherPhase.Dormant -> state.waitForScan(
            event.context.nowMillis,
            reload = true,
        ).resumeScan(event.context)
        else -> state.reducePhase(lease, phase, event)
    }
}

private fun ControlState.reducePhase(lease: LeaseState.Held, phase: PublisherPhase, event: Event): Transition =
    when (phase) {
        is PublisherPhase.Dormant -> unchanged()
        is PublisherPhase.Waiting -> if (event is Event.Ticked) resumeScan(event.context) else unchanged()
        is PublisherPhase.ReadingRows -> answerTo(event, phase.request) { rowsRead(it, event.context) }
        is PublisherPhase.Listing,
        is PublisherPhase.ReadingFiles,
        is PublisherPhase.ListingAgain,
        is PublisherPhase.Merging,
        -> reduceScan(this, phase, event)
        is PublisherPhase.WritingDocument,
        is PublisherPhase.AwaitingLease,
        is PublisherPhase.Transacting,
        is PublisherPhase.Confirming,
        -> reducePublish(this, lease, phase, event)
        is PublisherPhase.ListingDocuments,
        is PublisherPhase.DeletingDocuments,
        -> reduceCleanup(this, phase, event)
    }

/** Starts the next scan if it is due. */
internal fun ControlState.resumeScan(context: EventContext): Transition {
    val phase = publisher.phase as? PublisherPhase.Waiting ?: return unchanged()
    return when {
        context.nowMillis < phase.nextScanMillis || lifecycle is LifecycleState.Draining -> unchanged()
        phase.reload -> readSharedRows()
        else -> startScan()
    }
}

/** Waits for the next scan after one that went well. */
internal fun ControlState.scanLater(context: EventContext): ControlState = waitForScan(
    context.nowMillis + scanIntervalMillis(),
)

/** Waits longer after each failure, with full jitter; the shared rows are read again before the next scan. */
internal fun ControlState.scanAfterFailure(context: EventContext): ControlState {
    val failures = publisher.failures + 1
    val waitMillis = context.fullJitterMillis("publisher", failures, SCAN_INTERVAL_MILLIS, FAILURE_CAP_MILLIS)
    val waiting = waitForScan(context.nowMillis + maxOf(waitMillis, RESCAN_MILLIS), reload = true)
    return waiting.copy(publisher = waiting.publisher.copy(failures = failures))
}

/** Enters [PublisherPhase.Waiting]. */
internal fun ControlState.waitForScan(nextScanMillis: Long, reload: Boolean = false): ControlState =
    inPhase(PublisherPhase.Waiting(nextScanMillis, reload))

/** Enters [phase]. */
internal fun ControlState.inPhase(phase: PublisherPhase): ControlState = copy(publisher = publisher.copy(phase = phase))

/** Settings of dissemination in force. */
internal val ControlState.disseminationProfile: DisseminationProfile
    get() = applied?.configuration?.dissemination?.profile ?: DisseminationProfile.CONVERGENCE

/** Another holder may write the shared rows meanwhile, so only the texts of the files are kept. */
private fun ControlState.withoutLease(): Transition =
    if (publisher.phase is PublisherPhase.Dormant) {
        unchanged()
    } else {
        copy(publisher = PublisherState(files = publisher.files)).unchanged()
    }

private fun ControlState.readSharedRows(): Transition {
    if (!admitsStoreCalls()) return unchanged()
    val call = callStore(RequestOwner.PUBLISHER, SHARED_ROWS)
    return call.send { inPhase(PublisherPhase.ReadingRows(call.request)) }
}

private fun ControlState.rowsRead(answer: StoreResult, context: EventContext): Transition {
    return if (answer is StoreResult.RowsRead) scanFrom(answer.rows, context) else scanAfterFailure(context).unchanged()
}

/** Takes note of the shared rows as just read, fetches a configuration that is new to this node, and scans at once. */
internal fun ControlState.scanFrom(rows: List<Row>, context: EventContext): Transition {
    val row = rows.row(StoreKeys.HEAD)
    val status = rows.row(StoreKeys.STATUS)?.value as? RowValue.Status
    val read = copy(publisher = publisher.copy(head = row, status = status)).waitForScan(context.nowMillis)
    val head = row?.value as? RowValue.Head
    val fetched = if (head == null) read.unchanged() else read.fetchHeadDocument(head)
    return fetched.andThen { it.resumeScan(context) }
}

private fun ControlState.scanIntervalMillis(): Long =
    when (disseminationProfile) {
        DisseminationProfile.CONVERGENCE, DisseminationProfile.POLL -> SCAN_INTERVAL_MILLIS
        DisseminationProfile.BYTES -> BYTES_SCAN_INTERVAL_MILLIS
    }

/** Rows that only the holder of the lease writes. */
internal val SHARED_ROWS: StoreCommand =
    StoreCommand.ReadRows(listOf(StoreKeys.HEAD, StoreKeys.LEASE, StoreKeys.STATUS))

/** Wait before a folder that changed during a scan is scanned again. */
internal const val RESCAN_MILLIS: Long = 100

private const val SCAN_INTERVAL_MILLIS = 500L
private const val BYTES_SCAN_INTERVAL_MILLIS = 1_000L
private const val FAILURE_CAP_MILLIS = 5_000L
