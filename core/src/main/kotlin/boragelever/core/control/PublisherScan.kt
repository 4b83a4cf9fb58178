package boragelever.core.control

import boragelever.core.ConfigVersion
import boragelever.core.Stamp
import boragelever.core.config.ConfigDocument
import boragelever.core.config.DisseminationProfile
import boragelever.core.store.RowValue
import boragelever.core.store.StoreKeys

/** Lists, reads and lists the folder again, and has it merged if it stayed the same meanwhile. */
internal fun reduceScan(state: ControlState, phase: PublisherPhase, event: Event): Transition =
    when (phase) {
        is PublisherPhase.Listing -> state.folderAnswer(event, phase.request) { state.listed(it, event.stamp) }
        is PublisherPhase.ReadingFiles ->
            state.folderAnswer(event, phase.request) { state.filesRead(phase, it, event.stamp) }
        is PublisherPhase.ListingAgain ->
            state.folderAnswer(event, phase.request) { state.listedAgain(phase, it, event.stamp) }
        is PublisherPhase.Merging ->
            if (event is Event.FolderMerged && event.request == phase.request) {
                state.folderMerged(FolderMerge(phase.entries, event.outcome), event.stamp)
            } else {
                state.withoutEffects()
            }
        else -> state.withoutEffects()
    }

/** Begins a scan. */
internal fun ControlState.startScan(): Transition {
    val (next, request) = nextRequest(RequestOwner.PUBLISHER)
    return next.inPhase(PublisherPhase.Listing(request)).with(Effect.ListFolder(request))
}

private inline fun ControlState.folderAnswer(
    event: Event,
    request: RequestId,
    handle: (FolderResult) -> Transition,
): Transition =
    if (event is Event.FolderRequestCompleted && event.request == request) handle(event.result) else withoutEffects()

private fun ControlState.listed(answer: FolderResult, stamp: Stamp): Transition {
    if (answer !is FolderResult.Listed) return folderUnreadable(answer, stamp)
    val readable = copy(publisher = publisher.copy(readError = null))
    val judged = publisher.lastMerge
    if (judged != null && judged.entries == answer.entries) return readable.settle(judged, stamp)
    val changed = answer.entries.filter { publisher.files[it.name]?.entityTag != it.entityTag }
    if (changed.isEmpty()) return readable.listAgain(answer.entries)
    val (next, request) = readable.nextRequest(RequestOwner.PUBLISHER)
    return next
        .inPhase(PublisherPhase.ReadingFiles(request, answer.entries))
        .with(Effect.ReadFolder(request, changed.map { it.name }))
}

private fun ControlState.filesRead(
    phase: PublisherPhase.ReadingFiles,
    answer: FolderResult,
    stamp: Stamp,
): Transition {
    if (answer !is FolderResult.Read) return folderUnreadable(answer, stamp)
    val known = publisher.files + answer.files.associateBy { it.name }
    val files = known.filterKeys { name -> phase.entries.any { it.name == name } }
    val complete = phase.entries.all { files[it.name]?.entityTag == it.entityTag }
    val next = copy(publisher = publisher.copy(files = files))
    return if (complete) next.listAgain(phase.entries) else next.rescan(stamp)
}

private fun ControlState.listAgain(entries: List<FolderEntry>): Transition {
    val (next, request) = nextRequest(RequestOwner.PUBLISHER)
    return next.inPhase(PublisherPhase.ListingAgain(request, entries)).with(Effect.ListFolder(request))
}

private fun ControlState.listedAgain(
    phase: PublisherPhase.ListingAgain,
    answer: FolderResult,
    stamp: Stamp,
): Transition {
    if (answer !is FolderResult.Listed) return folderUnreadable(answer, stamp)
    if (answer.entries != phase.entries) return rescan(stamp)
    val (next, request) = nextRequest(RequestOwner.PUBLISHER)
    val files = phase.entries.mapNotNull { publisher.files[it.name] }
    return next.inPhase(PublisherPhase.Merging(request, phase.entries)).with(Effect.MergeFolder(request, files))
}

