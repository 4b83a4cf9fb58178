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

/** Part of the stop grace that is reserved for the announcement of the leave and the exit. */
private const val EXIT_RESERVE_MILLIS = 1_000L

internal fun reduceLifecycle(state: ControlState, event: Event): Transition {
    val current = if (state.pausedMillis == null) state else state.copy(pausedMillis = null)
    return when (event) {
        is Event.Started -> current.copy(lifecycle = LifecycleState.Running).withoutEffects()
        is Event.Ticked -> current.tickLifecycle(event.context.nowMillis)
        is Event.StopRequested -> current.stopRequested(event.context.nowMillis)
        is Event.SettingsChanged -> current.settingsChanged(event.settings)
        is Event.CallsFinished -> current.callsFinished()
        else -> current.withoutEffects()
    }
}

private fun ControlState.tickLifecycle(nowMillis: Long): Transition {
    val gapMillis = nowMillis - (lastTickMillis ?: nowMillis)
    val pausedMillis = gapMillis.takeIf { it > PAUSE_THRESHOLD_MILLIS }
    val next = copy(lastTickMillis = nowMillis, pausedMillis = pausedMillis)
        .refuseCallsIfDue(nowMillis)
        .announceLeaveIfDrained(nowMillis)
    val leaveAnnouncedMillis = (next.lifecycle as? LifecycleState.Draining)?.leaveAnnouncedMillis
    val canExit = leaveAnnouncedMillis != null && nowMillis - leaveAnnouncedMillis >= LEAVE_BROADCAST_MILLIS
    return next
        .withoutEffects()
        .andThenIf(pausedMillis != null) { it.with(report(Notice.ProcessResumed(gapMillis))) }
        .andThenIf(canExit) { it.with(Effect.Exit) }
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
        else -> copy(lifecycle = LifecycleState.Draining(nowMillis)).with(report(Notice.Draining))
    }

private fun ControlState.settingsChanged(settings: ReloadableSettings): Transition {
    if (settings == identity.reloadable) return withoutEffects()
    return copy(identity = identity.copy(reloadable = settings)).with(report(Notice.SettingsChanged(settings)))
}

private fun ControlState.callsFinished(): Transition =
    when (val current = lifecycle) {
        is LifecycleState.Draining -> copy(lifecycle = current.copy(callsFinished = true)).withoutEffects()
        else -> withoutEffects()
    }

private fun ControlState.isDrained(draining: LifecycleState.Draining, nowMillis: Long): Boolean {
    val elapsedMillis = nowMillis - draining.sinceMillis
    val services = applied?.configuration?.services?.values.orEmpty()
    val maxDrainMillis = identity.reloadable.stopGraceMillis?.let { it - EXIT_RESERVE_MILLIS }
        ?: (services.map { it.drainMillis } + ServiceConfig().drainMillis).max()
    return elapsedMillis >= maxDrainMillis || (draining.callsFinished && elapsedMillis >= MIN_DRAIN_MILLIS)
}

/** True once the node has announced its leave; from then on it no longer refutes that it is dead. */
internal val ControlState.hasAnnouncedLeave: Boolean
    get() = (lifecycle as? LifecycleState.Draining)?.leaveAnnouncedMillis != null
