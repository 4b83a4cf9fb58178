package boragelever.core.control

import boragelever.core.config.ServiceConfig

/** Shortest time from the stop request to the leave, so that every peer removes this node's upstreams from routing. */
internal const val MIN_DRAIN_MILLIS: Long = 2_000

/**
 * Time for which a draining node still accepts calls.
 *
 * Callers probe readiness every second and stop sending calls after two negative responses.
 */
internal const val DEREGISTRATION_DELAY_MILLIS: Long = 2_000

/** Time between the announcement of the leave and the exit, in which the broadcast is retransmitted if necessary. */
private const val LEAVE_BROADCAST_MILLIS = 300L

/** Part of the stop grace in which the node has announced its leave, with or without calls in flight. */
private const val LEAVE_RESERVE_MILLIS = 1_000L

/** Part of the stop grace that is reserved for the exit itself; calls may use the rest. */
private const val EXIT_RESERVE_MILLIS = 500L

internal fun reduceLifecycle(state: ControlState, event: Event): Transition {
    val current = if (state.pausedMillis == null) state else state.copy(pausedMillis = null)
    return when (event) {
        is Event.Started -> current.copy(lifecycle = LifecycleState.Running).withoutEffects()
        is Event.Ticked -> current.tickLifecycle(event.context.nowMillis)
        is Event.StopRequested -> current.stopRequested(event.context.nowMillis)
        is Event.SettingsChanged -> current.settingsChanged(event.settings)
        is Event.CallsFinished -> current.updateDraining { copy(callsFinished = true) }
        is Event.CallsResumed -> current.updateDraining { copy(callsFinished = false) }
        else -> current.withoutEffects()
    }
}

private fun ControlState.tickLifecycle(nowMillis: Long): Transition {
    val gapMillis = nowMillis - (lastTickMillis ?: nowMillis)
    val pausedMillis = gapMillis.takeIf { it > PAUSE_THRESHOLD_MILLIS }
    val next = copy(lastTickMillis = nowMillis, pausedMillis = pausedMillis)
        .refuseCallsIfDue(nowMillis)
        .announceLeaveIfDrained(nowMillis)
    val mayExit = (next.lifecycle as? LifecycleState.Draining)?.mayExit(nowMillis) ?: false
    return next
        .withoutEffects()
        .andThenIf(pausedMillis != null) { it.with(report(Notice.ProcessResumed(gapMillis))) }
        .andThenIf(mayExit) { it.with(Effect.Exit) }
}

/** True once the leave is known to the peers, and the calls have finished or have no time left. */
private fun LifecycleState.Draining.mayExit(nowMillis: Long): Boolean {
    val isLeaveKnown = leaveAnnouncedMillis != null && nowMillis - leaveAnnouncedMillis >= LEAVE_BROADCAST_MILLIS
    return isLeaveKnown && (callsFinished || exitMillis == null || nowMillis >= exitMillis)
}

private fun ControlState.refuseCallsIfDue(nowMillis: Long): ControlState {
    val draining = lifecycle as? LifecycleState.Draining ?: return this
    if (draining.refusesCalls || nowMillis - draining.sinceMillis < DEREGISTRATION_DELAY_MILLIS) return this
    return copy(lifecycle = draining.copy(refusesCalls = true))
}

private fun ControlState.announceLeaveIfDrained(nowMillis: Long): ControlState {
    val draining = lifecycle as? LifecycleState.Draining ?: return this
    if (draining.leaveAnnouncedMillis != null || !isDrained(draining, nowMillis)) return this
    return copy(lifecycle = draining.copy(leaveAnnouncedMillis = nowMillis))
}

private fun ControlState.stopRequested(nowMillis: Long): Transition =
    when (lifecycle) {
        is LifecycleState.Draining -> withoutEffects()
        else -> {
            val exitMillis = identity.reloadable.stopGraceMillis?.let { nowMillis + it - EXIT_RESERVE_MILLIS }
            copy(lifecycle = LifecycleState.Draining(nowMillis, exitMillis = exitMillis)).with(report(Notice.Draining))
        }
    }

private fun ControlState.settingsChanged(settings: ReloadableSettings): Transition {
    if (settings == identity.reloadable) return withoutEffects()
    return copy(identity = identity.copy(reloadable = settings)).with(report(Notice.SettingsChanged(settings)))
}

private inline fun ControlState.updateDraining(
    change: LifecycleState.Draining.() -> LifecycleState.Draining,
): Transition =
    when (val current = lifecycle) {
        is LifecycleState.Draining -> copy(lifecycle = current.change()).withoutEffects()
        else -> withoutEffects()
    }

private fun ControlState.isDrained(draining: LifecycleState.Draining, nowMillis: Long): Boolean {
    val elapsedMillis = nowMillis - draining.sinceMillis
    val services = applied?.configuration?.services?.values.orEmpty()
    val maxDrainMillis = identity.reloadable.stopGraceMillis?.let { it - LEAVE_RESERVE_MILLIS }
        ?: (services.map { it.drainMillis } + ServiceConfig().drainMillis).max()
    return elapsedMillis >= maxDrainMillis || (draining.callsFinished && elapsedMillis >= MIN_DRAIN_MILLIS)
}

/** True once the node has announced its leave; from then on it no longer refutes that it is dead. */
internal val ControlState.hasAnnouncedLeave: Boolean
    get() = (lifecycle as? LifecycleState.Draining)?.leaveAnnouncedMillis != null
