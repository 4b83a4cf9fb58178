package boragelever.core.control

/**
 * The next control state and the effects for the runtime to execute.
 *
 * @property effects effects in the order in which the runtime starts them.
 */
public data class Transition(public val state: ControlState, public val effects: List<Effect> = emptyList())

/**
 * Reduces one event. This is the only way to change the control state.
 *
 * The reducers run in a fixed order, each on the state that the previous one returned: lifecycle, store health, lease,
 * publisher, claim cleanup, membership, discovery, configuration, configuration source, dissemination, quarantine, and
 * finally the routing snapshot, which is derived from the rest.
 */
public fun reduce(state: ControlState, event: Event): Transition =
    Transition(state)
        .then(event, ::reduceLifecycle)
        .then(event, ::reduceStore)
        .then(event, ::reduceLease)
        .then(event, ::reducePublisher)
        .then(event, ::reduceClaimCleanup)
        .then(event, ::reduceMembership)
        .then(event, ::reduceDiscovery)
        .then(event, ::reduceConfig)
        .then(event, ::reduceSource)
        .then(event, ::reduceDissemination)
        .then(event, ::reduceQuarantine)
        .andThen(::reduceSnapshot)

private inline fun Transition.then(event: Event, reducer: (ControlState, Event) -> Transition): Transition {
    val next = reducer(state, event)
    return if (next.effects.isEmpty()) {
        Transition(next.state, effects)
    } else {
        Transition(next.state, effects + next.effects)
    }
}

/** Continues with [next] and appends its effects. */
internal inline fun Transition.andThen(next: (ControlState) -> Transition): Transition {
    val result = next(state)
    return Transition(result.state, effects + result.effects)
}

/** This state without effects. */
internal fun ControlState.withoutEffects(): Transition = Transition(this)

/** This state with [effects]. */
internal fun ControlState.with(vararg effects: Effect): Transition = Transition(this, effects.asList())

/** Returns the effect that reports [notice]. */
internal fun report(notice: Notice): Effect = Effect.Report(notice)
