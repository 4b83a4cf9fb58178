package boragelever.core.control

import boragelever.core.EventContext
import boragelever.core.config.ConfigId
import boragelever.core.store.ConfigSourceSnapshot
import boragelever.core.store.Revision
import boragelever.core.store.StoreCommand
import boragelever.core.store.StoreResult

/** Origin of the configurations that this node applies. */
public sealed interface ConfigOrigin {
    /** The operators' folder, which the holder of the publisher lease merges and publishes. */
    public data object Folder : ConfigOrigin

    /**
     * A row of the platform's store with a single writer, so that no publisher is needed.
     *
     * One member of each region watches the row and pushes changes to its region. A member without reports from such a
     * watcher watches the row itself.
     */
    public data object StoreRow : ConfigOrigin
}

/** State of the watch of the configuration source. */
public data class SourceState(
    public val phase: SourcePhase = SourcePhase.Idle(),
    /** Revision of the store up to which changes were read, or `null` before the first read. */
    public val revision: Revision? = null,
    /** The last configuration that this node read from the source. */
    public val lastOffered: ConfigId? = null,
    /** Number of commands in a row that failed; the wait before the next one grows with it. */
    public val failures: Int = 0,
    public val watchHealth: SourceWatchHealth = SourceWatchHealth(),
)

/** Progress of the watch of the configuration source. */
public sealed interface SourcePhase {
    /** No command is in flight; the next one is sent at [untilMillis]. */
    public data class Idle(public val untilMillis: Long = 0) : SourcePhase

    /** The command [request] is in flight; its result is overdue at [overdueMillis]. */
    public data class Requesting(public val request: RequestId, public val overdueMillis: Long) : SourcePhase
}

internal fun reduceSource(state: ControlState, event: Event): Transition =
    when (state.identity.origin) {
        is ConfigOrigin.Folder -> state.withoutEffects()
        is ConfigOrigin.StoreRow -> reduceStoreRow(state, event)
    }

private fun reduceStoreRow(state: ControlState, event: Event): Transition =
    when (event) {
        is Event.Ticked -> state.tickSourceWatch(event.context.nowMillis).andThen { it.callSourceIfDue(event.context) }
        is Event.PeerMessageReceived -> state.receiveSourceReport(event)
        is Event.StoreCommandCompleted -> {
            val phase = state.source.phase
            if (phase is SourcePhase.Requesting && phase.request == event.request) {
                state.sourceCommandCompleted(event.result, event.context)
            } else {
                state.withoutEffects()
            }
        }
        else -> state.withoutEffects()
    }

internal inline fun ControlState.updateSource(change: SourceState.() -> SourceState): ControlState =
    copy(source = source.change())

/** Sends the next command if this node watches the source and the wait after the last result is over. */
private fun ControlState.callSourceIfDue(context: EventContext): Transition {
    val phase = source.phase
    val isDue = phase is SourcePhase.Idle && context.nowMillis >= phase.untilMillis
    return if (isDue && watchesSource(context.nowMillis) && admitsStoreCalls()) {
        callSource(context.nowMillis)
    } else {
        withoutEffects()
    }
}

private fun ControlState.callSource(nowMillis: Long): Transition {
    val revision = source.revision
    val waitMillis = if (revision == null) 0 else watchWaitMillis(nowMillis)
    val command = when (revision) {
        null -> StoreCommand.ReadConfigSource
        else -> StoreCommand.AwaitConfigSource(revision, waitMillis)
    }
    val call = callStore(RequestOwner.SOURCE, command)
    val phase = SourcePhase.Requesting(call.request, nowMillis + waitMillis + RESULT_SLACK_MILLIS)
    return call.send { updateSource { copy(phase = phase) } }
}

private fun ControlState.sourceCommandCompleted(result: StoreResult, context: EventContext): Transition =
    when (result) {
        is StoreResult.ConfigSourceRead ->
            updateSource { copy(phase = SourcePhase.Idle(), revision = result.revision, failures = 0) }
                .recordConfirmation(context.nowMillis)
                .offerSourced(result.config)
                .andThen { it.reportResultToOtherRegions() }
                .andThen { it.callSourceIfDue(context) }
        is StoreResult.ConfigSourceHistoryLost ->
            updateSource { copy(phase = SourcePhase.Idle(), revision = null) }.callSourceIfDue(context)
        else -> {
            val failures = source.failures + 1
            val waitMillis = context.fullJitterMillis("source", failures, BASE_RETRY_MILLIS, MAX_RETRY_MILLIS)
            val untilMillis = context.nowMillis + MIN_RETRY_MILLIS + waitMillis
            updateSource { copy(phase = SourcePhase.Idle(untilMillis), failures = failures) }.withoutEffects()
        }
    }

private fun ControlState.offerSourced(config: ConfigSourceSnapshot?): Transition {
    if (config == null) return withoutEffects()
    val id = ConfigId(config.version, config.document.digest())
    val isNewer = isNewerConfig(id)
    return if (isNewer) updateSource { copy(lastOffered = id) }.offerConfig(id, config.document) else withoutEffects()
}

/** Time beyond the wait of a command in which its result is expected; it covers the timeout of the connection. */
private const val RESULT_SLACK_MILLIS = 600L
private const val MIN_RETRY_MILLIS = 100L
private const val BASE_RETRY_MILLIS = 200L

/** Upper bound of the jittered wait, so that the watch resumes soon after an outage. */
private const val MAX_RETRY_MILLIS = 800L
