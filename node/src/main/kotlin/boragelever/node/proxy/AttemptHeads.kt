package boragelever.node.proxy

import boragelever.core.NetworkAddress
import boragelever.core.ServiceName
import boragelever.core.call.AttemptTarget
import boragelever.core.call.CallEffect
import boragelever.core.call.CallHeaderNames
import boragelever.core.call.Outcome

/** Address of the node or the upstream that an attempt is sent to. */
internal val AttemptTarget.address: NetworkAddress
    get() = when (this) {
        is AttemptTarget.RemoteNode -> endpoint.callAddress
        is AttemptTarget.LocalUpstream -> upstream.address
    }

/**
 * Builds the request head of one attempt.
 *
 * @param callingService service of this node's host, which a first hop sends if a header for it is configured.
 * @param traceparent W3C `traceparent` to send, or `null` to forward the received one.
 */
internal fun attemptRequestHead(
    call: IncomingCall,
    start: CallEffect.StartAttempt,
    headerNames: CallHeaderNames,
    callingService: ServiceName?,
    traceparent: String?,
): RequestHead {
    val resume = start.resume
    val target = start.target
    val excludedNames = listOfNotNull(
        headerNames.deadlineHeader,
        headerNames.expectedInstanceHeader,
        headerNames.callingServiceHeader.takeIf { call.kind == HopKind.CALLING },
        TRACEPARENT_HEADER.takeIf { traceparent != null },
        "Range".takeIf { resume != null },
        "If-Range".takeIf { resume != null },
    )
    val addedHeaders = mutableListOf<Header>()
    start.remainingMillis?.let { addedHeaders += Header(headerNames.deadlineHeader, it.toString()) }
    traceparent?.let { addedHeaders += Header(TRACEPARENT_HEADER, it) }
    resume?.let {
        addedHeaders +=
            listOf(Header("Range", "bytes=${it.fromByte}-"), Header("If-Range", it.strongEntityTag))
    }
    when (target) {
        is AttemptTarget.RemoteNode -> {
            addedHeaders += Header(ATTEMPTS_LEFT_HEADER, start.attemptsLeft.toString())
            addedHeaders += Header(INSTANCE_HEADER, target.endpoint.instance.value)
            addedHeaders += Header(FINGERPRINT_HEADER, target.fingerprint.value)
            addedHeaders += Header(PRIORITY_HEADER, start.priority.toString())
            val name = headerNames.callingServiceHeader
            // The first hop sets the service of its host, whatever value the caller sent.
            if (name != null && callingService != null) addedHeaders += Header(name, callingService.value)
        }
        is AttemptTarget.LocalUpstream -> {
            if (headerNames.passesAttempts) addedHeaders += Header(ATTEMPTS_LEFT_HEADER, start.attemptsLeft.toString())
            headerNames.expectedInstanceHeader?.let { addedHeaders += Header(it, target.upstream.instance.value) }
        }
    }
    val framing = call.body.framing
    val hasBodyHeaders = framing != BodyFraming.Sized(0) || call.head.headers["Content-Length"] != null
    if (hasBodyHeaders) addedHeaders += framingHeader(framing)
    val forwardedHeaders = call.head.headers.endToEnd(*excludedNames.toTypedArray())
    return RequestHead(call.head.method, call.head.target, Headers(forwardedHeaders + addedHeaders))
}

/**
 * Builds the head of a forwarded response.
 *
 * @param load load of the local upstream, or `null` if the response came from another node.
 * @param closeHeaders result of [TrafficContext.closeHeaders].
 */
internal fun forwardedResponseHead(
    exchange: Exchange,
    outcome: Outcome,
    load: ReportedLoad?,
    closeHeaders: List<Header>,
): ResponseHead {
    val head = exchange.head
    // A response without a body, as to HEAD, states the length of the body that a GET would have.
    val hasNoBody = exchange.framing == BodyFraming.Sized(0)
    val framing = if (hasNoBody) {
        head.headers["Content-Length"]?.let { Header("Content-Length", it) }
    } else {
        framingHeader(exchange.framing.forwardedFraming())
    }
    val addedHeaders = listOfNotNull(
        framing,
        Header(OUTCOME_HEADER, outcome.text),
        load?.let { Header(LOAD_HEADER, it.toString()) },
    )
    return ResponseHead(head.statusCode, head.reason, Headers(head.headers.endToEnd() + addedHeaders + closeHeaders))
}

/** Returns `Connection: close` if the caller asked for it or the node is draining, else no header. */
internal fun TrafficContext.closeHeaders(call: IncomingCall): List<Header> {
    val closesConnection = draining || call.head.headers.hasToken("Connection", "close")
    return if (closesConnection) listOf(Header("Connection", "close")) else emptyList()
}
