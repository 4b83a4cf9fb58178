package boragelever.core.call

import boragelever.core.ConfigVersion
import boragelever.core.Digest
import boragelever.core.EventContext
import boragelever.core.Fingerprint
import boragelever.core.IdempotencyKey
import boragelever.core.InstanceId
import boragelever.core.NetworkAddress
import boragelever.core.NodeId
import boragelever.core.RegionName
import boragelever.core.RouteName
import boragelever.core.ServiceName
import boragelever.core.ZoneName
import boragelever.core.config.ConfigId
import boragelever.core.config.LimitsConfig
import boragelever.core.config.RetryConfig
import boragelever.core.config.RouteConfig
import boragelever.core.config.ServiceConfig
import boragelever.core.control.UpstreamRecord
import boragelever.core.control.UpstreamState
import boragelever.core.routing.CompiledRoute
import boragelever.core.routing.CompiledService
import boragelever.core.routing.Destination
import boragelever.core.routing.Endpoint
import boragelever.core.routing.LocalityTier
import boragelever.core.routing.Quarantine
import boragelever.core.routing.QuarantineTrial
import boragelever.core.routing.RoutingSnapshot
import boragelever.core.store.RecordedResponse

/** Calls, named events and short descriptions of effects for tables of test cases. */
internal object CallScript {
    val SERVICE = ServiceName("fitbook")
    val ROUTE = RouteConfig(pathPrefix = "/", destinations = mapOf(SERVICE to 1), timeoutMillis = 1_000)
    val NOW = EventContext(0, 1)
    val LATE = EventContext(1_000, 1)
    val A = endpoint("a")
    val B = endpoint("b")
    val UPSTREAM = UpstreamRecord(SERVICE, A.instance, NetworkAddress("127.0.0.1:1"), 9, 130, UpstreamState.SERVING)
    val SNAPSHOT = snapshot(ROUTE)
    val WITHOUT_ENDPOINTS =
        SNAPSHOT.copy(services = mapOf(SERVICE to CompiledService(SERVICE, ServiceConfig(), emptyList())))
    val GET = CallState.FirstHop(CallRequest("GET", "/scan"))
    val SPENT = CallState.FirstHop(CallRequest("GET", "/scan", attemptsLeft = 0))
    val HURRIED = CallState.FirstHop(CallRequest("GET", "/scan", remainingMillis = 500))
    val EXPIRED = CallState.FirstHop(CallRequest("GET", "/scan", remainingMillis = 0))
    val POST = CallState.FirstHop(CallRequest("POST", "/book"))
    val KEYED = CallState.FirstHop(CallRequest("POST", "/book", key = IdempotencyKey("k")))
    val UPLOAD = CallState.FirstHop(CallRequest("PUT", "/scan", body = RequestBody.Streamed(null)))
    val HOP = CallState.LastHop(LastHopRequest(A.instance, Fingerprint("f"), remainingMillis = 500))

    fun endpoint(name: String) =
        Endpoint(
            instance = InstanceId(name),
            service = SERVICE,
            node = NodeId(name),
            callAddress = NetworkAddress("127.0.0.1:2"),
            region = RegionName("r"),
            zone = ZoneName("z"),
            tier = LocalityTier.SAME_ZONE,
            slots = 9,
            servingSinceMillis = 0,
        )

    fun snapshot(route: RouteConfig) =
        RoutingSnapshot(
            config = ConfigId(ConfigVersion(1), Digest("d")),
            node = NodeId("n"),
            routes = listOf(CompiledRoute(RouteName("all"), route, listOf(Destination(SERVICE, 1)))),
            services = mapOf(SERVICE to CompiledService(SERVICE, ServiceConfig(), listOf(A, B))),
            limits = LimitsConfig(maxConcurrentCalls = 10),
            localUpstreams = mapOf(A.instance to UPSTREAM),
        )

    /** A snapshot in which the requests [GET] and [HOP] are quarantined with a trial on [A] from [startMillis] on. */
    fun trialSnapshot(startMillis: Long = 0): RoutingSnapshot {
        val quarantine = Quarantine(endMillis = 500, QuarantineTrial(1, startMillis))
        val services = mapOf(SERVICE to CompiledService(SERVICE, ServiceConfig(), listOf(A)))
        val fingerprints = listOf(Fingerprint("f"), fingerprintOf(GET.request))
        return SNAPSHOT.copy(services = services, quarantined = fingerprints.associateWith { quarantine })
    }

