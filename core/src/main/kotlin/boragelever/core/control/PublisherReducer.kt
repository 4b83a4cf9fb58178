package boragelever.core.control

import boragelever.core.Stamp
import boragelever.core.config.DisseminationProfile
import boragelever.core.store.Row
import boragelever.core.store.RowValue
import boragelever.core.store.StoreAnswer
import boragelever.core.store.StoreCommand
import boragelever.core.store.StoreKeys

/** Scans the folder and publishes while this node holds the lease; see [reduceScan] and [reducePublish]. */
internal fun reducePublisher(state: ControlState, event: Event): Transition {
    val lease = state.lease
    val phase = state.publisher.phase
    return when {
        lease !is LeaseState.Held -> state.withoutLease()
        phase is PublisherPhase.Inactive -> state.waitForScan(
            event.stamp.nowMillis,
            reload = true,
        ).resumeScan(event.stamp)
        else -> state.reducePhase(lease, phase, event)
    }
}

private fun ControlState.reducePhase(lease: LeaseState.Held, phase: PublisherPhase, event: Event): Transition =
    when (phase) {
        is PublisherPhase.Inactive -> withoutEffects()
        is PublisherPhase.Waiting -> if (event is Event.Ticked) resumeScan(event.stamp) else withoutEffects()
        is PublisherPhase.ReadingRows -> answerTo(event, phase.request) { rowsRead(it, event.stamp) }
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
internal fun ControlState.resumeScan(stamp: Stamp): Transition {
    val phase = publisher.phase as? PublisherPhase.Waiting ?: return withoutEffects()
    return when {
        stamp.nowMillis < phase.nextScanMillis || lifecycle is LifecycleState.Draining -> withoutEffects()
        phase.reload -> readSharedRows()
        else -> startScan()
    }
}

/** Waits for the next scan after one that went well. */
internal fun ControlState.scanLater(stamp: Stamp): ControlState = waitForScan(stamp.nowMillis + scanIntervalMillis())

/** Waits longer after each failure, with full jitter; the shared rows are read again before the next scan. */
internal fun ControlState.retryScan(stamp: Stamp): ControlState {
    val failures = publisher.failures + 1
    val waitMillis = stamp.fullJitterMillis("publisher", failures, SCAN_INTERVAL_MILLIS, FAILURE_CAP_MILLIS)
    val waiting = waitForScan(stamp.nowMillis + maxOf(waitMillis, RESCAN_MILLIS), reload = true)
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
    if (publisher.phase is PublisherPhase.Inactive) {
        withoutEffects()
    } else {
        copy(publisher = PublisherState(files = publisher.files)).withoutEffects()
    }

private fun ControlState.readSharedRows(): Transition {
    if (!admitsStoreCalls()) return withoutEffects()
    val call = callStore(RequestOwner.PUBLISHER, SHARED_ROWS)
    return call.send { inPhase(PublisherPhase.ReadingRows(call.request)) }
}

private fun ControlState.rowsRead(answer: StoreAnswer, stamp: Stamp): Transition {
    return if (answer is StoreAnswer.RowsRead) scanFrom(answer.rows, stamp) else retryScan(stamp).withoutEffects()
}

/** Takes note of the shared rows as just read, fetches a configuration that is new to this node, and scans at once. */
internal fun ControlState.scanFrom(rows: List<Row>, stamp: Stamp): Transition {
    val row = rows.row(StoreKeys.HEAD)
    val status = rows.row(StoreKeys.STATUS)?.value as? RowValue.Status
    val read = copy(publisher = publisher.copy(head = row, status = status)).waitForScan(stamp.nowMillis)
    val head = row?.value as? RowValue.Head
    val fetched = if (head == null) read.withoutEffects() else read.fetchHeadDocument(head)
    return fetched.andThen { it.resumeScan(stamp) }
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
