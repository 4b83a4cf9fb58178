package boragelever.standin

import boragelever.core.store.EntityTag
import boragelever.core.store.ImmutableBytes
import boragelever.core.store.ObjectKey
import boragelever.core.store.Revision
import boragelever.core.store.Row
import boragelever.core.store.RowCondition
import boragelever.core.store.RowWrite
import boragelever.core.store.StoreCommand
import boragelever.core.store.StoreResult
import boragelever.platform.decodeDocumentResult
import boragelever.platform.decodeOperatorConfig
import boragelever.platform.encodeDocument
import boragelever.platform.entityTagOf
import boragelever.platform.isWrite
import kotlin.random.Random

/** Applies [request] to [state]. Pure function: all effects are described by the reply. */
public fun reducePlatform(state: PlatformState, request: PlatformRequest): PlatformStep =
    when (request) {
        is PlatformRequest.Execute -> execute(state, request.command)
        is PlatformRequest.WriteOperatorConfig -> writeOperatorConfig(state, request.text)
        is PlatformRequest.SetFaults ->
            PlatformStep(state.copy(faults = request.faults), PlatformReply.FaultsSet(request.faults))
        is PlatformRequest.ReadCounts -> PlatformStep(state, PlatformReply.Counts(state.counts))
    }

private fun execute(state: PlatformState, command: StoreCommand): PlatformStep {
    val counted = state.copy(counts = state.counts.count(command))
    val faults = state.faults
    return when {
        faults.down -> PlatformStep(counted, PlatformReply.Broken(executed = false))
        faults.refuse -> PlatformStep(counted, PlatformReply.Refused)
        else -> applyAndReply(counted, command)
    }
}

private fun applyAndReply(state: PlatformState, command: StoreCommand): PlatformStep {
    val (executed, result) = state.apply(command)
    val completed = executed.copy(counts = executed.counts.count(result))
    val delayMillis = state.faults.delayMillis
    return if (command.isWrite && state.losesResponse()) {
        val counts = completed.counts.copy(lostAnswers = completed.counts.lostAnswers + 1)
        PlatformStep(completed.copy(counts = counts), PlatformReply.Broken(executed = true, delayMillis))
    } else {
        PlatformStep(completed, PlatformReply.Completed(result, delayMillis))
    }
}

private fun PlatformState.losesResponse(): Boolean =
    faults.lostAnswersPercent > 0 &&
        Random(faults.seed * SEED_FACTOR + counts.writes).nextInt(PERCENT) < faults.lostAnswersPercent

private fun PlatformState.apply(command: StoreCommand): Pair<PlatformState, StoreResult> =
    when (command) {
        is StoreCommand.ReadRows -> this to StoreResult.RowsRead(command.keys.mapNotNull { rows[it] })
        is StoreCommand.ScanRows -> this to StoreResult.RowsRead(scan(command))
        is StoreCommand.Transact -> transact(command)
        is StoreCommand.ListObjects -> this to StoreResult.ObjectsListed(entries(command.prefix))
        is StoreCommand.GetObject -> this to readObject(command.key)
        is StoreCommand.GetDocument -> this to readDocument(command.key)
        is StoreCommand.PutObject -> putObject(command.key, command.bytes)
        is StoreCommand.PutDocument -> putObject(command.key, encodeDocument(command.document))
        is StoreCommand.ReadConfigSource -> this to readConfigSource(after = null)
        is StoreCommand.AwaitConfigSource -> this to readConfigSource(command.after)
        is StoreCommand.DeleteObject -> copy(objects = objects - command.key) to StoreResult.ObjectDeleted
    }

private fun writeOperatorConfig(state: PlatformState, text: String): PlatformStep {
    val revision = state.nextRevision()
    val next = state.copy(operatorConfig = OperatorRow(text, revision), lastRevision = revision.value)
    return PlatformStep(next, PlatformReply.OperatorConfigWritten(revision))
}

/** Returns the operator's configuration if it was written after revision [after], else only the last revision. */
private fun PlatformState.readConfigSource(after: Revision?): StoreResult {
    val row = operatorConfig?.takeIf { after == null || it.revision.value > after.value }
    return StoreResult.ConfigSourceRead(Revision(lastRevision), row?.let { decodeOperatorConfig(it.text) })
}

private fun PlatformState.scan(command: StoreCommand.ScanRows): List<Row> =
    sortedRows()
        .tailMap(command.prefix)
        .asSequence()
        .takeWhile { it.key.startsWith(command.prefix) }
        .filter { (key, _) -> command.after.let { it == null || key > it.value } }
        .take(command.limit)
        .map { it.value }
        .toList()

private fun PlatformState.transact(command: StoreCommand.Transact): Pair<PlatformState, StoreResult> {
    val conditionsHold = command.conditions.all { it.holds(this) }
    if (!conditionsHold) return this to StoreResult.Conflict(command.conditions.mapNotNull { rows[it.key] })
    val revision = nextRevision()
    val next =
        command.writes.fold(copy(lastRevision = revision.value)) { state, write ->
            when (write) {
                is RowWrite.Delete -> state.copy(rows = state.rows - write.key)
                is RowWrite.Put -> {
                    val row = Row(write.key, write.value, revision, command.writeId)
                    state.copy(rows = state.rows + (write.key to row))
                }
            }
        }
    return next to StoreResult.Committed(command.writes.mapNotNull { next.rows[it.key] })
}

private fun RowCondition.holds(state: PlatformState): Boolean =
    when (this) {
        is RowCondition.Absent -> key !in state.rows
        is RowCondition.RevisionIs -> state.rows[key]?.revision == revision
    }

private fun PlatformState.readObject(key: ObjectKey): StoreResult =
    objects[key]?.let { StoreResult.ObjectRead(it.bytes, it.entityTag) } ?: StoreResult.ObjectMissing

private fun PlatformState.readDocument(key: ObjectKey): StoreResult =
    objects[key]?.let { decodeDocumentResult(it.bytes) } ?: StoreResult.ObjectMissing

private fun PlatformState.putObject(key: ObjectKey, bytes: ImmutableBytes): Pair<PlatformState, StoreResult> {
    val entityTag = entityTagOf(bytes.toByteArray())
    return copy(objects = objects + (key to StoredObject(bytes, entityTag))) to StoreResult.ObjectWritten(entityTag)
}

private fun PlatformCounts.count(command: StoreCommand): PlatformCounts =
    if (command.isWrite) {
        val size = (command as? StoreCommand.PutObject)?.bytes?.sizeBytes ?: 0
        copy(writes = writes + 1, bytesWritten = bytesWritten + size)
    } else {
        copy(reads = reads + 1)
    }

private fun PlatformCounts.count(result: StoreResult): PlatformCounts =
    when (result) {
        is StoreResult.Conflict -> copy(conflicts = conflicts + 1)
        is StoreResult.ObjectRead -> copy(bytesRead = bytesRead + result.bytes.sizeBytes)
        else -> this
    }

private const val PERCENT = 100

/** Prime factor that gives adjacent seeds different sequences of lost responses. */
private const val SEED_FACTOR = 1_000_003L