    fun arrived(snapshot: RoutingSnapshot?, inFlight: Int = 1) = CallEvent.Arrived(NOW, snapshot, inFlight)

    /** Returns the arrival of a call at [nowMillis] on a node that started [uptimeMillis] ago. */
    fun arrivedAfterStart(snapshot: RoutingSnapshot?, nowMillis: Long = 0, uptimeMillis: Long = 100) =
        CallEvent.Arrived(EventContext(nowMillis, 1), snapshot, 1, uptimeMillis)

    fun arrivedWithAttempts(count: Int) = arrived(snapshot(ROUTE.copy(retry = RetryConfig(maxAttempts = count))))

    fun attemptFailed(attempt: Int, sent: Boolean, kind: FailureKind = FailureKind.RESET) =
        CallEvent.AttemptFailed(NOW, attempt, AttemptFailure(kind, sent))

    fun responded(attempt: Int) =
        CallEvent.ResponseStarted(NOW, attempt, ResponseInfo(200, Outcome.COMPLETED, null, "v", 9))

    fun refusedByHop(attempt: Int, reason: RefusalReason) =
        CallEvent.ResponseStarted(NOW, attempt, ResponseInfo(503, Outcome.NOT_RUN, reason))

    fun remainder(first: Long = 4, total: Long = 9, tag: String = "v"): CallEvent {
        val range = ContentRange(first, total - 1, total)
        return CallEvent.ResponseStarted(NOW, 2, ResponseInfo(206, Outcome.COMPLETED, null, tag, total - first, range))
    }

    fun bodyFailed(failure: BodyFailure) = CallEvent.BodyFailed(NOW, 1, sentBytes = 4, failure)

    fun claimCompleted(outcome: ClaimOutcome) = CallEvent.ClaimCompleted(NOW, outcome)

