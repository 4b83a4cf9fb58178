package boragelever.core.call

/** Status of the response to a client retry while the first call has no recorded response. */
private const val CONFLICT = 409
private const val UNPROCESSABLE_CONTENT = 422

/** Reduces an event of a call on the node that received it from the caller. */
internal fun reduceFirstHop(state: CallState.FirstHop, event: CallEvent): CallTransition =
    when (event) {
        is CallEvent.Arrived -> admit(state, event)
        is CallEvent.ClaimCompleted -> claimCompleted(state, event)
        is CallEvent.EndpointSelected -> endpointSelected(state, event)
        is CallEvent.SelectionFailed -> selectionFailed(state, event)
        is CallEvent.ResponseStarted -> responseStarted(state, event)
        is CallEvent.AttemptFailed -> attemptFailed(state, event)
        is CallEvent.BodyCompleted -> bodyCompleted(state, event)
        is CallEvent.BodyFailed -> bodyFailed(state, event)
        is CallEvent.HedgeTimerFired -> hedgeTimerFired(state)
        is CallEvent.DeadlinePassed -> deadlinePassed(state, event.context.nowMillis)
        is CallEvent.CallerDisconnected -> callerDisconnected(state, event.context.nowMillis)
        is CallEvent.SlotGranted, is CallEvent.SlotDenied -> state.noEffects()
    }

private fun claimCompleted(state: CallState.FirstHop, event: CallEvent.ClaimCompleted): CallTransition {
    val plan = state.plan ?: return state.noEffects()
    val row = state.request.key?.let { claimRow(it, plan.route.name) } ?: return state.noEffects()
    if (state.phase == CallPhase.ClaimAbandoned) {
        val end = state.copy(phase = CallPhase.Ended)
        return if (event.outcome == ClaimOutcome.Acquired) end.with(CallEffect.ReleaseClaim(row)) else end.noEffects()
    }
    return when (val outcome = event.outcome) {
        ClaimOutcome.Acquired -> {
            state.copy(phase = CallPhase.Selecting, claim = row).with(state.selectFirstEndpoint(plan))
        }
        is ClaimOutcome.Recorded ->
            state.copy(phase = CallPhase.Ended).with(CallEffect.ReplayResponse(outcome.response))
        ClaimOutcome.Pending -> state.refuse(Refusal(CONFLICT, Outcome.UNKNOWN, RefusalReason.CLAIM_PENDING))
        ClaimOutcome.KeyReused -> state.refuse(notRunRefusal(UNPROCESSABLE_CONTENT, RefusalReason.KEY_REUSED))
        ClaimOutcome.Failed -> state.refuse(notRunRefusal(UNAVAILABLE, RefusalReason.STORE_FAILED))
    }
}

private fun selectionFailed(state: CallState.FirstHop, event: CallEvent.SelectionFailed): CallTransition =
    when (state.phase) {
        CallPhase.Selecting -> state.giveUp(state.fallbackRefusal ?: notRunRefusal(UNAVAILABLE, event.reason))
        is CallPhase.Resuming -> state.abort()
        else -> state.noEffects()
    }

private fun attemptFailed(state: CallState.FirstHop, event: CallEvent.AttemptFailed): CallTransition {
    val endpoint = state.inFlight[event.attempt] ?: return state.noEffects()
    val settled = state.copy(
        inFlight = state.inFlight - event.attempt,
        excludedInstances = state.excludedInstances + endpoint.instance,
        mayHaveRun = state.mayHaveRun || event.failure.requestSent,
        instanceAttempts = state.instanceAttempts + if (event.failure.requestSent) 1 else 0,
    )
    if (settled.inFlight.isNotEmpty()) return settled.noEffects()
    if (settled.phase is CallPhase.Resuming) return settled.resumeOrAbort()
    val statusCode = if (event.failure.kind in TIMEOUT_FAILURES) GATEWAY_TIMEOUT else BAD_GATEWAY
    val fallback = if (event.failure.requestSent) {
        Refusal(statusCode, Outcome.UNKNOWN, RefusalReason.ATTEMPT_FAILED)
    } else {
        notRunRefusal(UNAVAILABLE, RefusalReason.UNREACHABLE)
    }
    val retryable = event.failure.kind != FailureKind.REQUEST_BROKEN
    return settled.retryOrGiveUp(fallback, retryable)
}

