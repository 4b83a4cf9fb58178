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

/** Starts a platform stand-in on [port] of [host]; port 0 picks a free one. */
public fun PlatformStandIn(port: Int = 0, host: String = "127.0.0.1"): PlatformStandIn =
    PlatformStandIn(AtomicReference(PlatformState()), host, port)

/** HTTP stand-in for the platform's table service and object store; see `docs/platform-protocol.md`. */
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

    /** Address on which the stand-in listens. */
    public val address: NetworkAddress =
        runBlocking { server.engine.resolvedConnectors().first() }.let { NetworkAddress("${it.host}:${it.port}") }

    /** Snapshot of the current state. */
    public val current: PlatformState get() = state.get()

    /** Executes [request] as one atomic step, without HTTP. */
    public fun submit(request: PlatformRequest): PlatformReply = state.reduceWith(request)

    /** Stops the server; later connections are refused. */
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

    /** Executes [command] and responds; [range] restricts the rows of the response. */
    private suspend fun RoutingCall.execute(command: StoreCommand, range: Parameters = Parameters.Empty) {
        when (val reply = state.awaitReply(command)) {
            is PlatformReply.Completed -> {
                delay(reply.delayMillis)
                send(reply.result, range)
            }
            is PlatformReply.Broken -> {
                delay(reply.delayMillis)
                respondText("injected fault: result lost", status = HttpStatusCode.BadGateway)
            }
            else -> respondText("injected fault: request refused", status = HttpStatusCode.ServiceUnavailable)
        }
    }

    private suspend fun RoutingCall.send(result: StoreResult, range: Parameters) {
        val revision = current.lastRevision
        when (result) {
            is StoreResult.RowsRead -> respondRows(selectRange(result.rows, range, revision))
            is StoreResult.Committed -> respondRows(RowsBody(revision = revision))
            is StoreResult.Conflict -> {
                val body = RowsBody(result.rows.map { it.toStoreRow() }, revision = revision)
                respondRows(body, HttpStatusCode.PreconditionFailed)
            }
            is StoreResult.ConfigSourceRead -> {
                val row = current.operatorConfig?.takeIf { result.config != null }?.toStoreRow()
                respondRows(RowsBody(listOfNotNull(row), revision = result.revision.value))
            }
            is StoreResult.ObjectsListed -> {
                val names = result.entries.map { it.key.value }
                respondJson(ObjectNamesBody.serializer(), ObjectNamesBody(names), format = StoreProtocol.json)
            }
            is StoreResult.ObjectRead ->
                respondBytes(result.bytes.toByteArray(), ContentType.Application.OctetStream)
            is StoreResult.ObjectWritten, is StoreResult.ObjectDeleted -> respondText("")
            is StoreResult.ObjectMissing -> respondText("the object does not exist", status = HttpStatusCode.NotFound)
            is StoreResult.ConfigSourceHistoryLost ->
                respondText("the history after this revision was discarded", status = HttpStatusCode.Gone)
            is StoreResult.DocumentRead, is StoreResult.StoreFailed ->
                respondText("the store returned an unexpected result", status = HttpStatusCode.InternalServerError)
        }
    }

    private suspend fun RoutingCall.respondRows(body: RowsBody, status: HttpStatusCode = HttpStatusCode.OK) {
        respondJson(RowsBody.serializer(), body, status, StoreProtocol.json)
    }

    private fun RoutingCall.objectKey(): ObjectKey =
        ObjectKey(parameters.getAll(NAME_PARAMETER).orEmpty().joinToString("/"))

    public companion object {
        /** Path of the injected faults: `POST` replaces them, `GET` returns them. */
        public const val FAULTS_PATH: String = "/admin/faults"

        /** Path of the request counters. */
        public const val COUNTS_PATH: String = "/admin/counts"

        private const val PREFIX = StoreProtocol.PREFIX_PARAMETER
        private const val NAME_PARAMETER = "name"
        private const val NAME = "{$NAME_PARAMETER...}"
        private const val STOP_TIMEOUT_MILLIS = 200L
    }
}

/** Decodes a JSON body; responds with status 400 and returns `null` if it is malformed. */
internal suspend fun <T : Any> ApplicationCall.receiveJson(
    serializer: KSerializer<T>,
    format: Json = StoreProtocol.valueJson,
): T? =
    try {
        format.decodeFromString(serializer, receiveText())
    } catch (e: SerializationException) {
        respondText("malformed request body: ${e.message}", status = HttpStatusCode.BadRequest)
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
