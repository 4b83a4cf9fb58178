package boragelever.core.control

import boragelever.core.ConfigVersion
import boragelever.core.EventContext
import boragelever.core.config.ConfigDocument
import boragelever.core.config.ConfigId
import boragelever.core.store.RowValue
import boragelever.core.store.StoreCommand
import boragelever.core.store.StoreKeys
import boragelever.core.store.StoreResult

/** A configuration whose document is being compiled before it is applied. */
public data class PendingConfig(public val id: ConfigId, public val document: ConfigDocument)

/** Progress of reading the head row and the document that it names from the store. */
public sealed interface HeadRead {
    /** No read is in flight; the last one ended at [finishedMillis] and returned a head that names [config]. */
    public data class Idle(public val finishedMillis: Long? = null, public val config: ConfigId? = null) : HeadRead

    /** The head row is being read. */
    public data class Row(public val request: RequestId) : HeadRead

    /** The document that [head] names is being read. */
    public data class Document(public val request: RequestId, public val head: RowValue.Head) : HeadRead
}

internal fun reduceConfig(state: ControlState, event: Event): Transition =
    when (event) {
        is Event.DocumentCompiled -> state.documentCompiled(event.version, event.outcome)
        is Event.StoreCommandCompleted -> state.headReadCompleted(event)
        else -> state.withoutEffects()
    }

/**
 * Offers a configuration that a peer or the store delivered.
 *
 * It is compiled only if its version is higher than those of the applied configuration and of one being compiled, and
 * if [document] matches the digest in [id]; otherwise it is ignored. It is applied once its document has compiled.
 */
internal fun ControlState.offerConfig(id: ConfigId, document: ConfigDocument): Transition =
    when {
        !isNewerConfig(id) -> withoutEffects()
        document.digest() != id.digest ->
            with(report(Notice.ConfigRefused(id, listOf("Document does not match its digest; fetching it again"))))
        else -> copy(pendingConfig = PendingConfig(id, document)).with(Effect.CompileDocument(id.version, document))
    }

/** True if [id] is newer than the applied configuration and the one being compiled, and was not refused. */
internal fun ControlState.isNewerConfig(id: ConfigId): Boolean = id.version > knownVersion() && id != refusedConfig

/** Highest version that this node has applied or is compiling. */
internal fun ControlState.knownVersion(): ConfigVersion = maxOf(
    applied?.id.versionOrNone(),
    pendingConfig?.id.versionOrNone(),
)

/** Reads the head row and, if it names a newer configuration, its document; does nothing while a read is in flight. */
internal fun ControlState.readHead(): Transition {
    if (headRead !is HeadRead.Idle || !admitsStoreCalls()) return withoutEffects()
    val call = callStore(RequestOwner.CONFIG, StoreCommand.ReadRows(listOf(StoreKeys.HEAD)))
    return call.send { copy(headRead = HeadRead.Row(call.request)) }
}

/** Reads the document of [head] unless its configuration is not newer or a document is being read. */
internal fun ControlState.fetchHeadDocument(head: RowValue.Head): Transition {
    val isNew = isNewerConfig(head.configId)
    if (!isNew || headRead is HeadRead.Document) return withoutEffects()
    val call = callStore(RequestOwner.CONFIG, StoreCommand.GetDocument(head.document))
    return call.send { copy(headRead = HeadRead.Document(call.request, head)) }
}

/** Version and digest of the configuration that this head names. */
internal val RowValue.Head.configId: ConfigId get() = ConfigId(version, digest)

private fun ControlState.documentCompiled(version: ConfigVersion, outcome: CompileOutcome): Transition {
    val pending = pendingConfig
    if (pending?.id?.version != version) return withoutEffects()
    val cleared = copy(pendingConfig = null)
    return when (outcome) {
        is CompileOutcome.Compiled ->
            cleared
                .copy(applied = AppliedConfig(pending.id, pending.document, outcome.configuration))
                .with(report(Notice.ConfigApplied(pending.id)))
        is CompileOutcome.Refused ->
            cleared.copy(refusedConfig = pending.id).with(report(Notice.ConfigRefused(pending.id, outcome.errors)))
    }
}

private fun ControlState.headReadCompleted(event: Event.StoreCommandCompleted): Transition =
    when (val read = headRead) {
        is HeadRead.Idle -> withoutEffects()
        is HeadRead.Row -> onResult(event, read.request) { headRowRead(it, event.context) }
        is HeadRead.Document -> onResult(event, read.request) { headDocumentRead(read.head, it, event.context) }
    }

private fun ControlState.headRowRead(result: StoreResult, context: EventContext): Transition {
    val rows = (result as? StoreResult.RowsRead)?.rows.orEmpty()
    val head = rows.row(StoreKeys.HEAD)?.value as? RowValue.Head
    val finished = copy(headRead = HeadRead.Idle(context.nowMillis, head?.configId))
    return if (head == null) finished.withoutEffects() else finished.fetchHeadDocument(head)
}

private fun ControlState.headDocumentRead(head: RowValue.Head, result: StoreResult, context: EventContext): Transition {
    val finished = copy(headRead = HeadRead.Idle(context.nowMillis, head.configId))
    return if (result is StoreResult.DocumentRead) {
        finished.offerConfig(head.configId, result.document)
    } else {
        finished.withoutEffects()
    }
}