    val EVENTS: Map<String, CallEvent> = mapOf(
        "arrived" to arrived(SNAPSHOT),
        "arrived-unconfigured" to arrived(null),
        "arrived-at-start" to arrivedAfterStart(null),
        "arrived-still-unconfigured" to arrivedAfterStart(null, nowMillis = 1_000),
        "arrived-without-endpoints" to arrivedAfterStart(WITHOUT_ENDPOINTS),
        "arrived-late-without-endpoints" to arrivedAfterStart(WITHOUT_ENDPOINTS, uptimeMillis = 3_000),
        "arrived-stopping" to arrived(SNAPSHOT.copy(draining = true)),
        "arrived-shortly-before-exit" to arrived(SNAPSHOT.copy(exitMillis = 999)),
        "arrived-shortly-before-exit-of-hop" to arrived(SNAPSHOT.copy(exitMillis = 499)),
        "arrived-limited-shortly-before-exit" to arrived(
            snapshot(ROUTE.copy(timeoutMillis = 500, totalTimeoutMillis = 1_000)).copy(exitMillis = 999),
        ),
        "arrived-in-time-before-exit" to arrived(SNAPSHOT.copy(exitMillis = 1_000)),
        "arrived-at-limit" to arrived(SNAPSHOT, inFlight = 11),
        "arrived-unmatched" to arrived(snapshot(ROUTE.copy(pathPrefix = "/sc"))),
        "arrived-once" to arrivedWithAttempts(1),
        "arrived-twice" to arrivedWithAttempts(2),
        "arrived-hedged" to arrived(snapshot(ROUTE.copy(retry = RetryConfig(hedgeAfterMillis = 5)))),
        "arrived-limited" to arrived(snapshot(ROUTE.copy(timeoutMillis = 500, totalTimeoutMillis = 1_000))),
        "arrived-moved" to arrived(SNAPSHOT.copy(localUpstreams = emptyMap())),
        "arrived-draining" to arrived(
            SNAPSHOT.copy(localUpstreams = mapOf(A.instance to UPSTREAM.copy(state = UpstreamState.DRAINING))),
        ),
        "arrived-quarantined" to
            arrived(SNAPSHOT.copy(quarantined = mapOf(Fingerprint("f") to Quarantine(endMillis = 1)))),
        "arrived-for-trial" to arrived(trialSnapshot()),
        "arrived-before-trial" to arrived(trialSnapshot(startMillis = 1)),
        "other-trial" to CallEvent.SlotDenied(NOW, RefusalReason.QUARANTINED),
        "a" to CallEvent.EndpointSelected(NOW, A),
        "b" to CallEvent.EndpointSelected(NOW, B),
        "none" to CallEvent.SelectionFailed(NOW, RefusalReason.NO_ENDPOINT),
        "no-budget" to CallEvent.SelectionFailed(NOW, RefusalReason.BUDGET_SPENT),
        "reset" to attemptFailed(1, sent = true),
        "closed-idle" to attemptFailed(1, sent = true, FailureKind.CLOSED_IDLE),
        "unreachable" to attemptFailed(1, sent = false, FailureKind.REFUSED),
        "response" to responded(1),
        "response2" to responded(2),
        "shed" to refusedByHop(1, RefusalReason.SHED),
        "upstream-shed" to refusedByHop(1, RefusalReason.UPSTREAM_SHED),
        "unreachable2" to attemptFailed(2, sent = false, FailureKind.REFUSED),
        "unreachable3" to attemptFailed(3, sent = false, FailureKind.REFUSED),
        "error" to CallEvent.ResponseStarted(NOW, 1, ResponseInfo(500, Outcome.COMPLETED)),
        "instance-sheds" to CallEvent.ResponseStarted(NOW, 1, ResponseInfo(503, Outcome.NOT_RUN)),
        "shed2" to refusedByHop(2, RefusalReason.SHED),
        "not-serving" to refusedByHop(1, RefusalReason.NOT_SERVING),
        "quarantined" to refusedByHop(1, RefusalReason.QUARANTINED),
        "remainder" to remainder(),
        "remainder-other-tag" to remainder(tag = "w"),
        "remainder-other-range" to remainder(first = 3),
        "remainder-longer" to remainder(total = 10),
        "ended" to CallEvent.BodyCompleted(NOW, 1),
        "stalled" to bodyFailed(BodyFailure.STALLED),
        "truncated" to bodyFailed(BodyFailure.RESET),
        "receiver-gone" to bodyFailed(BodyFailure.RECEIVER_GONE),
        "hedge" to CallEvent.HedgeTimerFired(NOW),
        "disconnected" to CallEvent.CallerDisconnected(NOW),
        "late" to CallEvent.DeadlinePassed(LATE),
        "early" to CallEvent.DeadlinePassed(EventContext(999, 1)),
        "much-later" to CallEvent.DeadlinePassed(EventContext(10_000, 1)),
        "much-later-still" to CallEvent.DeadlinePassed(EventContext(11_000, 1)),
        "later" to CallEvent.DeadlinePassed(EventContext(9_999, 1)),
        "acquired" to claimCompleted(ClaimOutcome.Acquired),
        "recorded" to claimCompleted(ClaimOutcome.Recorded(RecordedResponse(201))),
        "pending" to claimCompleted(ClaimOutcome.Pending),
        "other" to claimCompleted(ClaimOutcome.KeyReused),
        "store-failed" to claimCompleted(ClaimOutcome.Failed),
        "slot" to CallEvent.SlotGranted(NOW),
        "late-slot" to CallEvent.SlotGranted(LATE),
        "no-slot" to CallEvent.SlotDenied(NOW),
    )

    fun describe(effect: CallEffect): String =
        when (effect) {
            is CallEffect.SelectEndpoint ->
                "select" + effect.only?.let { " only $it" }.orEmpty() + effect.excluded.joinToString("") { " -$it" } +
                    if (effect.spendsBudget) " with token" else ""
            is CallEffect.StartAttempt -> {
                val target = (effect.target as? AttemptTarget.RemoteNode)?.endpoint?.instance ?: "upstream"
                "send $target left ${effect.attemptsLeft}" + effect.resume?.let { " from ${it.fromByte}" }.orEmpty()
            }
            is CallEffect.CancelAttempt -> "cancel ${effect.attempt}"
            is CallEffect.ForwardResponse -> "forward ${effect.attempt}"
            is CallEffect.ForwardRemainder -> "remainder ${effect.attempt}"
            is CallEffect.Refuse -> effect.refusal.let { "${it.statusCode} ${it.outcome.text} ${it.reason.text}" }
            is CallEffect.ReportUpstreamCrash -> "crashed ${effect.instance}"
            is CallEffect.ReplayResponse -> "replay ${effect.response.statusCode}"
            is CallEffect.AcquireSlot -> "AcquireSlot" + effect.trial?.let { " for trial ${it.number}" }.orEmpty()
            else -> checkNotNull(effect::class.simpleName)
        }
}
