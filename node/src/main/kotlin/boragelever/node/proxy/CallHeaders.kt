package boragelever.node.proxy

import boragelever.core.call.CallHeaderNames
import boragelever.core.call.ContentRange
import boragelever.core.call.Outcome
import boragelever.core.call.RefusalReason
import boragelever.core.call.ResponseInfo

internal const val INTERNAL_HEADER_PREFIX: String = "boragelever-"
internal const val OUTCOME_HEADER: String = "boragelever-outcome"
internal const val REASON_HEADER: String = "boragelever-reason"
internal const val LOAD_HEADER: String = "boragelever-load"
internal const val INSTANCE_HEADER: String = "boragelever-instance"
internal const val FINGERPRINT_HEADER: String = "boragelever-fingerprint"
internal const val PRIORITY_HEADER: String = "boragelever-priority"
internal const val ATTEMPTS_LEFT_HEADER: String = "boragelever-attempts-left"
internal const val RECORDED_STATUS_HEADER: String = "boragelever-recorded-status"
internal const val IDEMPOTENCY_KEY_HEADER: String = "Idempotency-Key"
internal const val TRACEPARENT_HEADER: String = "traceparent"

/** Headers that apply to one connection only and are never forwarded; names in lower case. */
private val HOP_BY_HOP_HEADERS = setOf(
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
)

/** Returns the headers to forward: without hop-by-hop headers, internal headers and [excluded] names. */
internal fun Headers.endToEnd(vararg excluded: String): List<Header> {
    val connectionOptions = all("Connection").flatMap { it.split(',') }.map { it.trim().lowercase() }.toSet()
    val excludedNames = excluded.map { it.lowercase() }.toSet()
    return entries.filter { header ->
        val name = header.name.lowercase()
        name !in HOP_BY_HOP_HEADERS && name !in connectionOptions && name !in excludedNames &&
            !name.startsWith(INTERNAL_HEADER_PREFIX)
    }
}

/** Returns the header that declares [framing]. */
internal fun framingHeader(framing: BodyFraming): Header =
    when (framing) {
        is BodyFraming.Sized -> Header("Content-Length", framing.bytes.toString())
        BodyFraming.Chunked, BodyFraming.UntilClose -> Header("Transfer-Encoding", "chunked")
    }

/**
 * Extracts the input of the call reducer from a response head.
 *
 * @param trusted true if the response comes from a node, whose outcome and refusal reason are believed.
 */
internal fun responseInfoOf(
    head: ResponseHead,
    framing: BodyFraming,
    trusted: Boolean,
    headerNames: CallHeaderNames,
): ResponseInfo =
    ResponseInfo(
        statusCode = head.statusCode,
        outcome = if (trusted) Outcome.parse(head.headers[OUTCOME_HEADER]) else upstreamOutcome(head, headerNames),
        refusal = if (trusted) RefusalReason.parse(head.headers[REASON_HEADER]) else null,
        strongEntityTag = head.headers["ETag"]?.takeIf { it.startsWith('"') && it.endsWith('"') && it.length > 2 },
        bodyBytes = (framing as? BodyFraming.Sized)?.bytes,
        range = head.headers["Content-Range"]?.let { parseContentRange(it) },
    )

/** Returns `NOT_RUN` if an upstream states that it has not run the request, else `null`. */
private fun upstreamOutcome(head: ResponseHead, headerNames: CallHeaderNames): Outcome? {
    val isMarked = headerNames.notRunHeader?.let { head.headers[it] } != null && head.statusCode in NOT_RUN_STATUSES
    val isMisdirected = headerNames.expectedInstanceHeader != null && head.statusCode == MISDIRECTED_REQUEST
    return Outcome.NOT_RUN.takeIf { isMarked || isMisdirected }
}

/** Returns false for a success without the upstream's signature header, if one is configured. */
internal fun hasRequiredSignature(head: ResponseHead, headerNames: CallHeaderNames): Boolean {
    val isSuccess = head.statusCode in SUCCESS_STATUSES
    return !isSuccess || headerNames.signatureHeader?.let { head.headers[it] != null } ?: true
}

private const val MISDIRECTED_REQUEST = 421
private val NOT_RUN_STATUSES = setOf(MISDIRECTED_REQUEST, 429, 503)
private val SUCCESS_STATUSES = 200..299

private val CONTENT_RANGE = Regex("bytes (\\d{1,18})-(\\d{1,18})/(\\d{1,18}|\\*)")

private fun parseContentRange(text: String): ContentRange? {
    val (first, last, total) = CONTENT_RANGE.matchEntire(text.trim())?.destructured ?: return null
    return ContentRange(first.toLong(), last.toLong(), total.toLongOrNull())
}

/** Parses the load header of an upstream, `running,waiting,slots`; returns `null` if it is absent or malformed. */
internal fun parseUpstreamLoad(text: String?): ReportedLoad? {
    val parts = text?.split(',')?.map { it.trim().toIntOrNull() ?: return null } ?: return null
    if (parts.size != UPSTREAM_LOAD_PARTS || parts.any { it < 0 } || parts[2] == 0) return null
    return ReportedLoad(parts[0] + parts[1], parts[2])
}

private const val UPSTREAM_LOAD_PARTS = 3

/** Load of an instance as stated in the responses of its node: calls in flight and slots. */
internal data class ReportedLoad(val inFlight: Int, val slots: Int) {
    override fun toString(): String = "$inFlight/$slots"
}

/** Parses the load header of a node, `inFlight/slots`; returns `null` if it is absent or malformed. */
internal fun parseLoad(text: String?): ReportedLoad? {
    val parts = text?.split('/') ?: return null
    val inFlight = parts.getOrNull(0)?.toIntOrNull() ?: return null
    val slots = parts.getOrNull(1)?.toIntOrNull() ?: return null
    return ReportedLoad(inFlight, slots).takeIf { inFlight >= 0 && slots > 0 && parts.size == 2 }
}
