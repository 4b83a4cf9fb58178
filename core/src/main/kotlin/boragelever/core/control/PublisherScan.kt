package boragelever.core.control

import boragelever.core.ConfigVersion
import boragelever.core.EventContext
import boragelever.core.config.ConfigDocument
import boragelever.core.config.DisseminationProfile
import boragelever.core.store.RowValue
import boragelever.core.store.StoreKeys

/** Lists the folder, reads its changed files and lists it again; merges it only if both listings are equal. */
internal fun reduceScan(state: ControlState, phase: PublisherPhase, event: Event): Transition =
    when (phase) {
        is PublisherPhase.Listing -> state.onFolderResult(event, phase.request) { state.listed(it, event.context) }
        is PublisherPhase.ReadingFiles ->
            state.onFolderResult(event, phase.request) { state.filesRead(phase, it, event.context) }
        is PublisherPhase.ListingAgain ->
            state.onFolderResult(event, phase.request) { state.listedAgain(phase, it, event.context) }
        is PublisherPhase.Merging ->
            if (event is Event.FolderMerged && event.request == phase.request) {
                state.folderMerged(FolderMerge(phase.entries, event.outcome), event.context)
            } else {
                state.withoutEffects()
            }
        else -> state.withoutEffects()
    }

/** Starts a scan by listing the folder. */
internal fun ControlState.startScan(): Transition {
    val (next, request) = nextRequest(RequestOwner.PUBLISHER)
    return next.withPhase(PublisherPhase.Listing(request)).with(Effect.ListFolder(request))
}

private inline fun ControlState.onFolderResult(
    event: Event,
    request: RequestId,
    handle: (FolderResult) -> Transition,
): Transition =
    if (event is Event.FolderRequestCompleted && event.request == request) handle(event.result) else withoutEffects()

private fun ControlState.listed(result: FolderResult, context: EventContext): Transition {
    if (result !is FolderResult.Listed) return folderUnreadable(result, context)
    val readable = copy(publisher = publisher.copy(readError = null))
    val lastMerge = publisher.lastMerge
    if (lastMerge != null && lastMerge.entries == result.entries) return readable.publishIfChanged(lastMerge, context)
    val changed = result.entries.filter { publisher.files[it.name]?.entityTag != it.entityTag }
    if (changed.isEmpty()) return readable.listAgain(result.entries)
    val (next, request) = readable.nextRequest(RequestOwner.PUBLISHER)
    return next
        .withPhase(PublisherPhase.ReadingFiles(request, result.entries))
        .with(Effect.ReadFolder(request, changed.map { it.name }))
}

private fun ControlState.filesRead(
    phase: PublisherPhase.ReadingFiles,
    result: FolderResult,
    context: EventContext,
): Transition {
    if (result !is FolderResult.Read) return folderUnreadable(result, context)
    val knownFiles = publisher.files + result.files.associateBy { it.name }
    val files = knownFiles.filterKeys { name -> phase.entries.any { it.name == name } }
    val isComplete = phase.entries.all { files[it.name]?.entityTag == it.entityTag }
    val next = copy(publisher = publisher.copy(files = files))
    return if (isComplete) next.listAgain(phase.entries) else next.rescan(context)
}

private fun ControlState.listAgain(entries: List<FolderEntry>): Transition {
    val (next, request) = nextRequest(RequestOwner.PUBLISHER)
    return next.withPhase(PublisherPhase.ListingAgain(request, entries)).with(Effect.ListFolder(request))
}

private fun ControlState.listedAgain(
    phase: PublisherPhase.ListingAgain,
    result: FolderResult,
    context: EventContext,
): Transition {
    if (result !is FolderResult.Listed) return folderUnreadable(result, context)
    if (result.entries != phase.entries) return rescan(context)
    val (next, request) = nextRequest(RequestOwner.PUBLISHER)
    val files = phase.entries.mapNotNull { publisher.files[it.name] }
    return next.withPhase(PublisherPhase.Merging(request, phase.entries)).with(Effect.MergeFolder(request, files))
}

