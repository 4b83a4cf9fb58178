package boragelever.node

import boragelever.core.control.Event
import boragelever.node.proxy.LocalHttpRequest
import boragelever.node.proxy.LocalHttpResponse
import boragelever.node.proxy.LocalRequestHandler
import boragelever.platform.LocalRequest
import boragelever.platform.decodeLocalRequest
import io.github.oshai.kotlinlogging.KotlinLogging

private val log = KotlinLogging.logger {}
private const val OK = 200
private const val BAD_REQUEST = 400
private const val NOT_FOUND = 404
private const val UNAVAILABLE = 503

/** Answers the platform and the upstream beside the node; an announcement is acknowledged once it is in force. */
internal class LocalRequests(
    private val settings: NodeSettings,
    private val notReadyReason: () -> String?,
    private val submit: suspend (UnstampedEvent) -> Unit,
) : LocalRequestHandler {
    override suspend fun handle(httpRequest: LocalHttpRequest): LocalHttpResponse =
        when (val request = decodeLocalRequest(httpRequest.method, httpRequest.path, httpRequest.body)) {
            is LocalRequest.Readiness -> LocalHttpResponse(if (notReadyReason() == null) OK else UNAVAILABLE)
            is LocalRequest.Heartbeat -> {
                val ttlMillis = settings.heartbeatMillis * HEARTBEATS_MISSED
                submit { Event.UpstreamAnnounced(it, request.upstream, ttlMillis, request.order) }
                LocalHttpResponse(OK, "{}")
            }
            is LocalRequest.Deregistration -> {
                submit { Event.UpstreamWithdrawn(it, request.instance) }
                LocalHttpResponse(OK, "{}")
            }
            is LocalRequest.Unreadable -> {
                log.warn { "[upstream] a heartbeat is ignored: ${request.problem}" }
                LocalHttpResponse(BAD_REQUEST)
            }
            is LocalRequest.Unknown -> LocalHttpResponse(NOT_FOUND)
        }
}