private fun ControlState.rescan(stamp: Stamp): Transition = waitForScan(
    stamp.nowMillis + RESCAN_MILLIS,
).withoutEffects()

private fun ControlState.folderUnreadable(answer: FolderResult, stamp: Stamp): Transition {
    val error = (answer as? FolderResult.Failed)?.message ?: "The folder gave an unexpected answer"
    val failed = retryScan(stamp)
    val next = failed.copy(publisher = failed.publisher.copy(readError = error))
    return if (publisher.readError == null) next.with(report(Notice.FolderUnreadable(error))) else next.withoutEffects()
}

private fun ControlState.folderMerged(judged: FolderMerge, stamp: Stamp): Transition {
    val next = copy(publisher = publisher.copy(lastMerge = judged))
    val reported =
        when (val outcome = judged.outcome) {
            is MergeOutcome.Merged -> next.withoutEffects()
            is MergeOutcome.Rejected -> next.with(report(Notice.FolderRejected(outcome.errors)))
        }
    return reported.andThen { it.settle(judged, stamp) }
}

/** Publishes or reports what a judged folder asks for, unless the shared rows already say so. */
private fun ControlState.settle(judged: FolderMerge, stamp: Stamp): Transition =
    when (val outcome = judged.outcome) {
        is MergeOutcome.Merged -> settleAccepted(judged, outcome.document, stamp)
        is MergeOutcome.Rejected -> {
            val status = statusOf(judged, outcome.errors)
            val known = publisher.status
            val told = known?.folderDigest == status.folderDigest && known.errors == status.errors
            if (told) settled(stamp) else writeRows(PublishPlan(null, status), stamp)
        }
    }

private fun ControlState.settleAccepted(judged: FolderMerge, document: ConfigDocument, stamp: Stamp): Transition {
    val head = publisher.head?.value as? RowValue.Head
    val clears = publisher.status?.errors.orEmpty().isNotEmpty()
    val status = if (clears) statusOf(judged, emptyList()) else null
    val digest = document.digest()
    return when {
        head?.digest == digest && status == null -> settled(stamp)
        head?.digest == digest -> writeRows(PublishPlan(null, status), stamp)
        isBatching(stamp) -> batch(stamp)
        else -> {
            val version = ConfigVersion(maxOf(head?.version ?: ConfigVersion.NONE, knownVersion()).value + 1)
            val epoch = (lease as LeaseState.Held).epoch
            val value =
                RowValue.Head(version, epoch, digest, StoreKeys.document(version, digest), identity.node)
            writeDocument(PublishPlan(PlannedHead(value, document), status?.copy(version = version)))
        }
    }
}

private fun ControlState.settled(stamp: Stamp): Transition {
    val next = copy(publisher = publisher.copy(failures = 0, batchUntilMillis = null))
    return next.scanLater(stamp).withoutEffects()
}

private fun ControlState.statusOf(judged: FolderMerge, errors: List<String>): RowValue.Status {
    val version = (publisher.head?.value as? RowValue.Head)?.version ?: ConfigVersion.NONE
    return RowValue.Status(judged.digest, errors, version, identity.node)
}

/** True while edits are to be gathered: the window is open or opens with this change. */
private fun ControlState.isBatching(stamp: Stamp): Boolean {
    val untilMillis = publisher.batchUntilMillis
    return disseminationProfile == DisseminationProfile.BYTES && (untilMillis == null || stamp.nowMillis < untilMillis)
}

private fun ControlState.batch(stamp: Stamp): Transition {
    val windowMillis = applied?.configuration?.dissemination?.batchWindowMillis ?: 0
    val untilMillis = publisher.batchUntilMillis ?: (stamp.nowMillis + windowMillis)
    return copy(publisher = publisher.copy(batchUntilMillis = untilMillis)).waitForScan(untilMillis).withoutEffects()
}
