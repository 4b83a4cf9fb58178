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
import boragelever.core.routing.RoutingSnapshot
import boragelever.core.store.RecordedResponse

/** Calls, named events and a short form of effects for tables of cases. */
internal object CallScript {
    val SERVICE = ServiceName("fitbook")
    val ROUTE = RouteConfig(pathPrefix = "/", destinations = mapOf(SERVICE to 1), timeoutMillis = 1_000)
    val NOW = EventContext(0, 1)
    val LATE = EventContext(1_000, 1)
    val A = endpoint("a")
    val B = endpoint("b")
    val UPSTREAM =
        UpstreamRecord(SERVICE, A.instance, NetworkAddress("127.0.0.1:1"), 9, 130, UpstreamState.SERVING)
    val SNAPSHOT = snapshot(ROUTE)
    val WITHOUT_ENDPOINTS =
        SNAPSHOT.copy(services = mapOf(SERVICE to CompiledService(SERVICE, ServiceConfig(), emptyList())))
    val GET = CallState.FirstHop(CallRequest("GET", "/scan"))
    val SPENT = CallState.FirstHop(CallRequest("GET", "/scan", attemptsLeft = 0))
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

    fun arrived(snapshot: RoutingSnapshot?, inFlight: Int = 1) = CallEvent.Arrived(NOW, snapshot, inFlight)

    /** A call on a node that started [uptimeMillis] ago, reduced at [nowMillis]. */
    fun started(snapshot: RoutingSnapshot?, nowMillis: Long = 0, uptimeMillis: Long = 100) =
        CallEvent.Arrived(EventContext(nowMillis, 1), snapshot, 1, uptimeMillis)

    fun attempts(count: Int) = arrived(snapshot(ROUTE.copy(retry = RetryConfig(maxAttempts = count))))

    fun failed(attempt: Int, sent: Boolean, kind: FailureKind = FailureKind.RESET) =
        CallEvent.AttemptFailed(NOW, attempt, AttemptFailure(kind, sent))

    fun answered(attempt: Int) = CallEvent.ResponseStarted(
        NOW,
        attempt,
        ResponseInfo(200, Outcome.COMPLETED, null, "v", 9),
    )

    fun refused(attempt: Int, reason: RefusalReason) =
        CallEvent.ResponseStarted(NOW, attempt, ResponseInfo(503, Outcome.NOT_RUN, reason))

    fun rest(first: Long = 4, total: Long = 9, tag: String = "v"): CallEvent {
        val range = ContentRange(first, total - 1, total)
        return CallEvent.ResponseStarted(NOW, 2, ResponseInfo(206, Outcome.COMPLETED, null, tag, total - first, range))
    }

    fun broke(failure: BodyFailure) = CallEvent.BodyFailed(NOW, 1, sentBytes = 4, failure)

    fun claimed(answer: ClaimOutcome) = CallEvent.ClaimCompleted(NOW, answer)

