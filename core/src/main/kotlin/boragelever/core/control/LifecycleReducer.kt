package boragelever.core.control

import boragelever.core.config.ServiceConfig

/** Time that a leaving node stays, so that every peer has taken its upstreams out of the snapshots. */
internal const val DEPARTURE_MILLIS: Long = 2_000

internal fun reduceLifecycle(state: ControlState, event: Event): Transition {
    val current = if (state.pausedMillis == null) state else state.copy(pausedMillis = null)
    return when (event) {
        is Event.Started -> current.copy(lifecycle = LifecycleState.Running).unchanged()
        is Event.Ticked -> current.tickLifecycle(event.stamp.nowMillis)
        is Event.StopRequested -> current.stopRequested(event.stamp.nowMillis)
        is Event.CallsFinished -> current.callsFinished()
        else -> current.unchanged()
    }
}

private fun ControlState.tickLifecycle(nowMillis: Long): Transition {
    val gapMillis = nowMillis - (lastTickMillis ?: nowMillis)
    val pausedMillis = gapMillis.takeIf { it > PAUSE_MILLIS }
    val next = copy(lastTickMillis = nowMillis, pausedMillis = pausedMillis)
    return next
        .unchanged()
        .andThenIf(pausedMillis != null) { it.with(report(Notice.Resumed(gapMillis))) }
        .andThenIf(next.mayExit(nowMillis)) { it.with(Effect.Exit) }
}

private fun ControlState.stopRequested(nowMillis: Long): Transition =
    when (lifecycle) {
        is LifecycleState.Draining -> unchanged()
        else -> copy(lifecycle = LifecycleState.Draining(nowMillis)).with(report(Notice.Draining))
    }

private fun ControlState.callsFinished(): Transition =
    when (val current = lifecycle) {
        is LifecycleState.Draining -> copy(lifecycle = current.copy(callsFinished = true)).unchanged()
        else -> unchanged()
    }

private fun ControlState.mayExit(nowMillis: Long): Boolean {
    val draining = lifecycle as? LifecycleState.Draining ?: return false
    val elapsedMillis = nowMillis - draining.sinceMillis
    val services = applied?.configuration?.services?.values.orEmpty()
    val boundMillis = (services.map { it.drainMillis } + ServiceConfig().drainMillis).max()
    return elapsedMillis >= boundMillis || (draining.callsFinished && elapsedMillis >= DEPARTURE_MILLIS)
}
