package boragelever.standin

import boragelever.core.NetworkAddress
import boragelever.core.store.ImmutableBytes
import boragelever.core.store.ObjectKey
import boragelever.core.store.Revision
import boragelever.core.store.StoreCommand
import boragelever.core.store.StoreResult
import boragelever.platform.ObjectNamesBody
import boragelever.platform.RowsBody
import boragelever.platform.StoreProtocol
import boragelever.platform.TransactionBody
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.http.Parameters
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
import kotlinx.serialization.json.Json
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
        post(StoreProtocol.TRANSACT_PATH) {
            call.receiveJson(TransactionBody.serializer(), StoreProtocol.json)?.let { call.execute(it.toCommand()) }
        }
        get(StoreProtocol.RANGE_PATH) {
            val parameters = call.request.queryParameters
            val table = parameters[StoreProtocol.TABLE_PARAMETER].orEmpty()
            if (table == StoreProtocol.OPERATOR_TABLE) {
                call.execute(StoreCommand.ReadConfigSource)
            } else {
                call.execute(StoreCommand.ScanRows("$table/", StoreProtocol.MAX_ROWS), parameters)
            }
        }
        get(StoreProtocol.CHANGES_PATH) {
            val parameters = call.request.queryParameters
            val after = Revision(parameters[StoreProtocol.AFTER_PARAMETER]?.toLongOrNull() ?: 0)
            val waitMillis = parameters[StoreProtocol.WAIT_PARAMETER]?.toLongOrNull() ?: 0
            call.execute(StoreCommand.AwaitConfigSource(after, waitMillis))
        }
    }

    private fun Route.objectRoutes() {
        get(StoreProtocol.OBJECTS_PATH) {
            call.execute(StoreCommand.ListObjects(call.request.queryParameters[PREFIX].orEmpty()))
        }
        get(StoreProtocol.OBJECT_GET_PATH + NAME) { call.execute(StoreCommand.GetObject(call.objectKey())) }
        put(StoreProtocol.OBJECT_PUT_PATH + NAME) {
            call.execute(StoreCommand.PutObject(call.objectKey(), ImmutableBytes(call.receive<ByteArray>())))
        }
        delete(StoreProtocol.OBJECT_DELETE_PATH + NAME) { call.execute(StoreCommand.DeleteObject(call.objectKey())) }
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

    /** Executes [command]; [range] restricts the rows that are sent. */
    private suspend fun RoutingCall.execute(command: StoreCommand, range: Parameters = Parameters.Empty) {
        when (val reply = state.awaitReply(command)) {
            is PlatformReply.Completed -> {
                delay(reply.delayMillis)
                send(reply.result, range)
            }
            is PlatformReply.Broken -> {
                delay(reply.delayMillis)
                respondText("the stand-in loses this answer on purpose", status = HttpStatusCode.BadGateway)
            }
            else -> respondText("the stand-in refuses requests", status = HttpStatusCode.ServiceUnavailable)
        }
    }

    private suspend fun RoutingCall.send(answer: StoreResult, range: Parameters) {
        val revision = current.lastRevision
        when (answer) {
            is StoreResult.RowsRead -> respondRows(selectRange(answer.rows, range, revision))
            is StoreResult.Committed -> respondRows(RowsBody(revision = revision))
            is StoreResult.Conflict -> {
                val body = RowsBody(answer.rows.map { it.toStoreRow() }, revision = revision)
                respondRows(body, HttpStatusCode.PreconditionFailed)
            }
            is StoreResult.ConfigSourceRead -> {
                val row = current.operatorConfig?.takeIf { answer.config != null }?.toStoreRow()
                respondRows(RowsBody(listOfNotNull(row), revision = answer.revision.value))
            }
            is StoreResult.ObjectsListed -> {
                val names = answer.entries.map { it.key.value }
                respondJson(ObjectNamesBody.serializer(), ObjectNamesBody(names), format = StoreProtocol.json)
            }
            is StoreResult.ObjectRead ->
                respondBytes(answer.bytes.toByteArray(), ContentType.Application.OctetStream)
            is StoreResult.ObjectWritten, is StoreResult.ObjectDeleted -> respondText("")
            is StoreResult.ObjectMissing -> respondText("no such object", status = HttpStatusCode.NotFound)
            is StoreResult.ConfigSourceHistoryLost -> respondText("history is gone", status = HttpStatusCode.Gone)
            is StoreResult.DocumentRead, is StoreResult.StoreFailed ->
                respondText("unexpected answer", status = HttpStatusCode.InternalServerError)
        }
    }

    private suspend fun RoutingCall.respondRows(body: RowsBody, status: HttpStatusCode = HttpStatusCode.OK) {
        respondJson(RowsBody.serializer(), body, status, StoreProtocol.json)
    }

    private fun RoutingCall.objectKey(): ObjectKey =
        ObjectKey(parameters.getAll(NAME_PARAMETER).orEmpty().joinToString("/"))

    public companion object {
        /** Path of the faults: `POST` replaces them, `GET` reads them. */
        public const val FAULTS_PATH: String = "/admin/faults"

        /** Path of the counters. */
        public const val COUNTS_PATH: String = "/admin/counts"

        private const val PREFIX = StoreProtocol.PREFIX_PARAMETER
        private const val NAME_PARAMETER = "name"
        private const val NAME = "{$NAME_PARAMETER...}"
        private const val STOP_TIMEOUT_MILLIS = 200L
    }
}

/** Reads a JSON body; answers 400 and returns `null` if it is malformed. */
internal suspend fun <T : Any> ApplicationCall.receiveJson(
    serializer: KSerializer<T>,
    format: Json = StoreProtocol.valueJson,
): T? =
    try {
        format.decodeFromString(serializer, receiveText())
    } catch (e: SerializationException) {
        respondText("the body is malformed: ${e.message}", status = HttpStatusCode.BadRequest)
        null
    }

internal suspend fun <T> ApplicationCall.respondJson(
    serializer: KSerializer<T>,
    body: T,
    status: HttpStatusCode = HttpStatusCode.OK,
    format: Json = StoreProtocol.valueJson,
) {
    respondText(format.encodeToString(serializer, body), ContentType.Application.Json, status)
}
