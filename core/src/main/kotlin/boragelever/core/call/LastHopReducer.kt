package boragelever.core.call

import boragelever.core.ServiceName
import boragelever.core.config.QueueConfig
import boragelever.core.control.UpstreamRecord
import boragelever.core.control.UpstreamState
import boragelever.core.routing.QuarantineDecision
import boragelever.core.routing.RoutingSnapshot
import boragelever.core.routing.quarantineDecision
import kotlin.math.min

/** Deadline of a call whose sender set none, so that a hanging upstream cannot occupy a slot indefinitely. */
private const val DEFAULT_DEADLINE_MILLIS = 60_000L

/** The first hop detects stalled bodies by the route's setting; this limit frees slots if that node has failed. */
private const val IDLE_TIMEOUT_MILLIS = 60_000L
private const val ATTEMPT = 1

/** Reduces an event of a call on the node of the upstream. */
internal fun reduceLastHop(state: CallState.LastHop, event: CallEvent): CallTransition =
    if (state.phase == CallPhase.Ended) {
        state.noEffects()
    } else {
        reduceActiveLastHop(state, event)
    }

private fun reduceActiveLastHop(state: CallState.LastHop, event: CallEvent): CallTransition =
    when (event) {
        is CallEvent.Arrived -> admitLastHop(state, event)
        is CallEvent.SlotGranted -> dispatch(state, event)
        is CallEvent.SlotDenied -> state.end(CallEffect.Refuse(notRunRefusal(UNAVAILABLE, event.reason)))
        is CallEvent.ResponseStarted ->
            if (event.response.outcome == Outcome.NOT_RUN) {
                state.end(CallEffect.Refuse(notRunRefusal(UNAVAILABLE, RefusalReason.UPSTREAM_SHED)))
            } else {
                state.copy(phase = CallPhase.Streaming(ATTEMPT, event.response))
                    .with(CallEffect.ForwardResponse(ATTEMPT, Outcome.COMPLETED))
            }
        is CallEvent.AttemptFailed -> lastHopAttemptFailed(state, event.failure)
        is CallEvent.BodyCompleted -> state.end()
        is CallEvent.BodyFailed -> {
            val crash = state.crashReport().takeIf { event.failure == BodyFailure.RESET }
            state.end(*listOfNotNull(crash, CallEffect.AbortResponse).toTypedArray())
        }
        is CallEvent.DeadlinePassed -> lastHopDeadlinePassed(state)
        is CallEvent.CallerDisconnected -> state.end(CallEffect.CancelAttempt(ATTEMPT))
        is CallEvent.ClaimCompleted, is CallEvent.EndpointSelected, is CallEvent.SelectionFailed,
        is CallEvent.HedgeTimerFired,
        -> state.noEffects()
    }

/** Refuses a call before dispatch if the upstream must not receive it. */
private fun admitLastHop(state: CallState.LastHop, event: CallEvent.Arrived): CallTransition {
    val snapshot = event.snapshot
    val nowMillis = event.context.nowMillis
    val upstream = snapshot?.localUpstreams?.get(state.request.instance)
    val remainingMillis = state.request.millisLeft
    val reason =
        if (remainingMillis > 0) refusalReason(state.request, snapshot, upstream, nowMillis) else RefusalReason.DEADLINE
    if (snapshot == null || upstream == null || reason != null) {
        val statusCode = if (reason == RefusalReason.DEADLINE) GATEWAY_TIMEOUT else UNAVAILABLE
        return state.end(CallEffect.Refuse(notRunRefusal(statusCode, reason ?: RefusalReason.UNKNOWN_INSTANCE)))
    }
    val deadlineMillis = nowMillis + remainingMillis
    val trial = (quarantineDecision(state.request, snapshot, upstream, nowMillis) as? QuarantineDecision.Try)?.id
    return state.copy(phase = CallPhase.Selecting, deadlineMillis = deadlineMillis, upstream = upstream, trial = trial)
        .with(
            CallEffect.SetDeadline(deadlineMillis),
            CallEffect.AcquireSlot(
                upstream.copy(slots = effectiveSlots(snapshot, upstream)),
                queueConfigOf(snapshot, upstream.service),
                state.request.priority,
                trial,
            ),
        )
}

/** Each running call has its own connection, so that the connection limit also limits the slots. */
private fun effectiveSlots(snapshot: RoutingSnapshot, upstream: UpstreamRecord): Int =
    min(upstream.slots, snapshot.services[upstream.service]?.config?.maxConnections ?: upstream.slots)

