package boragelever.core.control

import boragelever.core.Stamp
import boragelever.core.config.ConfigId
import boragelever.core.store.Revision
import boragelever.core.store.SourcedConfig
import boragelever.core.store.StoreAnswer
import boragelever.core.store.StoreCommand

/** Where accepted configurations come from. */
public sealed interface ConfigOrigin {
    /** The operators' folder; the holder of the publisher lease merges it and publishes the result. */
    public data object Folder : ConfigOrigin

    /**
     * A row of the platform's store with a single writer, so that no publisher is needed.
     *
     * One member of each region watches the row and pushes changes to its region. A member that nobody covers watches
     * the row itself.
     */
    public data object StoreRow : ConfigOrigin
}

/** State of the watch on the configuration source. */
public data class SourceState(
    public val phase: SourcePhase = SourcePhase.Resting(),
    /** Revision up to which changes were seen, or `null` before the first read. */
    public val revision: Revision? = null,
    /** The last configuration that this node read from the source. */
    public val lastOffered: ConfigId? = null,
    public val failures: Int = 0,
    public val coverage: SourceWatchHealth = SourceWatchHealth(),
)

/** Progress of the watch. */
public sealed interface SourcePhase {
    /** Nothing is on its way. */
    public data class Resting(public val untilMillis: Long = 0) : SourcePhase

    /** The store was asked. */
    public data class Asking(public val request: RequestId) : SourcePhase
}

internal fun reduceSource(state: ControlState, event: Event): Transition =
    when (state.identity.origin) {
        is ConfigOrigin.Folder -> state.withoutEffects()
        is ConfigOrigin.StoreRow -> reduceStoreRow(state, event)
    }

private fun reduceStoreRow(state: ControlState, event: Event): Transition =
    when (event) {
        is Event.Ticked -> state.tickCoverage(event.stamp.nowMillis).andThen { it.watchIfDue(event.stamp) }
        is Event.PeerMessageReceived -> state.coverageMessage(event)
        is Event.StoreCommandCompleted -> {
            val phase = state.source.phase
            if (phase is SourcePhase.Asking && phase.request == event.request) {
                state.sourceAnswered(event.result, event.stamp)
            } else {
                state.withoutEffects()
            }
        }
        else -> state.withoutEffects()
    }

internal inline fun ControlState.updateSource(change: SourceState.() -> SourceState): ControlState =
    copy(source = source.change())

/** Asks the store if this node is to watch the source and the last answer is old enough. */
private fun ControlState.watchIfDue(stamp: Stamp): Transition {
    val phase = source.phase
    val isDue = phase is SourcePhase.Resting && stamp.nowMillis >= phase.untilMillis
    return if (isDue && watchesSource(stamp.nowMillis) && admitsStoreCalls()) ask() else withoutEffects()
}

private fun ControlState.ask(): Transition {
    val revision = source.revision
    val command = when (revision) {
        null -> StoreCommand.ReadConfigSource
        else -> StoreCommand.AwaitConfigSource(revision, WAIT_MILLIS)
    }
    val call = callStore(RequestOwner.SOURCE, command)
    return call.send { updateSource { copy(phase = SourcePhase.Asking(call.request)) } }
}

private fun ControlState.sourceAnswered(answer: StoreAnswer, stamp: Stamp): Transition =
    when (answer) {
        is StoreAnswer.SourceRead ->
            updateSource { copy(phase = SourcePhase.Resting(), revision = answer.revision, failures = 0) }
                .noteConfirmed(stamp.nowMillis)
                .offerSourced(answer.config)
                .andThen { it.watchIfDue(stamp) }
        is StoreAnswer.SourceHistoryLost ->
            updateSource { copy(phase = SourcePhase.Resting(), revision = null) }.watchIfDue(stamp)
        else -> {
            val failures = source.failures + 1
            val waitMillis = stamp.fullJitterMillis("source", failures, RETRY_BASE_MILLIS, RETRY_CAP_MILLIS)
            val untilMillis = stamp.nowMillis + RETRY_MIN_MILLIS + waitMillis
            updateSource { copy(phase = SourcePhase.Resting(untilMillis), failures = failures) }.withoutEffects()
        }
    }

private fun ControlState.offerSourced(config: SourcedConfig?): Transition {
    if (config == null) return withoutEffects()
    val id = ConfigId(config.version, config.document.digest())
    val isNewer = isNewerConfig(id)
    return if (isNewer) updateSource { copy(lastOffered = id) }.offerConfig(id, config.document) else withoutEffects()
}

/**
 * Longest time that the store holds a request without a change.
 *
 * A connection that went silent is noticed after this time, and each request is billed.
 */
private const val WAIT_MILLIS = 5_000L
private const val RETRY_MIN_MILLIS = 100L
private const val RETRY_BASE_MILLIS = 200L

/** The source is to be watched again soon after an outage has ended. */
private const val RETRY_CAP_MILLIS = 800L
