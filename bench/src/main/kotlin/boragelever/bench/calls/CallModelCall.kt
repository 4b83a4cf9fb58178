package boragelever.bench.calls

import boragelever.core.call.AttemptFailure
import boragelever.core.call.AttemptTarget
import boragelever.core.call.CallEffect
import boragelever.core.call.CallEvent
import boragelever.core.call.CallPhase
import boragelever.core.call.CallRequest
import boragelever.core.call.CallState
import boragelever.core.call.ClaimOutcome
import boragelever.core.call.FailureKind
import boragelever.core.call.LastHopRequest
import boragelever.core.call.Outcome
import boragelever.core.call.RefusalReason
import boragelever.core.call.ResponseInfo
import boragelever.core.call.SlotDecision
import boragelever.core.call.deposit
import boragelever.core.call.phase
import boragelever.core.call.reduceCall
import boragelever.core.call.withdraw
import boragelever.core.routing.RoutingSnapshot

private const val MICROS_PER_MILLI = 1_000L

/** Duration of a claim write in the model. */
private const val CLAIM_MICROS = 5_000L
private const val HTTP_OK = 200

/** A simulated call at its first hop. */
internal class ModelCall(
    private val model: CallModel,
    private val firstHop: ModelHost,
    private val request: CallRequest,
    private val isMeasured: Boolean,
) {
    private class Attempt(val host: ModelHost, val lastHop: ModelLastHop, var isOpen: Boolean = true)

    private val router = model.router(firstHop)
    private val startedMicros = model.nowMicros
    private val attempts = mutableMapOf<Int, Attempt>()
    private var state: CallState = CallState.FirstHop(request)
    private var reportedOutcome: Outcome? = null

    /** Number of attempts of this call that an upstream ran. */
    var upstreamRuns: Int = 0

    fun handle(event: CallEvent) {
        if (state.phase == CallPhase.Ended) return
        val transition = reduceCall(state, event)
        state = transition.state
        if (event is CallEvent.Arrived) {
            val percent = plan()?.route?.config?.retry?.budgetPercent ?: 0
            router.budget = router.budget.deposit(percent, RoutingSnapshot.DEFAULT_RETRY_SLACK)
        }
        transition.effects.forEach { execute(it) }
    }

    /** Handles the response head of attempt [number], with the [load] that the last hop reported. */
    fun onResponse(number: Int, response: ResponseInfo, load: Int) {
        val attempt = attempts[number]?.takeIf { it.isOpen } ?: return
        closeAttempt(attempt)
        val now = model.nowMicros / MICROS_PER_MILLI
        val instance = attempt.host.instance
        router.recordLoad(instance, load, now)
        // As in the proxy, only the upstream's behaviour affects its health; a call refused for lack of slots does not.
        when {
            response.outcome == Outcome.UNKNOWN || response.refusal == RefusalReason.UPSTREAM_REFUSED ->
                router.recordFailure(instance, now)
            response.outcome == Outcome.COMPLETED -> router.recordSuccess(instance, now)
        }
        handle(CallEvent.ResponseStarted(model.context, number, response))
    }

    /** Adds this call to [result] and checks the reported outcome against the number of upstream runs. */
    fun recordResult(result: CallModelResult) {
        if (reportedOutcome == Outcome.NOT_RUN && upstreamRuns > 0) result.falseNotRunReports += 1
        if (request.method == "POST" && upstreamRuns > 1) result.duplicateRuns += 1
        if (isMeasured) result.calls += 1
    }

    private fun plan() = (state as? CallState.FirstHop)?.plan

    private fun execute(effect: CallEffect) {
        when (effect) {
            is CallEffect.AcquireClaim -> model.after(CLAIM_MICROS) {
                handle(CallEvent.ClaimCompleted(model.context, ClaimOutcome.Acquired))
            }
            is CallEffect.SelectEndpoint -> selectEndpoint(effect)
            is CallEffect.StartAttempt -> startAttempt(effect)
            is CallEffect.CancelAttempt -> cancelAttempt(effect.attempt)
            is CallEffect.SetHedgeTimer -> model.after(effect.delayMillis * MICROS_PER_MILLI) {
                handle(CallEvent.HedgeTimerFired(model.context))
            }
            is CallEffect.SetDeadline ->
                model.after(effect.atMillis * MICROS_PER_MILLI - model.nowMicros) {
                    if (state.phase != CallPhase.Ended) onDeadline()
                }
            is CallEffect.ForwardResponse -> {
                recordOutcome(effect.outcome, succeeded = true)
                handle(CallEvent.BodyCompleted(model.context, effect.attempt))
            }
            is CallEffect.Refuse -> recordOutcome(effect.refusal.outcome, succeeded = false)
            else -> Unit
        }
    }

    private fun onDeadline() {
        val now = model.nowMicros / MICROS_PER_MILLI
        attempts.values.filter { it.isOpen }.forEach { router.recordFailure(it.host.instance, now) }
        handle(CallEvent.DeadlinePassed(model.context))
    }

    private fun selectEndpoint(effect: CallEffect.SelectEndpoint) {
        val context = model.context
        val endpoint = router.select(context, effect.excluded)
        val budget = if (effect.spendsBudget) router.budget.withdraw() else router.budget
        val event = when {
            endpoint == null -> CallEvent.SelectionFailed(context, RefusalReason.NO_ENDPOINT)
            budget == null -> CallEvent.SelectionFailed(context, RefusalReason.BUDGET_SPENT)
            else -> {
                router.budget = budget
                CallEvent.EndpointSelected(context, endpoint)
            }
        }
        model.after(0) { handle(event) }
    }

    private fun startAttempt(effect: CallEffect.StartAttempt) {
        val target = effect.target as AttemptTarget.RemoteNode
        val host = model.host(target.endpoint.callAddress.value)
        val hopRequest =
            LastHopRequest(
                host.instance,
                target.fingerprint,
                effect.attemptsLeft,
                remainingMillis = effect.remainingMillis,
            )
        val attempt =
            Attempt(host, ModelLastHop(model, host, this, effect.attempt, hopRequest, firstHop.latencyMicros(host)))
        attempts[effect.attempt] = attempt
        router.attemptStarted(host.instance)
        if (isMeasured) {
            model.result.attempts += 1
            if (host.region != firstHop.region) model.result.crossRegion += 1
        }
        model.after(firstHop.latencyMicros(host)) { attempt.lastHop.onArrival() }
        model.after(effect.headTimeoutMillis * MICROS_PER_MILLI) { onHeadTimeout(effect.attempt) }
    }

    private fun onHeadTimeout(number: Int) {
        val attempt = attempts[number]?.takeIf { it.isOpen } ?: return
        router.recordFailure(attempt.host.instance, model.nowMicros / MICROS_PER_MILLI)
        cancelAttempt(number)
        val failure = AttemptFailure(FailureKind.SILENT, requestSent = true)
        handle(CallEvent.AttemptFailed(model.context, number, failure))
    }

    private fun cancelAttempt(number: Int) {
        val attempt = attempts[number]?.takeIf { it.isOpen } ?: return
        closeAttempt(attempt)
        model.after(firstHop.latencyMicros(attempt.host)) {
            attempt.lastHop.handle(CallEvent.CallerDisconnected(model.context))
        }
    }

    private fun closeAttempt(attempt: Attempt) {
        attempt.isOpen = false
        router.attemptEnded(attempt.host.instance)
    }

    private fun recordOutcome(outcome: Outcome, succeeded: Boolean) {
        reportedOutcome = outcome
        if (!isMeasured) return
        model.result.latencies.recordValue(model.nowMicros - startedMicros)
        if (succeeded) model.result.succeeded += 1
    }
}

