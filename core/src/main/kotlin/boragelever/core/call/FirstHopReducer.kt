package boragelever.core.call

/** Status with which a repeat is answered while the first call has no recorded answer. */
private const val CONFLICT = 409
private const val UNPROCESSABLE_CONTENT = 422

/** Reduces an event of a call on the node that the caller sent it to. */
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
        is CallEvent.DeadlinePassed -> deadlinePassed(state)
        is CallEvent.CallerDisconnected -> callerDisconnected(state)
        is CallEvent.SlotGranted, is CallEvent.SlotDenied -> state.unchanged()
    }

private fun claimCompleted(state: CallState.FirstHop, event: CallEvent.ClaimCompleted): CallTransition {
    val plan = state.plan ?: return state.unchanged()
    val row = state.request.key?.let { claimRow(it, plan.route.name) } ?: return state.unchanged()
    if (state.phase == CallPhase.ClaimAbandoned) {
        val ended = state.copy(phase = CallPhase.Ended)
        return if (event.answer == ClaimOutcome.Acquired) ended.with(CallEffect.ReleaseClaim(row)) else ended.unchanged()
    }
    return when (val answer = event.answer) {
        ClaimOutcome.Acquired -> {
            val select = CallEffect.SelectEndpoint(plan.service, state.excluded, spendsBudget = false)
            state.copy(phase = CallPhase.Selecting, claim = row).with(select)
        }
        is ClaimOutcome.Recorded -> state.copy(phase = CallPhase.Ended).with(CallEffect.ReplayResponse(answer.response))
        ClaimOutcome.Pending -> state.refuse(Refusal(CONFLICT, Outcome.UNKNOWN, RefusalReason.CLAIM_PENDING))
        ClaimOutcome.KeyReused -> state.refuse(notRunRefusal(UNPROCESSABLE_CONTENT, RefusalReason.KEY_REUSED))
        ClaimOutcome.Failed -> state.refuse(notRunRefusal(UNAVAILABLE, RefusalReason.STORE_FAILED))
    }
}

private fun selectionFailed(state: CallState.FirstHop, event: CallEvent.SelectionFailed): CallTransition =
    when (state.phase) {
        CallPhase.Selecting -> state.giveUp(state.fallback ?: notRunRefusal(UNAVAILABLE, event.reason))
        is CallPhase.Resuming -> state.abort()
        else -> state.unchanged()
    }

private fun attemptFailed(state: CallState.FirstHop, event: CallEvent.AttemptFailed): CallTransition {
    val endpoint = state.running[event.attempt] ?: return state.unchanged()
    val settled = state.copy(
        running = state.running - event.attempt,
        excluded = state.excluded + endpoint.instance,
        mayHaveRun = state.mayHaveRun || event.failure.requestSent,
        instanceAttempts = state.instanceAttempts + if (event.failure.requestSent) 1 else 0,
    )
    if (settled.running.isNotEmpty()) return settled.unchanged()
    if (settled.phase is CallPhase.Resuming) return settled.resumeOrAbort()
    val statusCode = if (event.failure.kind in TIMEOUT_FAILURES) GATEWAY_TIMEOUT else BAD_GATEWAY
    val fallback = if (event.failure.requestSent) {
        Refusal(statusCode, Outcome.UNKNOWN, RefusalReason.ATTEMPT_FAILED)
    } else {
        notRunRefusal(UNAVAILABLE, RefusalReason.UNREACHABLE)
    }
    val repeatable = event.failure.kind != FailureKind.REQUEST_BROKEN
    return settled.retryOrGiveUp(fallback, repeatable)
}

/** Failures by which the time for an attempt ended. */
internal val TIMEOUT_FAILURES: Set<FailureKind> = setOf(FailureKind.SILENT, FailureKind.SLOW)

private fun responseStarted(state: CallState.FirstHop, event: CallEvent.ResponseStarted): CallTransition {
    val endpoint = state.running[event.attempt] ?: return state.unchanged()
    if (state.phase is CallPhase.Resuming) return resumedResponseStarted(state, event)
    if (state.phase != CallPhase.AwaitingResponse) return state.unchanged()
    val answer = event.response
    val tried = state.copy(running = state.running - event.attempt, excluded = state.excluded + endpoint.instance)
    return when {
        answer.outcome == Outcome.NOT_RUN -> tried.refusedByLastHop(answer)
        answer.outcome != Outcome.COMPLETED -> {
            val refusal = Refusal(answer.statusCode, Outcome.UNKNOWN, answer.refusal ?: RefusalReason.ATTEMPT_FAILED)
            tried.copy(mayHaveRun = true, instanceAttempts = state.instanceAttempts + 1).retryOrGiveUp(refusal, repeatable = true)
                .prepend(CallEffect.CancelAttempt(event.attempt))
        }
        answer.statusCode in RETRYABLE_STATUSES && tried.copy(instanceAttempts = state.instanceAttempts + 1).mayRetry() -> {
            val refusal = Refusal(BAD_GATEWAY, Outcome.COMPLETED, RefusalReason.ATTEMPT_FAILED)
            tried.copy(mayHaveRun = true, instanceAttempts = state.instanceAttempts + 1).retryOrGiveUp(refusal, repeatable = true)
                .prepend(CallEffect.CancelAttempt(event.attempt))
        }
        else -> state.forwardResponse(event.attempt, answer)
    }
}

