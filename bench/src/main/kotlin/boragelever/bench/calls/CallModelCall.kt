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

/** Time of one write of a claim in the model. */
private const val CLAIM_MICROS = 5_000L
private const val HTTP_OK = 200

/** One call on its calling node. */
internal class ModelCall(
    private val model: CallModel,
    private val home: ModelHost,
    private val request: CallRequest,
    private val counted: Boolean,
) {
    private class Attempt(val host: ModelHost, val hop: ModelHop, var open: Boolean = true)

    private val view = model.view(home)
    private val startedMicros = model.nowMicros
    private val attempts = mutableMapOf<Int, Attempt>()
    private var state: CallState = CallState.FirstHop(request)
    private var told: Outcome? = null

    /** Number of times that an upstream ran this call. */
    var runs: Int = 0

    fun on(event: CallEvent) {
        if (state.phase == CallPhase.Ended) return
        val transition = reduceCall(state, event)
        state = transition.state
        if (event is CallEvent.Arrived) {
            val percent = plan()?.route?.config?.retry?.budgetPercent ?: 0
            view.budget = view.budget.deposit(percent, RoutingSnapshot.DEFAULT_RETRY_SLACK)
        }
        transition.effects.forEach { execute(it) }
    }

    /** The head of the answer of attempt [number] arrived. */
    fun answered(number: Int, answer: ResponseInfo, load: Int) {
        val attempt = attempts[number]?.takeIf { it.open } ?: return
        close(attempt)
        val now = model.nowMicros / MICROS_PER_MILLI
        val instance = attempt.host.instance
        view.report(instance, load, now)
        // The same rule as in the proxy: only what an upstream did counts, not that its slots were busy.
        when {
            answer.outcome == Outcome.UNKNOWN || answer.refusal == RefusalReason.UPSTREAM_REFUSED ->
                view.failed(instance, now)
            answer.outcome == Outcome.COMPLETED -> view.succeeded(instance, now)
        }
        on(CallEvent.ResponseStarted(model.context, number, answer))
    }

    /** Adds to [result] and checks the promises against the runs that the upstreams counted. */
    fun audit(result: CallModelResult) {
        if (told == Outcome.NOT_RUN && runs > 0) result.falseNotRun += 1
        if (request.method == "POST" && runs > 1) result.doubleRuns += 1
        if (counted) result.calls += 1
    }

    private fun plan() = (state as? CallState.FirstHop)?.plan

    private fun execute(effect: CallEffect) {
        when (effect) {
            is CallEffect.AcquireClaim -> model.after(CLAIM_MICROS) {
                on(CallEvent.ClaimCompleted(model.context, ClaimOutcome.Acquired))
            }
            is CallEffect.SelectEndpoint -> select(effect)
            is CallEffect.StartAttempt -> start(effect)
            is CallEffect.CancelAttempt -> cancel(effect.attempt)
            is CallEffect.SetHedgeTimer -> model.after(effect.delayMillis * MICROS_PER_MILLI) {
                on(CallEvent.HedgeTimerFired(model.context))
            }
            is CallEffect.SetDeadline ->
                model.after(effect.atMillis * MICROS_PER_MILLI - model.nowMicros) {
                    if (state.phase != CallPhase.Ended) deadline()
                }
            is CallEffect.ForwardResponse -> {
                tell(effect.outcome, succeeded = true)
                on(CallEvent.BodyCompleted(model.context, effect.attempt))
            }
            is CallEffect.Refuse -> tell(effect.refusal.outcome, succeeded = false)
            else -> Unit
        }
    }

    private fun deadline() {
        val now = model.nowMicros / MICROS_PER_MILLI
        attempts.values.filter { it.open }.forEach { view.failed(it.host.instance, now) }
        on(CallEvent.DeadlinePassed(model.context))
    }

    private fun select(effect: CallEffect.SelectEndpoint) {
        val context = model.context
        val endpoint = view.select(context, effect.excluded)
        val budget = if (effect.spendsBudget) view.budget.withdraw() else view.budget
        val event = when {
            endpoint == null -> CallEvent.SelectionFailed(context, RefusalReason.NO_ENDPOINT)
            budget == null -> CallEvent.SelectionFailed(context, RefusalReason.BUDGET_SPENT)
            else -> {
                view.budget = budget
                CallEvent.EndpointSelected(context, endpoint)
            }
        }
        model.after(0) { on(event) }
    }

    private fun start(effect: CallEffect.StartAttempt) {
        val target = effect.target as AttemptTarget.RemoteNode
        val host = model.host(target.endpoint.callAddress.value)
        val hopRequest =
            LastHopRequest(
                host.instance,
                target.fingerprint,
                effect.attemptsLeft,
                remainingMillis = effect.remainingMillis,
            )
        val attempt = Attempt(host, ModelHop(model, host, this, effect.attempt, hopRequest, home.latencyMicros(host)))
        attempts[effect.attempt] = attempt
        view.begin(host.instance)
        if (counted) {
            model.result.attempts += 1
            if (host.region != home.region) model.result.crossRegion += 1
        }
        model.after(home.latencyMicros(host)) { attempt.hop.arrive() }
        model.after(effect.headTimeoutMillis * MICROS_PER_MILLI) { silent(effect.attempt) }
    }

    private fun silent(number: Int) {
        val attempt = attempts[number]?.takeIf { it.open } ?: return
        view.failed(attempt.host.instance, model.nowMicros / MICROS_PER_MILLI)
        cancel(number)
        val failure = AttemptFailure(FailureKind.SILENT, requestSent = true)
        on(CallEvent.AttemptFailed(model.context, number, failure))
    }

    private fun cancel(number: Int) {
        val attempt = attempts[number]?.takeIf { it.open } ?: return
        close(attempt)
        model.after(home.latencyMicros(attempt.host)) { attempt.hop.on(CallEvent.CallerDisconnected(model.context)) }
    }

    private fun close(attempt: Attempt) {
        attempt.open = false
        view.end(attempt.host.instance)
    }

    private fun tell(outcome: Outcome, succeeded: Boolean) {
        told = outcome
        if (!counted) return
        model.result.latencies.recordValue(model.nowMicros - startedMicros)
        if (succeeded) model.result.succeeded += 1
    }
}

