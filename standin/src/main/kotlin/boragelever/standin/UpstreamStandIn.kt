package boragelever.standin

import boragelever.core.IdempotencyKey
import boragelever.core.InstanceId
import boragelever.core.NetworkAddress
import boragelever.core.ServiceName
import boragelever.core.control.UpstreamRecord
import boragelever.core.control.UpstreamState
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.cio.CIO
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.embeddedServer
import io.ktor.server.request.httpMethod
import io.ktor.server.request.receiveChannel
import io.ktor.server.request.uri
import io.ktor.server.response.header
import io.ktor.server.response.respond
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.RoutingCall
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.route
import io.ktor.server.routing.routing
import io.ktor.utils.io.discard
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.Serializable
import java.util.concurrent.atomic.AtomicReference

/**
 * Starts an upstream stand-in on [port] of [host]; port 0 picks a free one.
 *
 * @param admin admin address of the co-located node, or `null` to register with no node.
 * @param onRun callback for each request before it runs, on the thread that runs it.
 */
public fun UpstreamStandIn(
    settings: UpstreamSettings,
    admin: NetworkAddress? = null,
    host: String = "127.0.0.1",
    port: Int = 0,
    onRun: (UpstreamRequest) -> Unit = {},
): UpstreamStandIn = UpstreamStandIn(settings, admin, host to port, onRun)

