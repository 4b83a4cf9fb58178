package boragelever.core.call

import kotlin.math.min

private const val OK = 200
private const val PARTIAL_CONTENT = 206

/** Methods that may be sent twice concurrently, since they have no side effects. */
private val READ_METHODS = setOf("GET", "HEAD")

internal fun endpointSelected(state: CallState.FirstHop, event: CallEvent.EndpointSelected): CallTransition {
    val plan = state.plan ?: return state.noEffects()
    val phase = state.phase
    val isHedge = phase == CallPhase.Awaiting
    val isExpected = phase == CallPhase.Selecting || phase is CallPhase.Resuming || isHedge
    if (!isExpected || !state.mayStart(plan)) return state.noEffects()
    val attempt = state.startedAttempts + 1
    val remainingMillis = plan.deadlineMillis - event.context.nowMillis
    val resume = (phase as? CallPhase.Resuming)?.let {
        ResumePoint(it.sentBytes, it.response.strongEntityTag.orEmpty())
    }
    val retry = plan.route.config.retry
    val start = CallEffect.StartAttempt(
        attempt = attempt,
        target = AttemptTarget.RemoteNode(event.endpoint, plan.fingerprint),
        // A retry grants no further attempts to downstream services. With three attempts each, a chain of depth d
        // thus makes at most 2d + 1 attempts at its end; passing all attempts on would make 3 to the power of d.
        attemptsLeft = if (attempt == 1) plan.maxAttempts else 1,
        headTimeoutMillis = headTimeout(plan, remainingMillis, resume != null),
        remainingMillis = if (resume == null) remainingMillis else null,
        idleTimeoutMillis = plan.route.config.idleTimeoutMillis,
        resume = resume,
        repeatable = plan.idempotent,
        priority = plan.route.config.priority,
    )
    val next = state.copy(
        phase = if (phase is CallPhase.Resuming) phase else CallPhase.Awaiting,
        startedAttempts = attempt,
        inFlight = state.inFlight + (attempt to event.endpoint),
    )
    val isHedgeable = attempt == 1 && retry.hedgeAfterMillis > 0 && state.request.method in READ_METHODS
    val timer = if (isHedgeable) listOf(CallEffect.SetHedgeTimer(retry.hedgeAfterMillis)) else emptyList()
    return CallTransition(next, listOf(start) + timer)
}

/** A call that must not be retried gains nothing from a timeout of its only attempt before the deadline. */
private fun headTimeout(plan: CallPlan, remainingMillis: Long, resumes: Boolean): Long {
    val attemptTimeout = plan.route.config.retry.attemptTimeoutMillis
    return when {
        resumes -> attemptTimeout
        plan.idempotent -> min(attemptTimeout, remainingMillis)
        else -> remainingMillis
    }
}

internal fun hedgeTimerFired(state: CallState.FirstHop): CallTransition {
    val plan = state.plan ?: return state.noEffects()
    if (state.phase != CallPhase.Awaiting || state.inFlight.size != 1 || !state.mayRetry()) return state.noEffects()
    val excluded = state.excludedInstances + state.inFlight.values.map { it.instance }
    return state.with(CallEffect.SelectEndpoint(plan.service, excluded, spendsBudget = true))
}

/**
 * Whether another attempt may be started.
 *
 * The attempt limit counts attempts that reach an instance; refusals by nodes before that have a limit of their own. A
 * trial of a quarantined request is sent once.
 */
internal fun CallState.FirstHop.mayStart(plan: CallPlan): Boolean =
    if (plan.trialInstance != null) {
        startedAttempts == 0
    } else {
        instanceAttempts < plan.maxAttempts && startedAttempts < plan.maxAttempts + EXTRA_HOP_ATTEMPTS
    }

/** Attempts in addition to the route's limit that may be refused by a node before they reach an instance. */
private const val EXTRA_HOP_ATTEMPTS = 2

/** Whether the call may be retried although an attempt may have run. */
internal fun CallState.FirstHop.mayRetry(): Boolean {
    val plan = plan ?: return false
    val isReplayable = request.body is RequestBody.Buffered
    return plan.idempotent && isReplayable && mayStart(plan)
}

/**
 * Retries if the call is idempotent or no attempt can have run, otherwise ends the call.
 *
 * @param retryable false if a retry would fail in the same way.
 */
