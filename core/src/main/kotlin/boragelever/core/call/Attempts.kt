package boragelever.core.call

import kotlin.math.min

private const val OK = 200
private const val PARTIAL_CONTENT = 206

/** Methods that may be sent twice at the same time, since they only read. */
private val READ_METHODS = setOf("GET", "HEAD")

internal fun endpointSelected(state: CallState.FirstHop, event: CallEvent.EndpointSelected): CallTransition {
    val plan = state.plan ?: return state.unchanged()
    val phase = state.phase
    val hedge = phase == CallPhase.AwaitingResponse
    val wanted = phase == CallPhase.Selecting || phase is CallPhase.Resuming || hedge
    if (!wanted || !state.mayStart(plan)) return state.unchanged()
    val attempt = state.started + 1
    val remaining = plan.deadlineMillis - event.context.nowMillis
    val resume = (phase as? CallPhase.Resuming)?.let { ResumePoint(it.sentBytes, it.response.strongEntityTag.orEmpty()) }
    val retry = plan.route.config.retry
    val start = CallEffect.StartAttempt(
        attempt = attempt,
        target = AttemptTarget.RemoteNode(event.endpoint, plan.fingerprint),
        // A retry leaves no attempts to the services behind it: a chain of depth d makes at most 2d + 1 attempts at
        // its end with three attempts each, where handing all of them on would make 3 to the power of d.
        attemptsLeft = if (attempt == 1) plan.maxAttempts else 1,
        headTimeoutMillis = headTimeout(plan, remaining, resume != null),
        remainingMillis = if (resume == null) remaining else null,
        idleTimeoutMillis = plan.route.config.idleTimeoutMillis,
        resume = resume,
        repeatable = plan.idempotent,
        priority = plan.route.config.priority,
    )
    val next = state.copy(
        phase = if (phase is CallPhase.Resuming) phase else CallPhase.AwaitingResponse,
        started = attempt,
        running = state.running + (attempt to event.endpoint),
    )
    val hedgeable = attempt == 1 && retry.hedgeAfterMillis > 0 && state.request.method in READ_METHODS
    val timer = if (hedgeable) listOf(CallEffect.SetHedgeTimer(retry.hedgeAfterMillis)) else emptyList()
    return CallTransition(next, listOf(start) + timer)
}

/** A call that must not be repeated gains nothing from giving up on its only attempt before the deadline. */
private fun headTimeout(plan: CallPlan, remainingMillis: Long, resumes: Boolean): Long {
    val attemptTimeout = plan.route.config.retry.attemptTimeoutMillis
    return when {
        resumes -> attemptTimeout
        plan.idempotent -> min(attemptTimeout, remainingMillis)
        else -> remainingMillis
    }
}

internal fun hedgeTimerFired(state: CallState.FirstHop): CallTransition {
    val plan = state.plan ?: return state.unchanged()
    if (state.phase != CallPhase.AwaitingResponse || state.running.size != 1 || !state.mayRetry()) return state.unchanged()
    val excluded = state.excluded + state.running.values.map { it.instance }
    return state.with(CallEffect.SelectEndpoint(plan.service, excluded, spendsBudget = true))
}

/**
 * True if another attempt may be started.
 *
 * The limit of attempts concerns instances; nodes that refuse before an instance is reached are bounded on their own.
 */
internal fun CallState.FirstHop.mayStart(plan: CallPlan): Boolean =
    instanceAttempts < plan.maxAttempts && started < plan.maxAttempts + EXTRA_HOP_ATTEMPTS

/** Attempts beyond the limit of the route that may end at a node, before an instance is reached. */
private const val EXTRA_HOP_ATTEMPTS = 2

/** True if the call may make another attempt although one may have run. */
internal fun CallState.FirstHop.mayRetry(): Boolean {
    val plan = plan ?: return false
    val replayable = request.body is RequestBody.Buffered
    return plan.idempotent && replayable && mayStart(plan)
}

/**
 * Starts another attempt if the method is idempotent or no attempt can have run; else ends the call.
 *
 * @param repeatable false if another attempt would fail in the same way.
 */
