package boragelever.node.proxy

import boragelever.core.Fingerprint
import boragelever.core.IdempotencyKey
import boragelever.core.InstanceId
import boragelever.core.call.CallHeaderNames
import boragelever.core.call.CallRequest
import boragelever.core.call.CallState
import boragelever.core.call.LastHopRequest
import boragelever.node.net.SocketInput

/** A call of a caller or another node whose request head has been read, with its connection. */
internal class IncomingCall(
    val kind: HopKind,
    val head: RequestHead,
    val body: CallBody,
    val bodyReader: BodyReader,
    val response: ResponseWriter,
    val input: SocketInput,
)

/** Initial state for the call reducer. */
internal fun IncomingCall.initialState(headerNames: CallHeaderNames): CallState =
    when (kind) {
        HopKind.CALLING -> CallState.FirstHop(callRequestOf(head, body, headerNames))
        HopKind.LAST -> CallState.LastHop(hopRequestOf(head, headerNames))
    }

private fun callRequestOf(head: RequestHead, body: CallBody, headerNames: CallHeaderNames): CallRequest =
    CallRequest(
        method = head.method,
        target = head.target,
        host = head.headers["Host"]?.let { hostWithoutPort(it) },
        key = head.headers[IDEMPOTENCY_KEY_HEADER]?.takeIf { it.isNotBlank() }?.let { IdempotencyKey(it) },
        body = body.toRequestBody(),
        // A caller that is itself an upstream passes on the limit of its own call, which can only be lower.
        attemptsLeft = head.headers[ATTEMPTS_LEFT_HEADER]?.toIntOrNull(),
        remainingMillis = head.headers[headerNames.deadlineHeader]?.toLongOrNull(),
        hasRange = head.headers["Range"] != null,
    )

private fun hopRequestOf(head: RequestHead, headerNames: CallHeaderNames): LastHopRequest =
    LastHopRequest(
        instance = InstanceId(head.headers[INSTANCE_HEADER].orEmpty()),
        fingerprint = head.headers[FINGERPRINT_HEADER]?.let { Fingerprint(it) },
        attemptsLeft = head.headers[ATTEMPTS_LEFT_HEADER]?.toIntOrNull() ?: 1,
        priority = head.headers[PRIORITY_HEADER]?.toIntOrNull() ?: 0,
        remainingMillis = head.headers[headerNames.deadlineHeader]?.toLongOrNull(),
    )

private fun hostWithoutPort(host: String): String {
    val end = host.lastIndexOf(':')
    return if (end > host.lastIndexOf(']')) host.substring(0, end) else host
}