/** Failures that mean that an attempt timed out. */
internal val TIMEOUT_FAILURES: Set<FailureKind> = setOf(FailureKind.SILENT, FailureKind.SLOW)

private fun responseStarted(state: CallState.FirstHop, event: CallEvent.ResponseStarted): CallTransition {
    val endpoint = state.inFlight[event.attempt] ?: return state.noEffects()
    if (state.phase is CallPhase.Resuming) return resumedResponseStarted(state, event)
    if (state.phase != CallPhase.Awaiting) return state.noEffects()
    val response = event.response
    val tried = state.copy(
        inFlight = state.inFlight - event.attempt,
        excludedInstances = state.excludedInstances + endpoint.instance,
    )
    return when {
        response.outcome == Outcome.NOT_RUN -> tried.refusedByLastHop(response)
        response.outcome != Outcome.COMPLETED -> {
            val refusal =
                Refusal(response.statusCode, Outcome.UNKNOWN, response.refusal ?: RefusalReason.ATTEMPT_FAILED)
            tried.copy(mayHaveRun = true, instanceAttempts = state.instanceAttempts + 1)
                .retryOrGiveUp(refusal, retryable = true)
                .prepend(CallEffect.CancelAttempt(event.attempt))
        }
        response.statusCode in RETRYABLE_STATUSES &&
            tried.copy(instanceAttempts = state.instanceAttempts + 1).mayRetry() -> {
            val refusal = Refusal(BAD_GATEWAY, Outcome.COMPLETED, RefusalReason.ATTEMPT_FAILED)
            tried.copy(mayHaveRun = true, instanceAttempts = state.instanceAttempts + 1)
                .retryOrGiveUp(refusal, retryable = true)
                .prepend(CallEffect.CancelAttempt(event.attempt))
        }
        else -> state.forwardResponse(event.attempt, response)
    }
}

/** Handles a refusal by the last hop: the call did not run, so that any method may be retried. */
private fun CallState.FirstHop.refusedByLastHop(response: ResponseInfo): CallTransition {
    val reason = response.refusal ?: RefusalReason.SHED
    val refusal = notRunRefusal(response.statusCode, reason)
    val final = reason == RefusalReason.QUARANTINED || reason == RefusalReason.DEADLINE
    val reachedInstance = reason == RefusalReason.UPSTREAM_SHED
    val counted = copy(
        instanceAttempts = instanceAttempts + if (reachedInstance) 1 else 0,
        hopSheds = hopSheds + if (reason == RefusalReason.SHED) 1 else 0,
    )
    return counted.retryOrGiveUp(refusal, retryable = !final && counted.hopSheds < MAX_HOP_SHEDS)
}

/** After this many nodes without a free slot the call is refused: further attempts add load to a saturated service. */
private const val MAX_HOP_SHEDS = 2

/** Statuses that indicate a failure of the instance, so that another instance may succeed. */
private val RETRYABLE_STATUSES = setOf(500, 502, 503)

private fun CallState.FirstHop.forwardResponse(attempt: Int, response: ResponseInfo): CallTransition {
    val otherAttempts = (inFlight.keys - attempt).map { CallEffect.CancelAttempt(it) }
    val buffer = plan?.takeIf { claim != null }
        ?.let { CallEffect.BufferResponse(it.route.config.idempotency.maxKeptBodyBytes) }
    val streaming =
        copy(phase = CallPhase.Streaming(attempt, response), inFlight = inFlight.filterKeys { it == attempt })
    val effects = otherAttempts + listOfNotNull(buffer, CallEffect.ForwardResponse(attempt, Outcome.COMPLETED))
    return CallTransition(streaming, effects)
}

private fun bodyCompleted(state: CallState.FirstHop, event: CallEvent.BodyCompleted): CallTransition {
    val phase = state.phase
    if (phase !is CallPhase.Streaming || phase.attempt != event.attempt) return state.noEffects()
    val record = listOfNotNull(state.claim?.let { CallEffect.RecordResponse(it) })
    return CallTransition(state.copy(phase = CallPhase.Ended, inFlight = emptyMap()), record)
}

