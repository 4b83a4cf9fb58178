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

/** Answers the platform and the upstream beside the node; an announcement is acknowledged once it is in force. */
internal class LocalRequests(
    private val settings: NodeSettings,
    private val notReadyReason: () -> String?,
    private val submit: suspend (UnstampedEvent) -> Unit,
) : LocalHandler {
    override suspend fun handle(call: LocalCall): LocalReply =
        when (val request = decodeLocalRequest(call.method, call.path, call.body)) {
            is LocalRequest.Readiness -> LocalReply(if (notReadyReason() == null) OK else UNAVAILABLE)
            is LocalRequest.Heartbeat -> {
                val ttlMillis = settings.heartbeatMillis * HEARTBEATS_MISSED
                submit { Event.UpstreamRegistered(it, request.upstream, ttlMillis, request.order) }
                LocalReply(OK, "{}")
            }
            is LocalRequest.Deregistration -> {
                submit { Event.UpstreamDeregistered(it, request.instance) }
                LocalReply(OK, "{}")
            }
            is LocalRequest.Unreadable -> {
                log.warn { "[upstream] a heartbeat is ignored: ${request.problem}" }
                LocalReply(BAD_REQUEST)
            }
            is LocalRequest.Unknown -> LocalReply(NOT_FOUND)
        }
}