/** Stand-in for an upstream: an HTTP server that counts the requests that it runs and can inject faults. */
public class UpstreamStandIn internal constructor(
    private val settings: UpstreamSettings,
    admin: NetworkAddress?,
    listen: Pair<String, Int>,
    private val onRun: (UpstreamRequest) -> Unit,
) : AutoCloseable {
    private val initialState = if (settings.coldStartMillis > 0) UpstreamState.STARTING else UpstreamState.SERVING
    private val state = AtomicReference(UpstreamStandInState(settings, registeredState = initialState))
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.IO)

    @Volatile
    private var server: EmbeddedServer<*, *> = start(listen.first, listen.second)

    /** Address on which the stand-in listens; unchanged by a crash. */
    public val address: NetworkAddress =
        runBlocking { server.engine.resolvedConnectors().first() }.let { NetworkAddress("${it.host}:${it.port}") }

    private val registrar = admin?.let { UpstreamRegistrar(it, ::record) }

    init {
        registrar?.let { scope.launch { it.run() } }
        scope.launch {
            delay(settings.coldStartMillis)
            if (current.registeredState == UpstreamState.STARTING) changeState(UpstreamState.SERVING)
        }
    }

    /** Snapshot of the current state. */
    public val current: UpstreamStandInState get() = state.get()

    /** Sets the behaviour for subsequent requests. */
    public fun setMode(mode: UpstreamMode) {
        submit(UpstreamEvent.ModeSet(mode))
    }

    /** Registers the instance as draining; it still serves requests that arrive. */
    public suspend fun drain() {
        changeState(UpstreamState.DRAINING)
    }

    /**
     * Stops the instance without deregistering it.
     *
     * Restarts it on the same port after [UpstreamSettings.restartDelayMillis], unless that is 0.
     */
    public suspend fun crash() {
        server.stop(0, 0)
        if (settings.restartDelayMillis > 0) {
            delay(settings.restartDelayMillis)
            submit(UpstreamEvent.Restarted)
            server = start(address.value.substringBeforeLast(':'), address.value.substringAfterLast(':').toInt())
        }
    }

    /** Deregisters the upstream and stops the server. */
    override fun close() {
        scope.cancel()
        runBlocking { registrar?.deregister() }
        server.stop(0, STOP_TIMEOUT_MILLIS)
    }

    private fun record(): UpstreamRecord =
        UpstreamRecord(
            service = settings.service,
            instance = settings.instance,
            address = address,
            slots = settings.slots,
            connections = settings.connections,
            state = current.registeredState,
        )

    private suspend fun changeState(next: UpstreamState) {
        submit(UpstreamEvent.StateChanged(next))
        registrar?.register()
    }

    private fun submit(event: UpstreamEvent): UpstreamReply {
        while (true) {
            val before = state.get()
            val step = reduceUpstream(before, event)
            if (state.compareAndSet(before, step.state)) return step.reply
        }
    }

    private fun start(host: String, port: Int): EmbeddedServer<*, *> =
        embeddedServer(CIO, port = port, host = host) {
            routing {
                adminRoutes()
                route("{...}") { handle { call.serve() } }
            }
        }.start(wait = false)

    private fun Route.adminRoutes() {
        get(HEALTH_PATH) {
            val healthy = current.mode !is UpstreamMode.Hang
            call.respond(if (healthy) HttpStatusCode.OK else HttpStatusCode.ServiceUnavailable)
        }
        get(LOAD_PATH) {
            val reported = (current.mode as? UpstreamMode.Lie)?.loadPercent
            val load = reported ?: (current.running * PERCENT / settings.slots)
            call.respondJson(LoadReport.serializer(), LoadReport(settings.service, settings.instance, load))
        }
        post(MODE_PATH) {
            call.receiveJson(UpstreamMode.serializer())?.let {
                setMode(it)
                call.respondJson(UpstreamMode.serializer(), it)
            }
        }
        get(COUNTS_PATH) { call.respondJson(UpstreamCounts.serializer(), current.counts) }
        post(DRAIN_PATH) {
            drain()
            call.respond(HttpStatusCode.NoContent)
        }
    }

    private suspend fun RoutingCall.serve() {
        receiveChannel().discard()
        val request = toUpstreamRequest()
        val reply = submit(UpstreamEvent.RequestArrived(request, System.nanoTime() / NANOS_PER_MILLI))
        if (reply is UpstreamReply.Run || reply is UpstreamReply.Hang || reply is UpstreamReply.Crash) onRun(request)
        when (reply) {
            is UpstreamReply.Run -> reportingEnd { send(reply) }
            is UpstreamReply.Hang -> reportingEnd { awaitCancellation() }
            is UpstreamReply.Shed -> respondText("all slots are in use", status = HttpStatusCode.ServiceUnavailable)
            is UpstreamReply.BreakConnection -> respond(BrokenContent)
            is UpstreamReply.Crash -> {
                scope.launch { crash() }
                awaitCancellation()
            }
            is UpstreamReply.None -> respond(HttpStatusCode.InternalServerError)
        }
    }

    private inline fun reportingEnd(run: () -> Unit) {
        try {
            run()
        } finally {
            submit(UpstreamEvent.RequestEnded)
        }
    }

    private suspend fun RoutingCall.send(reply: UpstreamReply.Run) {
        delay(reply.delayMillis)
        response.header(LOAD_HEADER, reply.loadPercent.toString())
        when (val body = reply.body) {
            is UpstreamBody.Echo -> respond(UpstreamContent(HttpStatusCode.OK, body.encode(), reply.stallAfterBytes))
            is UpstreamBody.Download -> {
                val status = if (body.isPartial) HttpStatusCode.PartialContent else HttpStatusCode.OK
                response.header(HttpHeaders.ETag, body.entityTag)
                response.header(HttpHeaders.AcceptRanges, "bytes")
                if (body.isPartial) {
                    response.header(HttpHeaders.ContentRange, "bytes ${body.first}-${body.last}/${body.sizeBytes}")
                }
                respond(UpstreamContent(status, body.bytes(), reply.stallAfterBytes))
            }
        }
    }

    private fun RoutingCall.toUpstreamRequest(): UpstreamRequest =
        UpstreamRequest(
            method = request.httpMethod.value,
            path = request.uri,
            idempotencyKey = request.headers["Idempotency-Key"]?.let(::IdempotencyKey),
            causesCrash = CRASH_HEADER in request.headers,
            range = request.headers[HttpHeaders.Range],
            ifRange = request.headers[HttpHeaders.IfRange],
            requestId = request.headers[HttpHeaders.XRequestId],
        )

    public companion object {
        /** Path of the health report. */
        public const val HEALTH_PATH: String = "/standin/health"

        /** Path of the load report. */
        public const val LOAD_PATH: String = "/standin/load"

        /** Path of the mode; `POST` replaces it. */
        public const val MODE_PATH: String = "/standin/mode"

        /** Path of the counters. */
        public const val COUNTS_PATH: String = "/standin/counts"

        /** Path that registers the instance as draining. */
        public const val DRAIN_PATH: String = "/standin/drain"

        private const val STOP_TIMEOUT_MILLIS = 200L
        private const val NANOS_PER_MILLI = 1_000_000L
        private const val PERCENT = 100
    }
}

/** Body of [UpstreamStandIn.LOAD_PATH]. */
@Serializable
public data class LoadReport(
    public val service: ServiceName,
    public val instance: InstanceId,
    public val loadPercent: Int,
)