/** One call on the node beside its upstream. */
internal class ModelHop(
    private val model: CallModel,
    private val host: ModelHost,
    private val call: ModelCall,
    private val attempt: Int,
    request: LastHopRequest,
    private val latencyMicros: Long,
) {
    private var state: CallState = CallState.LastHop(request)

    fun arrive() = on(CallEvent.Arrived(model.context, model.view(host).snapshot, callsInFlight = 1))

    fun on(event: CallEvent) {
        if (state.phase == CallPhase.Ended) return
        val transition = reduceCall(state, event)
        state = transition.state
        if (state.phase == CallPhase.Ended) host.abandon(this)
        transition.effects.forEach { execute(it) }
    }

    private fun execute(effect: CallEffect) {
        when (effect) {
            is CallEffect.SetDeadline ->
                model.after(effect.atMillis * MICROS_PER_MILLI - model.nowMicros) {
                    on(CallEvent.DeadlinePassed(model.context))
                }
            is CallEffect.AcquireSlot -> acquire(effect)
            is CallEffect.ReleaseSlot -> host.release()
            is CallEffect.StartAttempt -> runUpstream()
            is CallEffect.ForwardResponse -> {
                reply(ResponseInfo(HTTP_OK, Outcome.COMPLETED))
                on(CallEvent.BodyCompleted(model.context, effect.attempt))
            }
            is CallEffect.Refuse ->
                reply(ResponseInfo(effect.refusal.statusCode, effect.refusal.outcome, effect.refusal.reason))
            else -> Unit
        }
    }

    /** A slot was passed to this call. */
    fun granted() {
        on(CallEvent.SlotGranted(model.context))
    }

    private fun acquire(effect: CallEffect.AcquireSlot) {
        when (val decision = host.request(this, effect.queue.maxWaiting, effect.priority)) {
            SlotDecision.Granted -> granted()
            SlotDecision.Shed -> on(CallEvent.SlotDenied(model.context))
            SlotDecision.Queued -> awaitTurn(effect)
            is SlotDecision.Displaced -> {
                decision.waiter.on(CallEvent.SlotDenied(model.context))
                awaitTurn(effect)
            }
        }
    }

    private fun awaitTurn(effect: CallEffect.AcquireSlot) {
        model.after(effect.queue.maxWaitMillis * MICROS_PER_MILLI) {
            if (host.abandon(this)) on(CallEvent.SlotDenied(model.context))
        }
    }

    private fun runUpstream() {
        when (val behaviour = model.behaviour(host)) {
            is ModelBehaviour.Serve -> {
                call.runs += 1
                model.after(behaviour.micros) {
                    on(CallEvent.ResponseStarted(model.context, 1, ResponseInfo(HTTP_OK)))
                }
            }
            is ModelBehaviour.Hang -> call.runs += 1
            is ModelBehaviour.Break -> {
                val failure = AttemptFailure(FailureKind.RESET, requestSent = true)
                model.after(0) { on(CallEvent.AttemptFailed(model.context, 1, failure)) }
            }
        }
    }

    private fun reply(answer: ResponseInfo) {
        val load = model.reportedLoad(host)
        model.after(latencyMicros) { call.answered(attempt, answer, load) }
    }
}
