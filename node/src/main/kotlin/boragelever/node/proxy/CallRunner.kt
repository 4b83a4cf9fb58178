package boragelever.node.proxy

import boragelever.core.Digest
import boragelever.core.EventContext
import boragelever.core.call.AttemptTarget
import boragelever.core.call.CallEffect
import boragelever.core.call.CallEvent
import boragelever.core.call.CallPhase
import boragelever.core.call.CallState
import boragelever.core.call.ClaimOutcome
import boragelever.core.call.Outcome
import boragelever.core.call.Refusal
import boragelever.core.call.RefusalReason
import boragelever.core.call.phase
import boragelever.core.call.reduceCall
import boragelever.core.routing.CompiledService
import boragelever.core.routing.Endpoint
import boragelever.core.routing.LocalityTier
import boragelever.core.routing.selectEndpoint
import boragelever.core.store.RecordedResponse
import boragelever.core.store.RowKey
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.DisposableHandle
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.job
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import java.io.IOException

/** Time that a refusal waits for the release of its claim, so that an immediate client retry can run. */
private const val CLAIM_RELEASE_WAIT_MILLIS = 500L

/** Poll interval of a call that waits until its service can be routed. */
private const val ROUTING_POLL_INTERVAL_MILLIS = 20L

/** Interval of the `102 Processing` responses that tell the first hop that the call is still running. */
private const val PROCESSING_INTERVAL_MILLIS = 450L

/** Runs one call: reduces its events and executes the effects. */
internal class CallRunner(private val context: TrafficContext, private val call: IncomingCall) {
    private val events = EventQueue<CallEvent>()
    private val timers = mutableListOf<DisposableHandle>()
    private val attempts = AttemptSet(context, call) { events.post(it) }
    private val localResponses = LocalResponses(context, call)
    private var state: CallState = call.initialState(context.settings.headerNames)
    private var slotLimiter: SlotLimiter? = null
    private var slotAcquiredAtMillis = 0L
    private var claim: HeldClaim? = null
    private var tier: LocalityTier? = null
    private var refusalOutcome: Outcome? = null
    private var refusalReason: RefusalReason? = null
    private val trace = context.telemetry.callStarted(
        CallDescription(
            call.kind,
            call.head.method,
            call.head.target.substringBefore('?'),
            call.head.headers[TRACEPARENT_HEADER],
        ),
    )

    /** Runs the call until it has ended. */
    suspend fun run() {
        val startedNanos = System.nanoTime()
        try {
            coroutineScope {
                try {
                    watchCaller()
                    if (call.kind == HopKind.LAST) scheduleProcessing(this)
                    events.post(arrivedEvent())
                    while (state.phase != CallPhase.Ended) process(events.take())
                } finally {
                    // A timer that fires later would start work in a scope that is about to complete.
                    timers.forEach { it.dispose() }
                }
                // The remaining coroutines belong to cancelled attempts.
                coroutineContext.job.children.toList().forEach { it.cancelAndJoin() }
            }
        } finally {
            releaseSlot()
            attempts.close()
            trace.ended(summary(System.nanoTime() - startedNanos))
        }
    }

    private fun arrivedEvent(): CallEvent {
        val inFlight = context.inFlight.getValue(call.kind).get()
        val eventContext = context.clock.eventContext()
        return CallEvent.Arrived(
            eventContext,
            context.snapshots.current(),
            inFlight,
            eventContext.nowMillis - context.startedMillis,
        )
    }

    private suspend fun CoroutineScope.process(event: CallEvent) {
        if (event is CallEvent.DeadlinePassed) attempts.recordDeadline()
        val hasPlan = state.hasPlan()
        val transition = reduceCall(state, event)
        state = transition.state
        if (!hasPlan) depositBudget()
        executeFrom(transition.effects, 0)
    }

    /** Executes the effects in order, by recursion because the JVM's client compiler (C1) does not compile a loop. */
    private suspend fun CoroutineScope.executeFrom(effects: List<CallEffect>, first: Int) {
        if (first == effects.size) return
        execute(effects[first])
        executeFrom(effects, first + 1)
    }

