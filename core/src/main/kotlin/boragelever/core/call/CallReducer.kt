package boragelever.core.call

/** State and effects that result from reducing an event of a call. */
public data class CallTransition(public val state: CallState, public val effects: List<CallEffect> = emptyList())

/** Reduces one event of a call. Pure: time and randomness come from the event. */
public fun reduceCall(state: CallState, event: CallEvent): CallTransition =
    when (state) {
        is CallState.FirstHop -> reduceFirstHop(state, event)
        is CallState.LastHop -> reduceLastHop(state, event)
    }

/** Phase of the call at either hop. */
public val CallState.phase: CallPhase
    get() = when (this) {
        is CallState.FirstHop -> phase
        is CallState.LastHop -> phase
    }

internal fun CallState.noEffects(): CallTransition = CallTransition(this)

internal fun CallState.with(vararg effects: CallEffect): CallTransition = CallTransition(this, effects.toList())