internal fun CallState.FirstHop.retryOrGiveUp(refusal: Refusal, retryable: Boolean): CallTransition {
    val plan = plan ?: return noEffects()
    // The last hop may have consumed part of a streamed body before it refused the call, and that part is not buffered.
    val canResendBody = request.body is RequestBody.Buffered || refusal.reason == RefusalReason.UNREACHABLE
    val isSafe = plan.idempotent || !mayHaveRun
    val fallback = if (mayHaveRun && refusal.outcome == Outcome.NOT_RUN) {
        // 503 would tell the caller that the call did not run.
        refusal.copy(statusCode = BAD_GATEWAY, outcome = Outcome.UNKNOWN)
    } else {
        refusal
    }
    val canRetry = retryable && isSafe && canResendBody
    if (!canRetry || !mayStart(plan)) return giveUp(fallback)
    if (inFlight.isNotEmpty()) return noEffects()
    return copy(phase = CallPhase.Selecting, fallbackRefusal = fallback)
        .with(CallEffect.SelectEndpoint(plan.service, excludedInstances, spendsBudget = instanceAttempts > 0))
}

/** Ends the call with [refusal] and releases its claim if the call provably did not run. */
internal fun CallState.FirstHop.giveUp(refusal: Refusal): CallTransition {
    val release = claim?.takeIf { refusal.outcome == Outcome.NOT_RUN }?.let { CallEffect.ReleaseClaim(it) }
    val ended = copy(phase = CallPhase.Ended, inFlight = emptyMap())
    return CallTransition(ended, listOfNotNull(release, CallEffect.Refuse(refusal)))
}

internal fun CallState.FirstHop.abort(): CallTransition =
    copy(phase = CallPhase.Ended, inFlight = emptyMap()).with(CallEffect.AbortResponse)

internal fun CallTransition.prepend(vararg first: CallEffect): CallTransition =
    copy(effects = first.toList() + effects)

internal fun bodyFailed(state: CallState.FirstHop, event: CallEvent.BodyFailed): CallTransition {
    val phase = state.phase
    if (phase !is CallPhase.Streaming || phase.attempt != event.attempt) return state.noEffects()
    val endpoint = state.inFlight[event.attempt]
    val settled = state.copy(
        inFlight = emptyMap(),
        excludedInstances = state.excludedInstances + setOfNotNull(endpoint?.instance),
    )
    val sent = phase.sentBytes + event.sentBytes
    return when {
        event.failure == BodyFailure.RECEIVER_GONE -> settled.abort()
        else -> settled.copy(phase = CallPhase.Resuming(phase.response, sent)).resumeOrAbort()
    }
}

/** Requests the rest of a truncated body from another endpoint if the entity tag identifies the body. */
internal fun CallState.FirstHop.resumeOrAbort(): CallTransition {
    val plan = plan ?: return abort()
    val phase = phase as? CallPhase.Resuming ?: return abort()
    val resumable = request.method == "GET" && !request.hasRange && claim == null &&
        phase.response.statusCode == OK && phase.response.strongEntityTag != null && mayRetry()
    if (!resumable) return abort()
    return with(CallEffect.SelectEndpoint(plan.service, excludedInstances, spendsBudget = true))
}

/** Forwards the rest only if it continues exactly the body that the caller has started to receive. */
internal fun resumedResponseStarted(state: CallState.FirstHop, event: CallEvent.ResponseStarted): CallTransition {
    val phase = state.phase as? CallPhase.Resuming ?: return state.noEffects()
    val range = event.response.range
    val total = range?.totalBytes
    val continuesBody = event.response.statusCode == PARTIAL_CONTENT && range != null && total != null &&
        event.response.strongEntityTag == phase.response.strongEntityTag &&
        range.firstByte == phase.sentBytes && range.lastByte == total - 1 &&
        (phase.response.bodyBytes == null || phase.response.bodyBytes == total) &&
        (event.response.bodyBytes == null || event.response.bodyBytes == total - phase.sentBytes)
    if (!continuesBody) return state.abort().prepend(CallEffect.CancelAttempt(event.attempt))
    val streaming = CallPhase.Streaming(event.attempt, phase.response, phase.sentBytes)
    return state.copy(phase = streaming).with(CallEffect.ForwardRemainder(event.attempt))
}
