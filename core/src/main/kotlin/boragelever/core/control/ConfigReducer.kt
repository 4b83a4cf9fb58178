package boragelever.core.control

import boragelever.core.config.ConfigDocument
import boragelever.core.config.ConfigId
import boragelever.core.store.RowKey
import boragelever.core.store.RowValue
import boragelever.core.store.StoreAnswer
import boragelever.core.store.StoreCommand

/** A configuration that is being compiled. */
public data class PendingConfig(public val id: ConfigId, public val document: ConfigDocument)

/** A read of the store's head; [head] is set while its document is read. */
public data class HeadRead(public val request: RequestId, public val head: RowValue.Head? = null)

private val HEAD_KEY = RowKey("config/head")

/** Compiles [document] if it is newer than what is applied or being compiled and matches its digest. */
internal fun ControlState.offerConfig(id: ConfigId, document: ConfigDocument): Transition {
    val isNewer = id.version > applied?.id.versionOrNone() && id.version > pendingConfig?.id.versionOrNone()
    if (!isNewer || document.digest() != id.digest) return unchanged()
    return copy(pendingConfig = PendingConfig(id, document)).with(Effect.CompileDocument(id.version, document))
}

/** Reads the head of the store, unless a read is under way. */
internal fun ControlState.readHead(): Transition {
    if (headRead != null) return unchanged()
    val (next, request) = nextRequest(RequestOwner.DISSEMINATION)
    return next
        .copy(headRead = HeadRead(request))
        .with(Effect.CallStore(request, StoreCommand.ReadRows(listOf(HEAD_KEY))))
}

internal fun reduceConfig(state: ControlState, event: Event): Transition =
    when (event) {
        is Event.DocumentCompiled -> state.compiled(event)
        is Event.StoreAnswered -> if (event.request ==
            state.headRead?.request
        ) {
            state.headAnswered(event)
        } else {
            state.unchanged()
        }
        else -> state.unchanged()
    }

private fun ControlState.compiled(event: Event.DocumentCompiled): Transition {
    val pending = pendingConfig?.takeIf { it.id.version == event.version } ?: return unchanged()
    val done = copy(pendingConfig = null)
    return when (val outcome = event.outcome) {
        is CompileOutcome.Compiled ->
            done
                .copy(applied = AppliedConfig(pending.id, pending.document, outcome.configuration))
                .with(report(Notice.ConfigApplied(pending.id)))
        is CompileOutcome.Refused -> done.with(report(Notice.ConfigRefused(pending.id, outcome.errors)))
    }
}

private fun ControlState.headAnswered(event: Event.StoreAnswered): Transition {
    val done = copy(headRead = null)
    return when (val answer = event.answer) {
        is StoreAnswer.RowsRead -> done.readDocument(answer.rows.firstOrNull()?.value as? RowValue.Head)
        is StoreAnswer.DocumentRead -> {
            val head = headRead?.head ?: return done.unchanged()
            done.offerConfig(ConfigId(head.version, head.digest), answer.document)
        }
        else -> done.unchanged()
    }
}

private fun ControlState.readDocument(head: RowValue.Head?): Transition {
    if (head == null || head.version <= applied?.id.versionOrNone()) return unchanged()
    val (next, request) = nextRequest(RequestOwner.DISSEMINATION)
    return next
        .copy(headRead = HeadRead(request, head))
        .with(Effect.CallStore(request, StoreCommand.GetDocument(head.document)))
}
