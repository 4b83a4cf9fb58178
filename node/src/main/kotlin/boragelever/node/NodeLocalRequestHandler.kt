package boragelever.node

import boragelever.core.control.Event
import boragelever.core.control.UpstreamState
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

/**
 * Handles requests of the platform and the local upstream.
 *
 * Responds to a heartbeat after its event is reduced, and to an upstream that leaves once that is acknowledged.
 */
internal class NodeLocalRequestHandler(
    private val settings: NodeSettings,
    private val notReadyReason: () -> String?,
    private val leaveAcknowledgements: LeaveAcknowledgements,
    private val submit: suspend (EventFactory) -> Unit,
) : LocalRequestHandler {
    override suspend fun handle(httpRequest: LocalHttpRequest): LocalHttpResponse =
        when (val request = decodeLocalRequest(httpRequest.method, httpRequest.path, httpRequest.body)) {
            is LocalRequest.Readiness -> LocalHttpResponse(if (notReadyReason() == null) OK else UNAVAILABLE)
            is LocalRequest.Heartbeat -> {
                register(request)
                LocalHttpResponse(OK, "{}")
            }
            is LocalRequest.Deregistration -> {
                leaveAcknowledgements.awaitAfter(request.instance) {
                    submit { Event.UpstreamDeregistered(it, request.instance, request.startedEpochMillis) }
                }
                LocalHttpResponse(OK, "{}")
            }
            is LocalRequest.Malformed -> {
                log.warn { "[upstream] malformed heartbeat refused with status 400: ${request.problem}" }
                LocalHttpResponse(BAD_REQUEST)
            }
            is LocalRequest.Unknown -> LocalHttpResponse(NOT_FOUND)
        }

    private suspend fun register(request: LocalRequest.Heartbeat) {
        val ttlMillis = settings.heartbeatMillis * MAX_MISSED_HEARTBEATS
        val upstream = request.upstream
        val announce: suspend () -> Unit = {
            submit { Event.UpstreamRegistered(it, upstream, ttlMillis, request.order) }
        }
        when (upstream.state) {
            UpstreamState.DRAINING -> leaveAcknowledgements.awaitAfter(upstream.instance, announce)
            UpstreamState.STARTING, UpstreamState.SERVING -> announce()
        }
    }
}
