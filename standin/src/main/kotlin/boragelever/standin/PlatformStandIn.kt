package boragelever.standin

import boragelever.core.NetworkAddress
import boragelever.core.store.ByteBlock
import boragelever.core.store.ObjectKey
import boragelever.core.store.StoreAnswer
import boragelever.core.store.StoreCommand
import boragelever.platform.ObjectsReply
import boragelever.platform.PlatformProtocol
import boragelever.platform.ReadRequest
import boragelever.platform.RowsReply
import boragelever.platform.ScanRequest
import boragelever.platform.TransactRequest
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.cio.CIO
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.embeddedServer
import io.ktor.server.request.receive
import io.ktor.server.request.receiveText
import io.ktor.server.response.header
import io.ktor.server.response.respond
import io.ktor.server.response.respondBytes
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.RoutingCall
import io.ktor.server.routing.delete
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.put
import io.ktor.server.routing.routing
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import java.util.concurrent.atomic.AtomicReference

/** Starts a stand-in for the platform on [port] of [host]; port 0 takes a free one. */
public fun PlatformStandIn(port: Int = 0, host: String = "127.0.0.1"): PlatformStandIn =
    PlatformStandIn(AtomicReference(PlatformState()), host, port)

/** Stand-in for the platform's table service and object store over HTTP; see `docs/platform-protocol.md`. */
public class PlatformStandIn internal constructor(
    private val state: AtomicReference<PlatformState>,
    host: String,
    port: Int,
) : AutoCloseable {
    private val server: EmbeddedServer<*, *> =
        embeddedServer(CIO, port = port, host = host) {
            routing {
                tableRoutes()
                objectRoutes()
                adminRoutes()
            }
        }.start(wait = false)

    /** Where the stand-in listens. */
    public val address: NetworkAddress =
        runBlocking { server.engine.resolvedConnectors().first() }.let { NetworkAddress("${it.host}:${it.port}") }

    /** State as of now. */
    public val current: PlatformState get() = state.get()

    /** Executes [request] as one atomic step, without HTTP. */
    public fun submit(request: PlatformRequest): PlatformReply = state.reduceWith(request)

    /** Stops listening; later connections are refused. */
    override fun close() {
        server.stop(0, STOP_TIMEOUT_MILLIS)
    }

    private fun Route.tableRoutes() {
        post(PlatformProtocol.READ_PATH) {
            call.receiveJson(ReadRequest.serializer())?.let { call.execute(StoreCommand.ReadRows(it.keys)) }
        }
        post(PlatformProtocol.SCAN_PATH) {
            call.receiveJson(ScanRequest.serializer())?.let {
                call.execute(StoreCommand.ScanRows(it.prefix, it.limit, it.after))
            }
        }
        post(PlatformProtocol.TRANSACT_PATH) {
            call.receiveJson(TransactRequest.serializer())?.let {
                call.execute(StoreCommand.Transact(it.writeId, it.conditions, it.writes))
            }
        }
    }

    private fun Route.objectRoutes() {
        get(PlatformProtocol.OBJECTS_PATH) {
            val prefix = call.request.queryParameters[PlatformProtocol.PREFIX_PARAMETER].orEmpty()
            call.execute(StoreCommand.ListObjects(prefix))
        }
        get(PlatformProtocol.OBJECT_PATH) {
            call.key()?.let { call.execute(StoreCommand.GetObject(it)) }
        }
        put(PlatformProtocol.OBJECT_PATH) {
            call.key()?.let { call.execute(StoreCommand.PutObject(it, ByteBlock(call.receive<ByteArray>()))) }
        }
        delete(PlatformProtocol.OBJECT_PATH) {
            call.key()?.let { call.execute(StoreCommand.DeleteObject(it)) }
        }
    }

    private fun Route.adminRoutes() {
        post(FAULTS_PATH) {
            call.receiveJson(PlatformFaults.serializer())?.let {
                submit(PlatformRequest.SetFaults(it))
                call.respondJson(PlatformFaults.serializer(), it)
            }
        }
        get(FAULTS_PATH) { call.respondJson(PlatformFaults.serializer(), current.faults) }
        get(COUNTS_PATH) { call.respondJson(PlatformCounts.serializer(), current.counts) }
    }

    private suspend fun RoutingCall.execute(command: StoreCommand) {
        when (val reply = submit(PlatformRequest.Execute(command))) {
            is PlatformReply.Answered -> {
                delay(reply.delayMillis)
                send(reply.answer)
            }
            is PlatformReply.Broken -> {
                delay(reply.delayMillis)
                respondText("the stand-in loses this answer on purpose", status = HttpStatusCode.BadGateway)
            }
            else -> respondText("the stand-in refuses requests", status = HttpStatusCode.ServiceUnavailable)
        }
    }

    private suspend fun RoutingCall.send(answer: StoreAnswer) {
        when (answer) {
            is StoreAnswer.RowsRead -> respondJson(RowsReply.serializer(), RowsReply(answer.rows))
            is StoreAnswer.Committed -> respondJson(RowsReply.serializer(), RowsReply(answer.rows))
            is StoreAnswer.Conflicted ->
                respondJson(RowsReply.serializer(), RowsReply(answer.rows), HttpStatusCode.Conflict)
            is StoreAnswer.ObjectsListed -> respondJson(ObjectsReply.serializer(), ObjectsReply(answer.entries))
            is StoreAnswer.ObjectRead -> {
                response.header(HttpHeaders.ETag, answer.entityTag.value)
                respondBytes(answer.bytes.toByteArray(), ContentType.Application.OctetStream)
            }
            is StoreAnswer.ObjectWritten -> {
                response.header(HttpHeaders.ETag, answer.entityTag.value)
                respond(HttpStatusCode.NoContent)
            }
            is StoreAnswer.ObjectDeleted -> respond(HttpStatusCode.NoContent)
            is StoreAnswer.ObjectMissing -> respondText("no such object", status = HttpStatusCode.NotFound)
            is StoreAnswer.DocumentRead, is StoreAnswer.StoreFailed ->
                respondText("unexpected answer", status = HttpStatusCode.InternalServerError)
        }
    }

    private suspend fun RoutingCall.key(): ObjectKey? {
        val key = request.queryParameters[PlatformProtocol.KEY_PARAMETER]
        if (key.isNullOrEmpty()) {
            respondText("the query parameter 'key' is missing", status = HttpStatusCode.BadRequest)
            return null
        }
        return ObjectKey(key)
    }

    public companion object {
        /** Path of the faults: `POST` replaces them, `GET` reads them. */
        public const val FAULTS_PATH: String = "/admin/faults"

        /** Path of the counters. */
        public const val COUNTS_PATH: String = "/admin/counts"

        private const val STOP_TIMEOUT_MILLIS = 200L
    }
}

/** Reads a JSON body; answers 400 and returns `null` if it is malformed. */
internal suspend fun <T : Any> ApplicationCall.receiveJson(serializer: KSerializer<T>): T? =
    try {
        PlatformProtocol.json.decodeFromString(serializer, receiveText())
    } catch (e: SerializationException) {
        respondText("the body is malformed: ${e.message}", status = HttpStatusCode.BadRequest)
        null
    }

internal suspend fun <T> ApplicationCall.respondJson(
    serializer: KSerializer<T>,
    body: T,
    status: HttpStatusCode = HttpStatusCode.OK,
) {
    respondText(PlatformProtocol.json.encodeToString(serializer, body), ContentType.Application.Json, status)
}