    private suspend fun CoroutineScope.execute(effect: CallEffect) {
        when (effect) {
            is CallEffect.AcquireClaim -> launch { acquireClaim(effect.row, effect.requestDigest) }
            is CallEffect.ReleaseClaim -> releaseClaim()
            is CallEffect.RecordResponse -> recordResponse()
            is CallEffect.BufferResponse -> attempts.recordBody(effect.maxBodyBytes)
            is CallEffect.AwaitRouting -> awaitRouting(effect)
            is CallEffect.SelectEndpoint -> select(effect)
            is CallEffect.AcquireSlot -> launch { acquireSlot(effect) }
            is CallEffect.ReleaseSlot -> releaseSlot()
            is CallEffect.StartAttempt -> {
                tier = (effect.target as? AttemptTarget.RemoteNode)?.endpoint?.tier ?: tier
                attempts.start(this, effect, trace)
            }
            is CallEffect.CancelAttempt -> attempts.cancel(effect.attempt)
            is CallEffect.SetHedgeTimer -> schedule(effect.delayMillis) {
                CallEvent.HedgeTimerFired(context.clock.eventContext())
            }
            is CallEffect.SetDeadline -> {
                val delayMillis = effect.atMillis - context.clock.nowMillis()
                schedule(delayMillis) { CallEvent.DeadlinePassed(context.clock.eventContext()) }
            }
            is CallEffect.ForwardResponse -> attempts.forwardResponse(this, effect.attempt, effect.outcome)
            is CallEffect.ForwardRemainder -> attempts.forwardRemainder(this, effect.attempt)
            is CallEffect.ReplayResponse -> replay(effect.response)
            is CallEffect.Refuse -> refuse(effect.refusal)
            is CallEffect.AbortResponse -> call.response.abort()
            is CallEffect.ReportUpstreamCrash -> context.localUpstreams.reportCrash(effect.instance)
        }
    }

    private fun schedule(delayMillis: Long, event: () -> CallEvent) {
        timers += context.loop.schedule(delayMillis) { events.post(event()) }
    }

    private fun watchCaller() {
        // A streamed body is read from the same connection, and that read reports a disconnected caller.
        if (call.body is CallBody.Streamed) return
        timers += call.input.watchForClose { events.post(CallEvent.CallerDisconnected(context.clock.eventContext())) }
    }

    private fun scheduleProcessing(scope: CoroutineScope) {
        if (call.response.statusCode != 0) return
        timers += context.loop.schedule(PROCESSING_INTERVAL_MILLIS) { scope.launch { sendProcessing(scope) } }
    }

    private suspend fun sendProcessing(scope: CoroutineScope) {
        try {
            call.response.writeProcessing()
            scheduleProcessing(scope)
        } catch (_: IOException) {
            // The watch of the connection reports the disconnected caller.
        }
    }

    private fun CallState.hasPlan(): Boolean = this is CallState.FirstHop && plan != null

    private fun depositBudget() {
        val plan = (state as? CallState.FirstHop)?.plan ?: return
        val snapshot = context.snapshots.current() ?: return
        context.retryBudgets.deposit(plan.service, snapshot.retryPercentOf(plan.route), snapshot.retrySlack)
    }

    private suspend fun acquireClaim(row: RowKey, digest: Digest) {
        val (result, heldClaim) = context.claims.acquire(row, digest)
        claim = heldClaim
        events.post(CallEvent.ClaimCompleted(context.clock.eventContext(), result))
    }

    private suspend fun releaseClaim() {
        val heldClaim = claim ?: return
        val release = context.background.launch { context.claims.release(heldClaim) }
        withTimeoutOrNull(CLAIM_RELEASE_WAIT_MILLIS) { release.join() }
    }

    private fun recordResponse() {
        val heldClaim = claim ?: return
        val response = attempts.forwardedResponse() ?: return
        context.background.launch { context.claims.record(heldClaim, response) }
    }