private fun refusalReason(
    request: LastHopRequest,
    snapshot: RoutingSnapshot?,
    upstream: UpstreamRecord?,
    nowMillis: Long,
): RefusalReason? {
    return when {
        snapshot == null -> RefusalReason.NO_CONFIGURATION
        snapshot.draining || nowMillis + request.millisLeft > (snapshot.exitMillis ?: Long.MAX_VALUE) ->
            RefusalReason.NODE_STOPPING
        upstream == null -> RefusalReason.UNKNOWN_INSTANCE
        upstream.state != UpstreamState.SERVING -> RefusalReason.NOT_SERVING
        !mayRun(quarantineDecision(request, snapshot, upstream, nowMillis), upstream) -> RefusalReason.QUARANTINED
        else -> null
    }
}

private fun quarantineDecision(
    request: LastHopRequest,
    snapshot: RoutingSnapshot,
    upstream: UpstreamRecord,
    nowMillis: Long,
): QuarantineDecision =
    request.fingerprint?.let { snapshot.quarantineDecision(it, upstream.service, nowMillis) }
        ?: QuarantineDecision.Admit

private fun mayRun(decision: QuarantineDecision, upstream: UpstreamRecord): Boolean =
    when (decision) {
        QuarantineDecision.Admit -> true
        QuarantineDecision.Refuse -> false
        is QuarantineDecision.Try -> decision.instance == upstream.instance
    }

private val LastHopRequest.millisLeft: Long get() = remainingMillis ?: DEFAULT_DEADLINE_MILLIS

private fun queueConfigOf(snapshot: RoutingSnapshot, service: ServiceName): QueueConfig =
    snapshot.services[service]?.config?.queue ?: QueueConfig()

private fun dispatch(state: CallState.LastHop, event: CallEvent.SlotGranted): CallTransition {
    val upstream = state.upstream ?: return state.noEffects()
    val remainingMillis = state.deadlineMillis - event.context.nowMillis
    val held = state.copy(holdsSlot = true)
    if (remainingMillis <= 0) return held.end(CallEffect.Refuse(notRunRefusal(GATEWAY_TIMEOUT, RefusalReason.DEADLINE)))
    val start = CallEffect.StartAttempt(
        attempt = ATTEMPT,
        target = AttemptTarget.LocalUpstream(upstream, state.request.fingerprint, isTrial = state.trial != null),
        attemptsLeft = state.request.attemptsLeft,
        headTimeoutMillis = remainingMillis,
        remainingMillis = remainingMillis,
        idleTimeoutMillis = IDLE_TIMEOUT_MILLIS,
        repeatable = false,
    )
    return held.copy(phase = CallPhase.Awaiting).with(start)
}

/** Failures that indicate that the upstream crashed: it accepts no connection. */
private val CRASH_FAILURES = setOf(FailureKind.REFUSED, FailureKind.RESET, FailureKind.CONNECT_TIMEOUT)

private fun lastHopAttemptFailed(state: CallState.LastHop, failure: AttemptFailure): CallTransition {
    val crashed = failure.kind in CRASH_FAILURES
    val refusal = when {
        !failure.requestSent -> notRunRefusal(UNAVAILABLE, RefusalReason.UPSTREAM_REFUSED)
        failure.kind in TIMEOUT_FAILURES -> Refusal(GATEWAY_TIMEOUT, Outcome.UNKNOWN, RefusalReason.DEADLINE)
        else -> Refusal(BAD_GATEWAY, Outcome.UNKNOWN, RefusalReason.ATTEMPT_FAILED)
    }
    val effects = listOfNotNull(state.crashReport().takeIf { crashed }, CallEffect.Refuse(refusal))
    return state.end(*effects.toTypedArray())
}

private fun lastHopDeadlinePassed(state: CallState.LastHop): CallTransition =
    when (state.phase) {
        CallPhase.Selecting ->
            state.end(CallEffect.Refuse(notRunRefusal(GATEWAY_TIMEOUT, RefusalReason.DEADLINE)))
        CallPhase.Awaiting ->
            state.end(
                CallEffect.CancelAttempt(ATTEMPT),
                CallEffect.Refuse(Refusal(GATEWAY_TIMEOUT, Outcome.UNKNOWN, RefusalReason.DEADLINE)),
            )
        else -> state.noEffects()
    }

private fun CallState.LastHop.crashReport(): CallEffect? = upstream?.let { CallEffect.ReportUpstreamCrash(it.instance) }

/** Ends the call. The slot is released before the response is written, so that a slow receiver does not occupy it. */
private fun CallState.LastHop.end(vararg effects: CallEffect): CallTransition {
    val release = listOfNotNull(CallEffect.ReleaseSlot.takeIf { holdsSlot })
    // A crash report lists the calls in flight, so it must precede the removal of this call.
    val reports = effects.filterIsInstance<CallEffect.ReportUpstreamCrash>()
    return CallTransition(
        copy(phase = CallPhase.Ended, holdsSlot = false),
        reports + release + (effects.toList() - reports.toSet()),
    )
}
