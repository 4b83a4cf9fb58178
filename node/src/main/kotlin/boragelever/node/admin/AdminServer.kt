package boragelever.node.admin

import boragelever.core.InstanceId
import boragelever.core.control.Event
import boragelever.node.EventFactory
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

/** Operations of the node that the admin server exposes. */
public interface AdminBackend {
    /** Submits an event of an upstream to the control state. */
    public suspend fun submit(event: EventFactory)

    /** Returns the current status. */
    public fun status(): NodeStatus

    /** Returns why the node is not ready, or `null` if it is ready. */
    public fun notReadyReason(): String?

    /** Returns the metrics in the Prometheus text format. */
    public fun metrics(): String
}

/** JSON format of the admin server: snake_case names, absent values as `null`. */
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
private class ErrorResponse(val field: String, val problem: String, val remedy: String)

/** HTTP server of the admin port, for operators and for local upstreams. */
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

    /** Opens the port and returns its number. Throws an exception if the port is in use. */
    public suspend fun start(): Int {
        server.startSuspend(wait = false)
        started = true
        return server.engine.resolvedConnectors().first().port
    }

    /** Stops the server and closes the port. */
    public fun close() {
        // Stopping a Ktor server that was never started would open its port.
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
            val reason = backend.notReadyReason()
            if (reason == null) {
                call.respondText("ready\n")
            } else {
                call.respondText("not ready: $reason\n", status = HttpStatusCode.ServiceUnavailable)
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
    val response = ErrorResponse(error.field, error.problem, error.remedy)
    val text = adminJson.encodeToString(ErrorResponse.serializer(), response)
    respondText(text + "\n", ContentType.Application.Json, HttpStatusCode.BadRequest)
}