private fun deadlinePassed(state: CallState.FirstHop, nowMillis: Long): CallTransition =
    when (state.phase) {
        CallPhase.Claiming -> {
            val refusal = notRunRefusal(GATEWAY_TIMEOUT, RefusalReason.DEADLINE)
            state.copy(phase = CallPhase.ClaimAbandoned).with(CallEffect.Refuse(refusal))
        }
        CallPhase.Selecting, CallPhase.Awaiting -> {
            val cancelled = state.cancelRunning()
            val outcome = if (cancelled.state.mayHaveRun) Outcome.UNKNOWN else Outcome.NOT_RUN
            cancelled.state.giveUp(Refusal(GATEWAY_TIMEOUT, outcome, RefusalReason.DEADLINE))
                .prepend(*cancelled.effects.toTypedArray())
        }
        is CallPhase.Streaming, is CallPhase.Resuming ->
            if (state.recordUntilMillis == null) state.limitResponse(nowMillis) else state.limitRecording(nowMillis)
        CallPhase.New, CallPhase.AwaitingRouting, CallPhase.ClaimAbandoned, CallPhase.Ended -> state.noEffects()
    }

/**
 * Cuts off a response in progress once the call has reached its total timeout.
 *
 * A call that holds a claim is completed, so that a client retry gets the recorded response, but for a bounded time.
 */
private fun CallState.FirstHop.limitResponse(nowMillis: Long): CallTransition {
    val endMillis = plan?.endMillis ?: return noEffects()
    if (nowMillis < endMillis) return with(CallEffect.SetDeadline(endMillis))
    if (claim != null) return recordOnly(nowMillis).prepend(CallEffect.AbortResponse)
    val cancelled = cancelRunning()
    return cancelled.state.abort().prepend(*cancelled.effects.toTypedArray())
}

/**
 * Time for which a response is read on in order to be recorded after its caller has left; a response without end would
 * hold its connection, its slot and its call for ever.
 */
private const val RECORDING_MILLIS = 10_000L

private fun CallState.FirstHop.recordOnly(nowMillis: Long): CallTransition {
    val untilMillis = nowMillis + RECORDING_MILLIS
    return copy(recordUntilMillis = untilMillis).with(CallEffect.SetDeadline(untilMillis))
}

/** Gives up a response that is read only to be recorded; its claim stays, since the call may have run. */
private fun CallState.FirstHop.limitRecording(nowMillis: Long): CallTransition {
    if (nowMillis < (recordUntilMillis ?: Long.MAX_VALUE)) return noEffects()
    val cancelled = cancelRunning()
    return CallTransition(cancelled.state.copy(phase = CallPhase.Ended), cancelled.effects)
}

/**
 * Cancels the call unless it holds a claim and may be running. Such a call is completed, so that a client retry gets
 * the recorded response, but for a bounded time.
 */
private fun callerDisconnected(state: CallState.FirstHop, nowMillis: Long): CallTransition {
    val claim = state.claim
    return when {
        state.phase == CallPhase.Ended || state.phase == CallPhase.ClaimAbandoned -> state.noEffects()
        state.phase == CallPhase.Claiming -> state.copy(phase = CallPhase.ClaimAbandoned).noEffects()
        claim == null -> {
            val cancelled = state.cancelRunning()
            CallTransition(cancelled.state.copy(phase = CallPhase.Ended), cancelled.effects)
        }
        state.inFlight.isNotEmpty() || state.mayHaveRun -> state.recordOnly(nowMillis)
        else -> state.copy(phase = CallPhase.Ended).with(CallEffect.ReleaseClaim(claim))
    }
}

/** The state after cancelling attempts, and the effects that cancel them. */
private class Cancelled(val state: CallState.FirstHop, val effects: List<CallEffect>)

private fun CallState.FirstHop.cancelRunning(): Cancelled =
    Cancelled(
        copy(inFlight = emptyMap(), mayHaveRun = mayHaveRun || inFlight.isNotEmpty()),
        inFlight.keys.map { CallEffect.CancelAttempt(it) },
    )