    /** Polls the snapshot; few calls wait, and only in the first seconds after the start of the node. */
    private fun awaitRouting(effect: CallEffect.AwaitRouting) {
        val isKnown = context.snapshots.current()?.canRoute(effect.service) ?: false
        if (isKnown || context.clock.nowMillis() >= effect.untilMillis) {
            events.post(arrivedEvent())
        } else {
            timers += context.loop.schedule(ROUTING_POLL_INTERVAL_MILLIS) { awaitRouting(effect) }
        }
    }

    private fun select(effect: CallEffect.SelectEndpoint) {
        val eventContext = context.clock.eventContext()
        val service = context.snapshots.current()?.services?.get(effect.service)
        val endpoint = service?.let { chooseEndpoint(it, effect, eventContext) }
        val event = when {
            endpoint == null -> CallEvent.SelectionFailed(eventContext, RefusalReason.NO_ENDPOINT)
            effect.spendsBudget && !context.retryBudgets.withdraw(effect.service) ->
                CallEvent.SelectionFailed(eventContext, RefusalReason.BUDGET_SPENT)
            else -> CallEvent.EndpointSelected(eventContext, endpoint)
        }
        events.post(event)
    }

    private fun chooseEndpoint(
        service: CompiledService,
        effect: CallEffect.SelectEndpoint,
        eventContext: EventContext,
    ): Endpoint? {
        val only = effect.only
        if (only != null) return service.endpoints.firstOrNull { it.instance == only }
        return selectEndpoint(
            service,
            context.endpoints.statsSource,
            eventContext,
            effect.excluded,
            context.responseSizes.isLarge(effect.service),
        )
    }

    private suspend fun acquireSlot(effect: CallEffect.AcquireSlot) {
        val trial = effect.trial
        val trials = context.localUpstreams.trials
        if (trial != null && !trials.begin(trial)) {
            events.post(CallEvent.SlotDenied(context.clock.eventContext(), RefusalReason.QUARANTINED))
            return
        }
        val limiter = context.localUpstreams.limiterFor(effect.upstream)
        val granted = limiter.acquire(effect.queue, effect.priority)
        if (granted) {
            slotLimiter = limiter
            slotAcquiredAtMillis = context.clock.nowMillis()
        } else if (trial != null) {
            trials.cancel(trial)
        }
        val eventContext = context.clock.eventContext()
        events.post(if (granted) CallEvent.SlotGranted(eventContext) else CallEvent.SlotDenied(eventContext))
    }

    private fun releaseSlot() {
        slotLimiter?.release(context.clock.nowMillis() - slotAcquiredAtMillis)
        slotLimiter = null
    }

    private suspend fun refuse(refusal: Refusal) {
        refusalOutcome = refusal.outcome
        refusalReason = refusal.reason
        val instance = (state as? CallState.LastHop)?.request?.instance
        localResponses.refuse(refusal, instance?.let { context.localUpstreams.load(it) })
    }

    private suspend fun replay(response: RecordedResponse) {
        refusalOutcome = Outcome.COMPLETED
        localResponses.replay(response)
    }

    private fun summary(durationNanos: Long): CallSummary {
        val plan = (state as? CallState.FirstHop)?.plan
        return CallSummary(
            statusCode = call.response.statusCode,
            outcome = refusalOutcome ?: Outcome.COMPLETED.takeIf { call.response.complete },
            durationNanos = durationNanos,
            attempts = attempts.started,
            route = plan?.route?.name,
            service = plan?.service ?: (state as? CallState.LastHop)?.upstream?.service,
            tier = tier,
            requestId = context.settings.headerNames.requestIdHeader?.let { call.head.headers[it] },
            refusal = refusalReason,
            attemptResults = attempts.results,
            configVersion = context.snapshots.current()?.config?.version,
            remainingMillis = call.head.headers[context.settings.headerNames.deadlineHeader]?.toLongOrNull(),
            complete = call.response.complete,
        )
    }
}
