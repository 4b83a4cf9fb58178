package boragelever.core.call

import boragelever.core.Digest
import boragelever.core.Fingerprint
import boragelever.core.IdempotencyKey
import boragelever.core.RouteName
import boragelever.core.routing.RouteMatchInput
import boragelever.core.sha256
import boragelever.core.store.RowKey

/** What the calling node knows about a request before it dispatches it. */
public data class CallRequest(
    public val method: String,
    /** Path with query, as sent by the caller. */
    public val target: String,
    /** Host without port, or `null`. */
    public val host: String? = null,
    public val key: IdempotencyKey? = null,
    public val body: RequestBody = RequestBody.Buffered(0, null),
    /** Attempts that the call chain still allows, or `null` if this call begins a chain. */
    public val attemptsLeft: Int? = null,
    /** Time that the call chain still allows in milliseconds, or `null` if the caller set no deadline. */
    public val remainingMillis: Long? = null,
    /** True if the request has a `Range` header, whose answer is never resumed. */
    public val hasRange: Boolean = false,
) {
    /** The parts that decide the route. */
    public val matchInput: RouteMatchInput get() = RouteMatchInput(method, host, target.substringBefore('?'))
}

/** How the body of a request can be sent. */
public sealed interface RequestBody {
    /** The whole body is held in memory and can be sent again; [digest] is `null` if it is empty. */
    public data class Buffered(public val sizeBytes: Int, public val digest: Digest?) : RequestBody

    /** The body is passed through once; [sizeBytes] is `null` for chunked bodies. */
    public data class Streamed(public val sizeBytes: Long?) : RequestBody
}

/** Identifies [request] across callers: by its key, else by method, path and body. */
public fun fingerprintOf(request: CallRequest): Fingerprint {
    val key = request.key
    val parts = if (key != null) listOf("key", key.value) else listOf("request") + identityOf(request)
    return Fingerprint(sha256(parts).value)
}

/** Digest that a repeat with the same key must have. */
public fun requestDigestOf(request: CallRequest): Digest = sha256(identityOf(request))

/** Key of the row that reserves the single run of a call with [key] on [route]. */
public fun claimRow(key: IdempotencyKey, route: RouteName): RowKey =
    RowKey("claim/" + sha256(listOf(key.value, route.value)).value)

private fun identityOf(request: CallRequest): List<String> =
    listOf(request.method, request.target) + when (val body = request.body) {
        is RequestBody.Buffered -> listOf("held", body.digest?.value.orEmpty())
        is RequestBody.Streamed -> listOf("streamed", body.sizeBytes?.toString().orEmpty())
    }