internal fun CallState.FirstHop.retryOrGiveUp(refusal: Refusal, repeatable: Boolean): CallTransition {
    val plan = plan ?: return unchanged()
    // The hop may have taken part of a streamed body before it refused, and that part is not held.
    val bodyLeft = request.body is RequestBody.Buffered || refusal.reason == RefusalReason.UNREACHABLE
    val safe = plan.idempotent || !mayHaveRun
    val fallback = if (mayHaveRun && refusal.outcome == Outcome.NOT_RUN) {
        // 503 would tell the caller that the call did not run.
        refusal.copy(statusCode = BAD_GATEWAY, outcome = Outcome.UNKNOWN)
    } else {
        refusal
    }
    val another = repeatable && safe && bodyLeft
    if (!another || !mayStart(plan)) return giveUp(fallback)
    if (running.isNotEmpty()) return unchanged()
    return copy(phase = CallPhase.Selecting, fallback = fallback)
        .with(CallEffect.SelectEndpoint(plan.service, excluded, spendsBudget = instanceAttempts > 0))
}

/** Ends the call with [refusal]; a claim is released if the call provably did not run. */
internal fun CallState.FirstHop.giveUp(refusal: Refusal): CallTransition {
    val release = claim?.takeIf { refusal.outcome == Outcome.NOT_RUN }?.let { CallEffect.ReleaseClaim(it) }
    val ended = copy(phase = CallPhase.Ended, running = emptyMap())
    return CallTransition(ended, listOfNotNull(release, CallEffect.Refuse(refusal)))
}

internal fun CallState.FirstHop.abort(): CallTransition =
    copy(phase = CallPhase.Ended, running = emptyMap()).with(CallEffect.AbortResponse)

internal fun CallTransition.prepend(vararg first: CallEffect): CallTransition =
    copy(effects = first.toList() + effects)

internal fun bodyFailed(state: CallState.FirstHop, event: CallEvent.BodyFailed): CallTransition {
    val phase = state.phase
    if (phase !is CallPhase.Streaming || phase.attempt != event.attempt) return state.unchanged()
    val endpoint = state.running[event.attempt]
    val settled = state.copy(running = emptyMap(), excluded = state.excluded + setOfNotNull(endpoint?.instance))
    val sent = phase.sentBytes + event.sentBytes
    return when {
        event.failure == BodyFailure.RECEIVER_GONE -> settled.abort()
        else -> settled.copy(phase = CallPhase.Resuming(phase.response, sent)).resumeOrAbort()
    }
}

/** Asks another endpoint for the rest of a body, if its entity tag proves that it is the same body. */
internal fun CallState.FirstHop.resumeOrAbort(): CallTransition {
    val plan = plan ?: return abort()
    val phase = phase as? CallPhase.Resuming ?: return abort()
    val resumable = request.method == "GET" && !request.hasRange && claim == null &&
        phase.response.statusCode == OK && phase.response.strongEntityTag != null && mayRetry()
    if (!resumable) return abort()
    return with(CallEffect.SelectEndpoint(plan.service, excluded, spendsBudget = true))
}

/** Passes the rest on only if it continues exactly the body that the caller has begun to receive. */
internal fun resumedResponseStarted(state: CallState.FirstHop, event: CallEvent.ResponseStarted): CallTransition {
    val phase = state.phase as? CallPhase.Resuming ?: return state.unchanged()
    val range = event.response.range
    val total = range?.totalBytes
    val fits = event.response.statusCode == PARTIAL_CONTENT && range != null && total != null &&
        event.response.strongEntityTag == phase.response.strongEntityTag &&
        range.firstByte == phase.sentBytes && range.lastByte == total - 1 &&
        (phase.response.bodyBytes == null || phase.response.bodyBytes == total) &&
        (event.response.bodyBytes == null || event.response.bodyBytes == total - phase.sentBytes)
    if (!fits) return state.abort().prepend(CallEffect.CancelAttempt(event.attempt))
    val streaming = CallPhase.Streaming(event.attempt, phase.response, phase.sentBytes)
    return state.copy(phase = streaming).with(CallEffect.ForwardRemainder(event.attempt))
}
