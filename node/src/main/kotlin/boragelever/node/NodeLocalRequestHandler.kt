package boragelever.node

import boragelever.core.control.Event
import boragelever.node.proxy.LocalCall
import boragelever.node.proxy.LocalHandler
import boragelever.node.proxy.LocalReply
import boragelever.platform.LocalRequest
import boragelever.platform.decodeLocalRequest
import io.github.oshai.kotlinlogging.KotlinLogging

private val log = KotlinLogging.logger {}
private const val OK = 200
private const val BAD_REQUEST = 400
private const val NOT_FOUND = 404
private const val UNAVAILABLE = 503

/** Handles requests of the platform and the local upstream; responds to a heartbeat after its event is reduced. */
internal class NodeLocalRequestHandler(
    private val settings: NodeSettings,
    private val notReadyReason: () -> String?,
    private val submit: suspend (EventFactory) -> Unit,
) : LocalHandler {
    override suspend fun handle(call: LocalCall): LocalReply =
        when (val request = decodeLocalRequest(call.method, call.path, call.body)) {
            is LocalRequest.Readiness -> LocalReply(if (notReadyReason() == null) OK else UNAVAILABLE)
            is LocalRequest.Heartbeat -> {
                val ttlMillis = settings.heartbeatMillis * MAX_MISSED_HEARTBEATS
                submit { Event.UpstreamAnnounced(it, request.upstream, ttlMillis, request.order) }
                LocalReply(OK, "{}")
            }
            is LocalRequest.Deregistration -> {
                submit { Event.UpstreamWithdrawn(it, request.instance) }
                LocalReply(OK, "{}")
            }
            is LocalRequest.Malformed -> {
                log.warn { "[upstream] heartbeat rejected with status 400: ${request.problem}" }
                LocalReply(BAD_REQUEST)
            }
            is LocalRequest.Unknown -> LocalReply(NOT_FOUND)
        }
}