/** A simulated call at its last hop, the node beside the upstream. */
internal class ModelLastHop(
    private val model: CallModel,
    private val host: ModelHost,
    private val call: ModelCall,
    private val attempt: Int,
    request: LastHopRequest,
    private val latencyMicros: Long,
) {
    private var state: CallState = CallState.LastHop(request)

    fun onArrival() = handle(CallEvent.Arrived(model.context, model.router(host).snapshot, callsInFlight = 1))

    fun handle(event: CallEvent) {
        if (state.phase == CallPhase.Ended) return
        val transition = reduceCall(state, event)
        state = transition.state
        if (state.phase == CallPhase.Ended) host.cancelWaiting(this)
        transition.effects.forEach { execute(it) }
    }

    private fun execute(effect: CallEffect) {
        when (effect) {
            is CallEffect.SetDeadline ->
                model.after(effect.atMillis * MICROS_PER_MILLI - model.nowMicros) {
                    handle(CallEvent.DeadlinePassed(model.context))
                }
            is CallEffect.AcquireSlot -> acquireSlot(effect)
            is CallEffect.ReleaseSlot -> host.releaseSlot()
            is CallEffect.StartAttempt -> runUpstream()
            is CallEffect.ForwardResponse -> {
                sendResponse(ResponseInfo(HTTP_OK, Outcome.COMPLETED))
                handle(CallEvent.BodyCompleted(model.context, effect.attempt))
            }
            is CallEffect.Refuse ->
                sendResponse(ResponseInfo(effect.refusal.statusCode, effect.refusal.outcome, effect.refusal.reason))
            else -> Unit
        }
    }

    /** Called when this call is granted a slot. */
    fun onSlotGranted() {
        handle(CallEvent.SlotGranted(model.context))
    }

    private fun acquireSlot(effect: CallEffect.AcquireSlot) {
        when (val decision = host.requestSlot(this, effect.queue.maxWaiting, effect.priority)) {
            SlotDecision.Granted -> onSlotGranted()
            SlotDecision.Shed -> handle(CallEvent.SlotDenied(model.context))
            SlotDecision.Queued -> scheduleQueueTimeout(effect)
            is SlotDecision.Displaced -> {
                decision.waiter.handle(CallEvent.SlotDenied(model.context))
                scheduleQueueTimeout(effect)
            }
        }
    }

    private fun scheduleQueueTimeout(effect: CallEffect.AcquireSlot) {
        model.after(effect.queue.maxWaitMillis * MICROS_PER_MILLI) {
            if (host.cancelWaiting(this)) handle(CallEvent.SlotDenied(model.context))
        }
    }

    private fun runUpstream() {
        when (val behaviour = model.behaviour(host)) {
            is ModelBehaviour.Serve -> {
                call.upstreamRuns += 1
                model.after(behaviour.serviceMicros) {
                    handle(CallEvent.ResponseStarted(model.context, 1, ResponseInfo(HTTP_OK)))
                }
            }
            is ModelBehaviour.Hang -> call.upstreamRuns += 1
            is ModelBehaviour.ResetConnection -> {
                val failure = AttemptFailure(FailureKind.RESET, requestSent = true)
                model.after(0) { handle(CallEvent.AttemptFailed(model.context, 1, failure)) }
            }
        }
    }

    private fun sendResponse(response: ResponseInfo) {
        val load = model.reportedLoad(host)
        model.after(latencyMicros) { call.onResponse(attempt, response, load) }
    }
}
