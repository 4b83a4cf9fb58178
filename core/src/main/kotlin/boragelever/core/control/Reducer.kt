package boragelever.core.control

/**
 * The next control state and what the runtime has to do.
 *
 * @property effects in the order in which the runtime starts them.
 */
public data class Transition(public val state: ControlState, public val effects: List<Effect> = emptyList())

/**
 * Reduces one event. The only entry to the control state.
 *
 * Each concern sees the event in turn with the state that the concerns before it left: the store's health first, then
 * lease, publisher, claim cleanup, membership, discovery, configuration, its source, dissemination, quarantine, and
 * last the snapshot that follows from all.
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

private inline fun Transition.then(event: Event, concern: (ControlState, Event) -> Transition): Transition {
    val next = concern(state, event)
    return if (next.effects.isEmpty()) {
        Transition(next.state, effects)
    } else {
        Transition(next.state, effects + next.effects)
    }
}

/** Continues with [next]; the effects of both follow each other. */
internal inline fun Transition.andThen(next: (ControlState) -> Transition): Transition {
    val following = next(state)
    return Transition(following.state, effects + following.effects)
}

/** This state without effects. */
internal fun ControlState.withoutEffects(): Transition = Transition(this)

/** This state with [effects]. */
internal fun ControlState.with(vararg effects: Effect): Transition = Transition(this, effects.asList())

/** Reports notices from the concerns that changed. */
internal fun report(notice: Notice): Effect = Effect.Report(notice)
