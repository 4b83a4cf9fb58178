package boragelever.core.call

import boragelever.core.Fingerprint
import boragelever.core.ServiceName
import boragelever.core.config.allowsRepeat
import boragelever.core.routing.CompiledRoute
import boragelever.core.routing.CompiledService
import boragelever.core.routing.QuarantineDecision
import boragelever.core.routing.RoutingSnapshot
import boragelever.core.routing.chooseDestination
import boragelever.core.routing.matchRoute
import boragelever.core.routing.quarantineDecision
import kotlin.math.min

private const val BAD_REQUEST = 400
private const val NOT_FOUND = 404
internal const val BAD_GATEWAY: Int = 502
internal const val UNAVAILABLE: Int = 503
internal const val GATEWAY_TIMEOUT: Int = 504

internal fun notRunRefusal(statusCode: Int, reason: RefusalReason): Refusal =
    Refusal(statusCode, Outcome.NOT_RUN, reason)

/** Admits a new call at the first hop. Checks run from the cheapest to the one that needs the store. */
internal fun admit(state: CallState.FirstHop, event: CallEvent.Arrived): CallTransition {
    val arrived = state.copy(arrivedMillis = state.arrivedMillis ?: event.context.nowMillis)
    val snapshot = event.snapshot
        ?: return arrived.awaitRouting(
            event,
            service = null,
            notRunRefusal(UNAVAILABLE, RefusalReason.NO_CONFIGURATION),
        )
    val refusal = when {
        snapshot.draining -> notRunRefusal(UNAVAILABLE, RefusalReason.NODE_STOPPING)
        event.callsInFlight > snapshot.limits.maxConcurrentCalls ->
            notRunRefusal(UNAVAILABLE, RefusalReason.TOO_MANY_CALLS)
        else -> null
    }
    if (refusal != null) return state.refuse(refusal)
    return arrived.admit(snapshot, event)
}

private fun CallState.FirstHop.admit(snapshot: RoutingSnapshot, event: CallEvent.Arrived): CallTransition {
    val route =
        matchRoute(snapshot, request.matchInput) ?: return refuse(notRunRefusal(NOT_FOUND, RefusalReason.NO_ROUTE))
    val noEndpoint = notRunRefusal(UNAVAILABLE, RefusalReason.NO_ENDPOINT)
    val service =
        chooseDestination(route, event.context.seed)?.let { snapshot.services[it] } ?: return refuse(noEndpoint)
    val fingerprint = fingerprintOf(request, snapshot.callingService)
    val decision = snapshot.quarantineDecision(fingerprint, service.name, event.context.nowMillis)
    val trialInstance = (decision as? QuarantineDecision.Try)?.instance
    val plan = createPlan(request, route, service, fingerprint, arrivedMillis ?: event.context.nowMillis)
        .copy(trialInstance = trialInstance)
    val planned = copy(plan = plan)
    val refusal = refusalFor(planned, plan, snapshot, decision, event.context.nowMillis)
    return when {
        refusal != null -> planned.refuse(refusal)
        !snapshot.canRoute(service.name) -> planned.awaitRouting(event, service.name, noEndpoint)
        else -> planned.claimOrSelect(plan)
    }
}

/**
 * Delays a call while the node is starting, because a refusal would use up one of the caller's few retries.
 *
 * The delay is at most a third of the remaining time of the call, so that the call can still run afterwards.
 */
private fun CallState.FirstHop.awaitRouting(
    event: CallEvent.Arrived,
    service: ServiceName?,
    refusal: Refusal,
): CallTransition {
    val maxDelayMillis = min(request.remainingMillis ?: STARTUP_MILLIS, STARTUP_MILLIS) / WAIT_DIVISOR
    val untilMillis = (arrivedMillis ?: event.context.nowMillis) + maxDelayMillis
    val mayWait = event.uptimeMillis < STARTUP_MILLIS && event.context.nowMillis < untilMillis
    return if (mayWait) {
        copy(phase = CallPhase.AwaitingRouting).with(CallEffect.AwaitRouting(service, untilMillis))
    } else {
        refuse(refusal)
    }
}

/** Time after its start within which a node obtains the configuration and the instances. */
private const val STARTUP_MILLIS = 3_000L
private const val WAIT_DIVISOR = 3

private fun createPlan(
    request: CallRequest,
    route: CompiledRoute,
    service: CompiledService,
    fingerprint: Fingerprint,
    nowMillis: Long,
): CallPlan =
    CallPlan(
        route = route,
        service = service.name,
        serviceConfig = service.config,
        fingerprint = fingerprint,
        deadlineMillis = nowMillis + min(route.config.timeoutMillis, request.remainingMillis ?: Long.MAX_VALUE),
        endMillis = route.config.totalTimeoutMillis.takeIf { it > 0 }?.let { nowMillis + it },
        maxAttempts = min(route.config.retry.maxAttempts, request.attemptsLeft ?: Int.MAX_VALUE),
        idempotent = route.config.idempotency.allowsRepeat(request.method),
    )

private fun refusalFor(
    state: CallState.FirstHop,
    plan: CallPlan,
    snapshot: RoutingSnapshot,
    decision: QuarantineDecision,
    nowMillis: Long,
): Refusal? {
    val isKeyMissing = plan.route.config.idempotency.requireKey && !plan.idempotent && state.request.key == null
    return when {
        plan.deadlineMillis <= nowMillis -> notRunRefusal(GATEWAY_TIMEOUT, RefusalReason.DEADLINE)
        state.lastMillis(plan, nowMillis) > (snapshot.exitMillis ?: Long.MAX_VALUE) ->
            notRunRefusal(UNAVAILABLE, RefusalReason.NODE_STOPPING)
        plan.maxAttempts < 1 -> notRunRefusal(UNAVAILABLE, RefusalReason.BUDGET_SPENT)
        isKeyMissing -> notRunRefusal(BAD_REQUEST, RefusalReason.KEY_REQUIRED)
        decision == QuarantineDecision.Refuse -> notRunRefusal(UNAVAILABLE, RefusalReason.QUARANTINED)
        else -> null
    }
}

/** Latest time at which the call ends: no caller waits beyond its own deadline, even for a response in progress. */
private fun CallState.FirstHop.lastMillis(plan: CallPlan, nowMillis: Long): Long {
    val callerMillis = request.remainingMillis?.let { nowMillis + it }
    return listOfNotNull(callerMillis, plan.endMillis).minOrNull() ?: plan.deadlineMillis
}

private fun CallState.FirstHop.claimOrSelect(plan: CallPlan): CallTransition {
    val deadline = CallEffect.SetDeadline(plan.deadlineMillis)
    val key = request.key
    if (key == null || plan.idempotent) {
        return copy(phase = CallPhase.Selecting).with(deadline, selectFirstEndpoint(plan))
    }
    val claim = CallEffect.AcquireClaim(claimRow(key, plan.route.name), requestDigestOf(request))
    return copy(phase = CallPhase.Claiming).with(deadline, claim)
}

/** Selects the endpoint of the first attempt. */
internal fun CallState.FirstHop.selectFirstEndpoint(plan: CallPlan): CallEffect =
    CallEffect.SelectEndpoint(plan.service, excludedInstances, spendsBudget = false, plan.trialInstance)

/** Ends the call with a refusal from this node. */
internal fun CallState.FirstHop.refuse(refusal: Refusal): CallTransition =
    copy(phase = CallPhase.Ended).with(CallEffect.Refuse(refusal))
