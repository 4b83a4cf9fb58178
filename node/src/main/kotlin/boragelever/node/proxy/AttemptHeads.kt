package boragelever.node.proxy

import boragelever.core.NetworkAddress
import boragelever.core.ServiceName
import boragelever.core.call.AttemptTarget
import boragelever.core.call.CallEffect
import boragelever.core.call.CallHeaderNames
import boragelever.core.call.Outcome

/** Address to which an attempt is sent. */
internal val AttemptTarget.address: NetworkAddress
    get() = when (this) {
        is AttemptTarget.RemoteNode -> endpoint.callAddress
        is AttemptTarget.LocalUpstream -> upstream.address
    }

/** Head of the request of one attempt. */
internal fun attemptHead(
    call: IncomingCall,
    start: CallEffect.StartAttempt,
    dialect: CallHeaderNames,
    callingService: ServiceName?,
    traceparent: String?,
): RequestHead {
    val resume = start.resume
    val target = start.target
    val dropped = listOfNotNull(
        dialect.deadlineHeader,
        dialect.expectedInstanceHeader,
        dialect.callingServiceHeader.takeIf { call.kind == HopKind.CALLING },
        TRACEPARENT.takeIf { traceparent != null },
        "Range".takeIf { resume != null },
        "If-Range".takeIf { resume != null },
    )
    val added = mutableListOf<Header>()
    start.remainingMillis?.let { added += Header(dialect.deadlineHeader, it.toString()) }
    traceparent?.let { added += Header(TRACEPARENT, it) }
    resume?.let { added += listOf(Header("Range", "bytes=${it.fromByte}-"), Header("If-Range", it.strongEntityTag)) }
    when (target) {
        is AttemptTarget.RemoteNode -> {
            added += Header(ATTEMPTS_LEFT, start.attemptsLeft.toString())
            added += Header(INSTANCE, target.endpoint.instance.value)
            added += Header(FINGERPRINT, target.fingerprint.value)
            added += Header(PRIORITY, start.priority.toString())
            val name = dialect.callingServiceHeader
            // The node on which a call begins names its own service, whatever the caller wrote.
            if (name != null && callingService != null) added += Header(name, callingService.value)
        }
        is AttemptTarget.LocalUpstream -> {
            if (dialect.passesAttempts) added += Header(ATTEMPTS_LEFT, start.attemptsLeft.toString())
            dialect.expectedInstanceHeader?.let { added += Header(it, target.upstream.instance.value) }
        }
    }
    val framing = call.body.framing
    val announced = framing != BodyFraming.Sized(0) || call.head.headers["Content-Length"] != null
    if (announced) added += framingHeader(framing)
    val passed = call.head.headers.endToEnd(*dropped.toTypedArray())
    return RequestHead(call.head.method, call.head.target, Headers(passed + added))
}

/** Head of an answer that is passed on. */
internal fun passedHead(
    exchange: Exchange,
    outcome: Outcome,
    load: ReportedLoad?,
    closing: List<Header>,
): ResponseHead {
    val head = exchange.head
    // The length of an answer without a body, as to HEAD, describes the body that a GET would have.
    val bodiless = exchange.framing == BodyFraming.Sized(0)
    val framing = if (bodiless) {
        head.headers["Content-Length"]?.let { Header("Content-Length", it) }
    } else {
        framingHeader(exchange.framing.passedOn())
    }
    val added = listOfNotNull(framing, Header(OUTCOME, outcome.text), load?.let { Header(LOAD, it.toString()) })
    return ResponseHead(head.statusCode, head.reason, Headers(head.headers.endToEnd() + added + closing))
}

/** The header that announces the end of the connection, if the caller asked for it or the node stops. */
internal fun TrafficContext.closing(call: IncomingCall): List<Header> {
    val ends = draining || call.head.headers.hasToken("Connection", "close")
    return if (ends) listOf(Header("Connection", "close")) else emptyList()
}
