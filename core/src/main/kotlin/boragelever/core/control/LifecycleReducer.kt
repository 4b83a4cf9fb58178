package boragelever.core.control

import boragelever.core.config.ServiceConfig

/** Time that a leaving node stays, so that every peer has taken its upstreams out of the snapshots. */
internal const val DEPARTURE_MILLIS: Long = 2_000

/**
 * Time for which a stopping node still takes calls.
 *
 * Readiness is asked for each second, and callers stay away after two answers in the negative.
 */
internal const val STOP_NOTICE_MILLIS: Long = 2_000

/** Time between the announcement of the end and the exit, in which the announcement is repeated if need be. */
private const val FAREWELL_MILLIS = 300L

/** Part of the stop grace that is kept for the announcement of the end and the exit itself. */
private const val STOP_RESERVE_MILLIS = 1_000L

internal fun reduceLifecycle(state: ControlState, event: Event): Transition {
    val current = if (state.pausedMillis == null) state else state.copy(pausedMillis = null)
    return when (event) {
        is Event.Started -> current.copy(lifecycle = LifecycleState.Running).unchanged()
        is Event.Ticked -> current.tickLifecycle(event.stamp.nowMillis)
        is Event.StopRequested -> current.stopRequested(event.stamp.nowMillis)
        is Event.SettingsChanged -> current.settingsChanged(event.live)
        is Event.CallsFinished -> current.callsFinished()
        else -> current.unchanged()
    }
}

private fun ControlState.tickLifecycle(nowMillis: Long): Transition {
    val gapMillis = nowMillis - (lastTickMillis ?: nowMillis)
    val pausedMillis = gapMillis.takeIf { it > PAUSE_THRESHOLD_MILLIS }
    val next = copy(lastTickMillis = nowMillis, pausedMillis = pausedMillis)
        .refuseIfDue(nowMillis)
        .departIfDone(nowMillis)
    val departedMillis = (next.lifecycle as? LifecycleState.Draining)?.departedMillis
    val mayExit = departedMillis != null && nowMillis - departedMillis >= FAREWELL_MILLIS
    return next
        .unchanged()
        .andThenIf(pausedMillis != null) { it.with(report(Notice.Resumed(gapMillis))) }
        .andThenIf(mayExit) { it.with(Effect.Exit) }
}

private fun ControlState.refuseIfDue(nowMillis: Long): ControlState {
    val draining = lifecycle as? LifecycleState.Draining ?: return this
    if (draining.refuses || nowMillis - draining.sinceMillis < STOP_NOTICE_MILLIS) return this
    return copy(lifecycle = draining.copy(refuses = true))
}

private fun ControlState.departIfDone(nowMillis: Long): ControlState {
    val draining = lifecycle as? LifecycleState.Draining ?: return this
    if (draining.departedMillis != null || !isDrained(draining, nowMillis)) return this
    return copy(lifecycle = draining.copy(departedMillis = nowMillis))
}

private fun ControlState.stopRequested(nowMillis: Long): Transition =
    when (lifecycle) {
        is LifecycleState.Draining -> unchanged()
        else -> copy(lifecycle = LifecycleState.Draining(nowMillis)).with(report(Notice.Draining))
    }

private fun ControlState.settingsChanged(live: LiveSettings): Transition {
    if (live == identity.live) return unchanged()
    return copy(identity = identity.copy(live = live)).with(report(Notice.SettingsChanged(live)))
}

private fun ControlState.callsFinished(): Transition =
    when (val current = lifecycle) {
        is LifecycleState.Draining -> copy(lifecycle = current.copy(callsFinished = true)).unchanged()
        else -> unchanged()
    }

private fun ControlState.isDrained(draining: LifecycleState.Draining, nowMillis: Long): Boolean {
    val elapsedMillis = nowMillis - draining.sinceMillis
    val services = applied?.configuration?.services?.values.orEmpty()
    val boundMillis = identity.live.stopGraceMillis?.let { it - STOP_RESERVE_MILLIS }
        ?: (services.map { it.drainMillis } + ServiceConfig().drainMillis).max()
    return elapsedMillis >= boundMillis || (draining.callsFinished && elapsedMillis >= DEPARTURE_MILLIS)
}

/** True once the node has announced its end; it no longer refutes that it is dead. */
internal val ControlState.hasDeparted: Boolean
    get() = (lifecycle as? LifecycleState.Draining)?.departedMillis != null
