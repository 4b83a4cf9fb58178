package boragelever.node.proxy

import boragelever.core.call.Outcome
import boragelever.core.call.Refusal
import boragelever.core.call.RefusalReason
import boragelever.core.store.RecordedResponse
import java.io.IOException
import kotlin.math.ceil

private const val CONFLICT = 409

/** Value of `Retry-After`: the usual duration of a call, after which a refused call may find a free slot. */
private const val RETRY_AFTER_MILLIS = 200L
private const val MILLIS_PER_SECOND = 1_000.0

/** Sends responses that the node creates itself: refusals and recorded responses. */
internal class LocalResponses(private val context: TrafficContext, private val call: IncomingCall) {
    /** Responds with [refusal]; [load] is the load of the local upstream, or `null` if the call did not address one. */
    suspend fun refuse(refusal: Refusal, load: ReportedLoad?) {
        val text = refusalText(refusal).encodeToByteArray()
        val extraHeaders = listOfNotNull(load?.let { Header(LOAD_HEADER, it.toString()) }, retryAfter(refusal))
        write(refusalHead(refusal, text.size, extraHeaders + context.closeHeaders(call)), text)
    }

    private fun retryAfter(refusal: Refusal): Header? {
        if (refusal.outcome != Outcome.NOT_RUN || refusal.statusCode != SERVICE_UNAVAILABLE) return null
        val seconds = if (context.settings.headerNames.hasFractionalRetryAfter) {
            (RETRY_AFTER_MILLIS / MILLIS_PER_SECOND).toString()
        } else {
            ceil(RETRY_AFTER_MILLIS / MILLIS_PER_SECOND).toLong().toString()
        }
        return Header("Retry-After", seconds)
    }

    /** Responds with a recorded response, or with 409 `completed` if its body was not recorded or cannot be read. */
    suspend fun replay(response: RecordedResponse) {
        val body = response.body?.let { context.claims.readBody(it) }
        val bytes = body ?: ByteArray(0).takeIf { response.bodySizeBytes == 0L }
        if (bytes == null) {
            val refusal = Refusal(CONFLICT, Outcome.COMPLETED, RefusalReason.RESPONSE_NOT_RECORDED)
            val text = refusalText(refusal).encodeToByteArray()
            val statusHeader = Header(RECORDED_STATUS_HEADER, response.statusCode.toString())
            write(refusalHead(refusal, text.size, listOf(statusHeader) + context.closeHeaders(call)), text)
            return
        }
        val headers = listOfNotNull(
            response.contentType?.let { Header("Content-Type", it) },
            Header("Content-Length", bytes.size.toString()),
            Header(OUTCOME_HEADER, Outcome.COMPLETED.text),
            Header(RECORDED_STATUS_HEADER, response.statusCode.toString()),
        )
        val head = ResponseHead(
            response.statusCode,
            reasonPhrase(response.statusCode),
            Headers(headers + context.closeHeaders(call)),
        )
        write(head, bytes)
    }

    private suspend fun write(head: ResponseHead, bytes: ByteArray) {
        val body = if (call.head.method == "HEAD") ByteArray(0) else bytes
        try {
            call.response.writeAll(head, body)
        } catch (failure: IOException) {
            call.response.abort()
        }
    }
}