/** The last hop refused before dispatch, so any method may be tried again. */
private fun CallState.FirstHop.refusedByLastHop(answer: ResponseInfo): CallTransition {
    val reason = answer.refusal ?: RefusalReason.SHED
    val refusal = notRunRefusal(answer.statusCode, reason)
    val final = reason == RefusalReason.QUARANTINED || reason == RefusalReason.DEADLINE
    val reached = reason == RefusalReason.UPSTREAM_SHED
    val counted = copy(
        instanceAttempts = instanceAttempts + if (reached) 1 else 0,
        hopSheds = hopSheds + if (reason == RefusalReason.SHED) 1 else 0,
    )
    return counted.retryOrGiveUp(refusal, repeatable = !final && counted.hopSheds < MAX_HOP_SHEDS)
}

/** Nodes without a slot after which a call is refused: the service is short of room, and asking on costs more. */
private const val MAX_HOP_SHEDS = 2

/** Statuses by which an instance tells that the run failed, so that another instance may do better. */
private val RETRYABLE_STATUSES = setOf(500, 502, 503)

private fun CallState.FirstHop.forwardResponse(attempt: Int, answer: ResponseInfo): CallTransition {
    val others = (running.keys - attempt).map { CallEffect.CancelAttempt(it) }
    val keep = plan?.takeIf { claim != null }
        ?.let { CallEffect.BufferResponse(it.route.config.idempotency.maxKeptBodyBytes) }
    val streaming = copy(phase = CallPhase.Streaming(attempt, answer), running = running.filterKeys { it == attempt })
    val effects = others + listOfNotNull(keep, CallEffect.ForwardResponse(attempt, Outcome.COMPLETED))
    return CallTransition(streaming, effects)
}

private fun bodyCompleted(state: CallState.FirstHop, event: CallEvent.BodyCompleted): CallTransition {
    val phase = state.phase
    if (phase !is CallPhase.Streaming || phase.attempt != event.attempt) return state.unchanged()
    val record = listOfNotNull(state.claim?.let { CallEffect.RecordResponse(it) })
    return CallTransition(state.copy(phase = CallPhase.Ended, running = emptyMap()), record)
}

private fun deadlinePassed(state: CallState.FirstHop): CallTransition =
    when (state.phase) {
        CallPhase.Claiming -> {
            val refusal = notRunRefusal(GATEWAY_TIMEOUT, RefusalReason.DEADLINE)
            state.copy(phase = CallPhase.ClaimAbandoned).with(CallEffect.Refuse(refusal))
        }
        CallPhase.Selecting, CallPhase.AwaitingResponse -> {
            val cancelled = state.cancelRunning()
            val outcome = if (cancelled.state.mayHaveRun) Outcome.UNKNOWN else Outcome.NOT_RUN
            cancelled.state.giveUp(Refusal(GATEWAY_TIMEOUT, outcome, RefusalReason.DEADLINE))
                .prepend(*cancelled.effects.toTypedArray())
        }
        else -> state.unchanged()
    }

/**
 * Cancels the call unless it holds a claim and may be running: such a call is carried to its end, so that the caller's
 * repeat gets the recorded answer.
 */
private fun callerDisconnected(state: CallState.FirstHop): CallTransition {
    val claim = state.claim
    return when {
        state.phase == CallPhase.Ended || state.phase == CallPhase.ClaimAbandoned -> state.unchanged()
        state.phase == CallPhase.Claiming -> state.copy(phase = CallPhase.ClaimAbandoned).unchanged()
        claim == null -> {
            val cancelled = state.cancelRunning()
            CallTransition(cancelled.state.copy(phase = CallPhase.Ended), cancelled.effects)
        }
        state.running.isNotEmpty() || state.mayHaveRun -> state.unchanged()
        else -> state.copy(phase = CallPhase.Ended).with(CallEffect.ReleaseClaim(claim))
    }
}

/** The state after cancelling and the effects that do it. */
private class Cancelled(val state: CallState.FirstHop, val effects: List<CallEffect>)

private fun CallState.FirstHop.cancelRunning(): Cancelled =
    Cancelled(
        copy(running = emptyMap(), mayHaveRun = mayHaveRun || running.isNotEmpty()),
        running.keys.map { CallEffect.CancelAttempt(it) },
    )
