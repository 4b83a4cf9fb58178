package boragelever.core.call

import boragelever.core.Digest
import boragelever.core.Fingerprint
import boragelever.core.IdempotencyKey
import boragelever.core.RouteName
import boragelever.core.ServiceName
import boragelever.core.routing.RouteMatchInput
import boragelever.core.sha256
import boragelever.core.store.RowKey

/** Request of a caller as known to the first hop before it is sent to an upstream. */
public data class CallRequest(
    public val method: String,
    /** Request target as sent by the caller: path and query. */
    public val target: String,
    /** Host without port, or `null` if the request has none. */
    public val host: String? = null,
    public val key: IdempotencyKey? = null,
    public val body: RequestBody = RequestBody.Buffered(0, null),
    /** Remaining attempts of the call chain, or `null` if this call starts a chain. */
    public val attemptsLeft: Int? = null,
    /** Remaining time of the call chain in milliseconds, or `null` if the caller set no deadline. */
    public val remainingMillis: Long? = null,
    /** True if the request has a `Range` header; its response is never resumed. */
    public val hasRange: Boolean = false,
) {
    /** The parts that determine the route. */
    public val matchInput: RouteMatchInput get() = RouteMatchInput(method, host, target.substringBefore('?'))
}

/** Whether the body of a request can be sent more than once. */
public sealed interface RequestBody {
    /** The complete body is in memory and can be sent again; [digest] is `null` if it is empty. */
    public data class Buffered(public val sizeBytes: Int, public val digest: Digest?) : RequestBody

    /** The body is streamed and can be sent only once; [sizeBytes] is `null` if it is chunked. */
    public data class Streamed(public val sizeBytes: Long?) : RequestBody
}

/**
 * Returns a fingerprint that identifies [request] on all nodes by its key, or else by caller, host, method, target and
 * body.
 *
 * @param caller service that sent the request, or `null` if it is not known.
 */
public fun fingerprintOf(request: CallRequest, caller: ServiceName? = null): Fingerprint {
    val key = request.key
    val parts = if (key != null) {
        listOf("key", key.value)
    } else {
        listOf("request", caller?.value.orEmpty(), request.host?.lowercase().orEmpty()) + identityOf(request)
    }
    return Fingerprint(sha256(parts).value)
}

/** Returns the digest that a client retry with the same key must match. */
public fun requestDigestOf(request: CallRequest): Digest = sha256(identityOf(request))

/** Returns the key of the row that reserves the only execution of a call with [key] on [route]. */
public fun claimRow(key: IdempotencyKey, route: RouteName): RowKey =
    RowKey("claim/" + sha256(listOf(key.value, route.value)).value)

private fun identityOf(request: CallRequest): List<String> =
    listOf(request.method, request.target) + when (val body = request.body) {
        is RequestBody.Buffered -> listOf("held", body.digest?.value.orEmpty())
        is RequestBody.Streamed -> listOf("streamed", body.sizeBytes?.toString().orEmpty())
    }