private fun ControlState.rescan(context: EventContext): Transition =
    scheduleScan(context.nowMillis + RESCAN_WAIT_MILLIS).withoutEffects()

private fun ControlState.folderUnreadable(result: FolderResult, context: EventContext): Transition {
    val error = (result as? FolderResult.Failed)?.message ?: "Cannot read the folder: unexpected result of the request"
    val failed = retryScan(context)
    val next = failed.copy(publisher = failed.publisher.copy(readError = error))
    return if (publisher.readError == null) next.with(report(Notice.FolderUnreadable(error))) else next.withoutEffects()
}

private fun ControlState.folderMerged(merge: FolderMerge, context: EventContext): Transition {
    val next = copy(publisher = publisher.copy(lastMerge = merge))
    val reported =
        when (val outcome = merge.outcome) {
            is MergeOutcome.Merged -> next.withoutEffects()
            is MergeOutcome.Rejected -> next.with(report(Notice.FolderRejected(outcome.errors)))
        }
    return reported.andThen { it.publishIfChanged(merge, context) }
}

/** Publishes the merged document or the validation errors of a folder, unless the shared rows already contain them. */
private fun ControlState.publishIfChanged(merge: FolderMerge, context: EventContext): Transition =
    when (val outcome = merge.outcome) {
        is MergeOutcome.Merged -> publishIfNew(merge, outcome.document, context)
        is MergeOutcome.Rejected -> {
            val status = statusRow(merge, outcome.errors)
            val knownStatus = publisher.status
            val isReported = knownStatus?.folderDigest == status.folderDigest && knownStatus.errors == status.errors
            if (isReported) finishScan(context) else writeRows(PublishPlan(null, status), context)
        }
    }

private fun ControlState.publishIfNew(merge: FolderMerge, document: ConfigDocument, context: EventContext): Transition {
    val head = publisher.head?.value as? RowValue.Head
    val clearsErrors = publisher.status?.errors.orEmpty().isNotEmpty()
    val status = if (clearsErrors) statusRow(merge, emptyList()) else null
    val digest = document.digest()
    return when {
        head?.digest == digest && status == null -> finishScan(context)
        head?.digest == digest -> writeRows(PublishPlan(null, status), context)
        isBatching(context) -> awaitBatchEnd(context)
        else -> {
            val version = ConfigVersion(maxOf(head?.version ?: ConfigVersion.NONE, knownVersion()).value + 1)
            val epoch = (lease as LeaseState.Held).epoch
            val value = RowValue.Head(version, epoch, digest, StoreKeys.document(version, digest), identity.node)
            writeDocument(PublishPlan(PlannedHead(value, document), status?.copy(version = version)))
        }
    }
}

private fun ControlState.finishScan(context: EventContext): Transition {
    val next = copy(publisher = publisher.copy(failures = 0, batchUntilMillis = null))
    return next.scheduleNextScan(context).withoutEffects()
}

private fun ControlState.statusRow(merge: FolderMerge, errors: List<String>): RowValue.Status {
    val version = (publisher.head?.value as? RowValue.Head)?.version ?: ConfigVersion.NONE
    return RowValue.Status(merge.digest, errors, version, identity.node)
}

/** True while edits are batched: the batch window is open, or this change opens it. */
private fun ControlState.isBatching(context: EventContext): Boolean {
    val endMillis = publisher.batchUntilMillis
    return disseminationProfile == DisseminationProfile.BYTES && (endMillis == null || context.nowMillis < endMillis)
}

private fun ControlState.awaitBatchEnd(context: EventContext): Transition {
    val windowMillis = applied?.configuration?.dissemination?.batchWindowMillis ?: 0
    val endMillis = publisher.batchUntilMillis ?: (context.nowMillis + windowMillis)
    return copy(publisher = publisher.copy(batchUntilMillis = endMillis)).scheduleScan(endMillis).withoutEffects()
}