    val EVENTS: Map<String, CallEvent> = mapOf(
        "arrived" to arrived(SNAPSHOT),
        "arrived-unconfigured" to arrived(null),
        "arrived-at-start" to started(null),
        "arrived-still-unconfigured" to started(null, nowMillis = 1_000),
        "arrived-without-endpoints" to started(WITHOUT_ENDPOINTS),
        "arrived-late-without-endpoints" to started(WITHOUT_ENDPOINTS, uptimeMillis = 3_000),
        "arrived-stopping" to arrived(SNAPSHOT.copy(draining = true)),
        "arrived-crowded" to arrived(SNAPSHOT, inFlight = 11),
        "arrived-unmatched" to arrived(snapshot(ROUTE.copy(pathPrefix = "/sc"))),
        "arrived-once" to attempts(1),
        "arrived-twice" to attempts(2),
        "arrived-hedged" to arrived(snapshot(ROUTE.copy(retry = RetryConfig(hedgeAfterMillis = 5)))),
        "arrived-moved" to arrived(SNAPSHOT.copy(localUpstreams = emptyMap())),
        "arrived-draining" to arrived(
            SNAPSHOT.copy(localUpstreams = mapOf(A.instance to UPSTREAM.copy(state = UpstreamState.DRAINING))),
        ),
        "arrived-poison" to arrived(SNAPSHOT.copy(quarantined = mapOf(Fingerprint("f") to 1L))),
        "a" to CallEvent.EndpointSelected(NOW, A),
        "b" to CallEvent.EndpointSelected(NOW, B),
        "none" to CallEvent.SelectionFailed(NOW, RefusalReason.NO_ENDPOINT),
        "no-budget" to CallEvent.SelectionFailed(NOW, RefusalReason.BUDGET_SPENT),
        "reset" to failed(1, sent = true),
        "closed-idle" to failed(1, sent = true, FailureKind.CLOSED_IDLE),
        "unconnected" to failed(1, sent = false, FailureKind.REFUSED),
        "answer" to answered(1),
        "answer2" to answered(2),
        "shed" to refused(1, RefusalReason.SHED),
        "upstream-shed" to refused(1, RefusalReason.UPSTREAM_SHED),
        "unconnected2" to failed(2, sent = false, FailureKind.REFUSED),
        "unconnected3" to failed(3, sent = false, FailureKind.REFUSED),
        "error" to CallEvent.ResponseStarted(NOW, 1, ResponseInfo(500, Outcome.COMPLETED)),
        "instance-sheds" to CallEvent.ResponseStarted(NOW, 1, ResponseInfo(503, Outcome.NOT_RUN)),
        "shed2" to refused(2, RefusalReason.SHED),
        "not-serving" to refused(1, RefusalReason.NOT_SERVING),
        "poison" to refused(1, RefusalReason.QUARANTINED),
        "rest" to rest(),
        "rest-other-tag" to rest(tag = "w"),
        "rest-other-part" to rest(first = 3),
        "rest-longer" to rest(total = 10),
        "ended" to CallEvent.BodyCompleted(NOW, 1),
        "stalled" to broke(BodyFailure.STALLED),
        "cut" to broke(BodyFailure.RESET),
        "unread" to broke(BodyFailure.RECEIVER_GONE),
        "hedge" to CallEvent.HedgeTimerFired(NOW),
        "gone" to CallEvent.CallerDisconnected(NOW),
        "late" to CallEvent.DeadlinePassed(LATE),
        "won" to claimed(ClaimOutcome.Acquired),
        "recorded" to claimed(ClaimOutcome.Recorded(RecordedResponse(201))),
        "pending" to claimed(ClaimOutcome.Pending),
        "other" to claimed(ClaimOutcome.KeyReused),
        "store-failed" to claimed(ClaimOutcome.Failed),
        "slot" to CallEvent.SlotGranted(NOW),
        "late-slot" to CallEvent.SlotGranted(LATE),
        "no-slot" to CallEvent.SlotDenied(NOW),
    )

    fun brief(effect: CallEffect): String =
        when (effect) {
            is CallEffect.SelectEndpoint ->
                "select" + effect.excluded.joinToString("") { " -$it" } + if (effect.spendsBudget) " paid" else ""
            is CallEffect.StartAttempt -> {
                val target = (effect.target as? AttemptTarget.RemoteNode)?.endpoint?.instance ?: "upstream"
                "send $target left ${effect.attemptsLeft}" + effect.resume?.let { " from ${it.fromByte}" }.orEmpty()
            }
            is CallEffect.CancelAttempt -> "cancel ${effect.attempt}"
            is CallEffect.ForwardResponse -> "pass ${effect.attempt}"
            is CallEffect.ForwardRemainder -> "rest ${effect.attempt}"
            is CallEffect.Refuse -> effect.refusal.let { "${it.statusCode} ${it.outcome.text} ${it.reason.text}" }
            is CallEffect.ReportUpstreamCrash -> "died ${effect.instance}"
            is CallEffect.ReplayResponse -> "replay ${effect.response.statusCode}"
            else -> checkNotNull(effect::class.simpleName)
        }
}
