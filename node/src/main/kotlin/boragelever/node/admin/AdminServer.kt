package boragelever.node.admin

import boragelever.core.InstanceId
import boragelever.core.control.Event
import boragelever.node.UnstampedEvent
import com.github.michaelbull.result.fold
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.cio.CIO
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.embeddedServer
import io.ktor.server.request.receiveChannel
import io.ktor.server.response.respondText
import io.ktor.server.routing.Routing
import io.ktor.server.routing.delete
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.routing
import io.ktor.utils.io.readRemaining
import kotlinx.io.readByteArray
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonNamingStrategy

private const val MAX_BODY_BYTES = 16_384L
private const val STOP_GRACE_MILLIS = 0L
private const val STOP_TIMEOUT_MILLIS = 100L

/** What the admin port shows and changes. */
public interface AdminBackend {
    /** Hands an upstream's message to the control state. */
    public suspend fun submit(event: UnstampedEvent)

    /** Returns the status as of now. */
    public fun status(): NodeStatus

    /** Returns `null` if the node is ready, else what is missing. */
    public fun notReadyReason(): String?

    /** Returns the metrics in the Prometheus text format. */
    public fun metrics(): String
}

/** JSON of the admin port: snake_case names, absent values as `null`. */
@OptIn(ExperimentalSerializationApi::class)
public val adminJson: Json =
    Json {
        namingStrategy = JsonNamingStrategy.SnakeCase
        encodeDefaults = true
        prettyPrint = true
        prettyPrintIndent = "  "
        ignoreUnknownKeys = true
    }

@Serializable
private class ErrorReply(val field: String, val problem: String, val remedy: String)

/** HTTP server for upstreams beside the node and for operators. */
public class AdminServer(host: String, port: Int, private val backend: AdminBackend) {
    private val server: EmbeddedServer<*, *> =
        embeddedServer(CIO, port = port, host = host) {
            routing {
                upstreamRoutes()
                operatorRoutes()
            }
        }

    @Volatile
    private var started = false

    /** Opens the port and returns its number. Fails with an exception if the port is taken. */
    public suspend fun start(): Int {
        server.startSuspend(wait = false)
        started = true
        return server.engine.resolvedConnectors().first().port
    }

    /** Frees the port. */
    public fun close() {
        // Ktor opens the port of a server that is stopped before it was started.
        if (started) server.stop(STOP_GRACE_MILLIS, STOP_TIMEOUT_MILLIS)
    }

    private fun Routing.upstreamRoutes() {
        post("/v1/upstreams") {
            val body = call.receiveChannel().readRemaining(MAX_BODY_BYTES).readByteArray().decodeToString()
            decodeUpstreamRequest(body).fold(
                success = { request ->
                    backend.submit { Event.UpstreamRegistered(it, request.upstream, request.ttlMillis) }
                    call.respondText("", status = HttpStatusCode.NoContent)
                },
                failure = { call.respondError(it) },
            )
        }
        delete("/v1/upstreams/{instance}") {
            val instance = InstanceId(call.parameters["instance"].orEmpty())
            backend.submit { Event.UpstreamDeregistered(it, instance) }
            call.respondText("", status = HttpStatusCode.NoContent)
        }
    }

    private fun Routing.operatorRoutes() {
        get("/healthz") { call.respondText("ok\n") }
        get("/readyz") {
            val missing = backend.notReadyReason()
            if (missing == null) {
                call.respondText("ready\n")
            } else {
                call.respondText("not ready: $missing\n", status = HttpStatusCode.ServiceUnavailable)
            }
        }
        get("/status") {
            val text = adminJson.encodeToString(NodeStatus.serializer(), backend.status())
            call.respondText(text + "\n", ContentType.Application.Json)
        }
        get("/metrics") {
            call.respondText(backend.metrics(), ContentType.parse("text/plain; version=0.0.4; charset=utf-8"))
        }
    }
}

private suspend fun ApplicationCall.respondError(error: FieldError) {
    val reply = ErrorReply(error.field, error.problem, error.remedy)
    val text = adminJson.encodeToString(ErrorReply.serializer(), reply)
    respondText(text + "\n", ContentType.Application.Json, HttpStatusCode.BadRequest)
}
