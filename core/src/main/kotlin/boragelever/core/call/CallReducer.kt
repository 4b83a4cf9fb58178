package boragelever.core.call

/** Result of reducing an event of a call. */
public data class CallTransition(public val state: CallState, public val effects: List<CallEffect> = emptyList())

/** Reduces one event of a call. Pure: time and random numbers come with the event. */
public fun reduceCall(state: CallState, event: CallEvent): CallTransition =
    when (state) {
        is CallState.FirstHop -> reduceFirstHop(state, event)
        is CallState.LastHop -> reduceLastHop(state, event)
    }

/** The phase of either kind of call. */
public val CallState.phase: CallPhase
    get() = when (this) {
        is CallState.FirstHop -> phase
        is CallState.LastHop -> phase
    }

internal fun CallState.unchanged(): CallTransition = CallTransition(this)

internal fun CallState.with(vararg effects: CallEffect): CallTransition = CallTransition(this, effects.toList())
