package boragelever.node.proxy

import boragelever.core.ConfigVersion
import boragelever.core.Digest
import boragelever.core.Fingerprint
import boragelever.core.InstanceId
import boragelever.core.NetworkAddress
import boragelever.core.NodeId
import boragelever.core.RegionName
import boragelever.core.RouteName
import boragelever.core.ServiceName
import boragelever.core.ZoneName
import boragelever.core.config.ConfigId
import boragelever.core.config.LimitsConfig
import boragelever.core.config.RouteConfig
import boragelever.core.config.ServiceConfig
import boragelever.core.control.UpstreamRecord
import boragelever.core.control.UpstreamState
import boragelever.core.routing.CompiledRoute
import boragelever.core.routing.CompiledService
import boragelever.core.routing.Destination
import boragelever.core.routing.Endpoint
import boragelever.core.routing.LocalityTier
import boragelever.core.routing.Quarantine
import boragelever.core.routing.RoutingSnapshot
import boragelever.core.store.EntityTag
import boragelever.core.store.ImmutableBytes
import boragelever.core.store.ObjectKey
import boragelever.core.store.Revision
import boragelever.core.store.Row
import boragelever.core.store.RowCondition
import boragelever.core.store.RowKey
import boragelever.core.store.RowWrite
import boragelever.core.store.StoreCommand
import boragelever.core.store.StoreFailure
import boragelever.core.store.StoreResult
import boragelever.platform.Platform
import kotlinx.coroutines.runBlocking
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketException
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch
import kotlin.concurrent.thread

private val LOOPBACK: InetAddress = InetAddress.getLoopbackAddress()
private const val READ_TIMEOUT_MILLIS = 10_000
private const val POLL_INTERVAL_MILLIS = 5
private const val RESET_DELAY_MILLIS = 100L

/** An upstream on loopback that handles each request with the next step of its script, and then with 200. */
internal class FakeUpstream(vararg script: UpstreamStep) : AutoCloseable {
    private val steps = ConcurrentLinkedQueue(script.toList())
    private val listener = ServerSocket(0, 50, LOOPBACK)
    private val sockets = CopyOnWriteArrayList<Socket>()

    /** Received requests, head and body. */
    val requests = CopyOnWriteArrayList<String>()
    val address = NetworkAddress("127.0.0.1:${listener.localPort}")

    /** Released when the late bytes of [UpstreamStep.RespondTwice] are sent. */
    val lateResponseSent = CountDownLatch(1)

    /** Released when the receiver has closed the connection of an endless response. */
    val endlessResponsesClosed = CountDownLatch(1)

    private val acceptor = thread(isDaemon = true) {
        runCatching { while (true) listener.accept().let { socket -> thread(isDaemon = true) { serve(socket) } } }
    }

    private fun serve(socket: Socket) {
        sockets += socket
        runCatching {
            var keepsOpen = true
            while (keepsOpen) {
                val request = readMessage(socket)
                if (request != null) requests += request
                keepsOpen = request != null && execute(steps.poll() ?: DEFAULT_RESPONSE_STEP, socket)
            }
            socket.close()
        }
    }

    /** Executes [step] and returns true if the connection stays open. */
    private fun execute(step: UpstreamStep, socket: Socket): Boolean {
        val output = socket.getOutputStream()
        when (step) {
            is UpstreamStep.Respond -> output.write(step.text.encodeToByteArray())
            is UpstreamStep.RespondAndClose -> output.write(step.text.encodeToByteArray())
            is UpstreamStep.RespondAndReset -> {
                output.write(step.text.encodeToByteArray())
                // A reset that overtakes the bytes would discard them at the receiver.
                Thread.sleep(RESET_DELAY_MILLIS)
                socket.setSoLinger(true, 0)
            }
            is UpstreamStep.RespondAfter -> {
                step.latch.await()
                output.write(step.text.encodeToByteArray())
            }
            is UpstreamStep.RespondTwice -> {
                output.write(step.text.encodeToByteArray())
                if (step.late.isNotEmpty()) sendLate(step.late, socket)
            }
            is UpstreamStep.RespondEndlessly -> respondEndlessly(step, socket)
            UpstreamStep.Crash -> close()
            UpstreamStep.Hang -> Unit
        }
        return step is UpstreamStep.Respond || step is UpstreamStep.RespondTwice || step is UpstreamStep.RespondAfter ||
            step is UpstreamStep.Hang
    }

    /** Sends [text] once the receiver has taken the response that was sent before. */
    private fun sendLate(text: String, socket: Socket) {
        Thread.sleep(RESET_DELAY_MILLIS)
        try {
            socket.getOutputStream().write(text.encodeToByteArray())
        } finally {
            lateResponseSent.countDown()
        }
    }

    /** Writes until the receiver closes the connection. */
    private fun respondEndlessly(step: UpstreamStep.RespondEndlessly, socket: Socket) {
        try {
            socket.getOutputStream().write(step.start.encodeToByteArray())
            val block = step.block.encodeToByteArray()
            while (true) {
                socket.getOutputStream().write(block)
                if (step.pauseMillis > 0) Thread.sleep(step.pauseMillis)
            }
        } catch (_: SocketException) {
            endlessResponsesClosed.countDown()
        }
    }

    override fun close() {
        listener.close()
        // The kernel accepts connections to the closed port until the accepting thread has returned.
        acceptor.join()
        sockets.forEach { it.close() }
    }
}

private val DEFAULT_RESPONSE_STEP = UpstreamStep.Respond("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

/** What a [FakeUpstream] does with one request. */
internal sealed interface UpstreamStep {
    data class Respond(val text: String) : UpstreamStep

    data class RespondAndClose(val text: String) : UpstreamStep

    /** Sends a response and resets the connection once the bytes have arrived. */
    data class RespondAndReset(val text: String) : UpstreamStep

    /** Sends a response after [latch] is released. */
    data class RespondAfter(val latch: CountDownLatch, val text: String) : UpstreamStep

    /** Sends [text], and after a pause [late] on the same connection, which stays open. */
    data class RespondTwice(val text: String, val late: String) : UpstreamStep

    /** Sends [start] and then [block] until the receiver closes the connection, with [pauseMillis] after each block. */
    data class RespondEndlessly(val start: String, val block: String, val pauseMillis: Long = 0) : UpstreamStep

    /** Closes all connections and the listener, as a crash of the process does. */
    data object Crash : UpstreamStep

    data object Hang : UpstreamStep
}

/** Reads one message with a `Content-Length` body; returns `null` if the connection is closed before its body. */
internal fun readMessage(socket: Socket): String? {
    socket.soTimeout = READ_TIMEOUT_MILLIS
    val input = socket.getInputStream()
    val text = StringBuilder()
    while (!text.endsWith("\r\n\r\n")) {
        val byte = input.read()
        if (byte < 0) return null
        text.append(byte.toChar())
    }
    val length = Regex("(?i)content-length: (\\d+)").find(text)?.groupValues?.get(1)?.toInt() ?: 0
    return text.toString() + String(input.readNBytes(length), Charsets.ISO_8859_1)
}

/** Waits until [condition] holds; fails after ten seconds. */
internal fun awaitUntil(condition: () -> Boolean) {
    val waits = READ_TIMEOUT_MILLIS / POLL_INTERVAL_MILLIS
    repeat(waits) { if (condition()) return else Thread.sleep(POLL_INTERVAL_MILLIS.toLong()) }
    error("the condition did not hold within 10 s")
}

/** Opens a connection and sends [request] without reading the response. */
internal fun openCall(port: Int, request: String): Socket =
    Socket(LOOPBACK, port).also { it.getOutputStream().write(request.encodeToByteArray()) }

/** Sends [request] on a new connection and reads it to its end; a reset is appended as `<reset>`. */
internal fun rawCall(port: Int, request: String): String =
    Socket(LOOPBACK, port).use { socket ->
        socket.soTimeout = READ_TIMEOUT_MILLIS
        socket.getOutputStream().write(request.encodeToByteArray())
        val response = StringBuilder()
        try {
            while (true) response.append(socket.getInputStream().read().takeIf { it >= 0 }?.toChar() ?: break)
        } catch (reset: SocketException) {
            response.append("<reset>")
        }
        response.toString()
    }

/** An in-memory platform with rows and objects; each transaction uses the next of [faults]. */
internal class FakePlatform(private val faults: MutableList<PlatformFault> = mutableListOf()) : Platform {
    private val rows = mutableMapOf<RowKey, Row>()
    private val objects = mutableMapOf<ObjectKey, ImmutableBytes>()
    private var revisions = 0L

    /** Number of operations of each transaction. */
    val transactions = mutableListOf<Int>()

    @Synchronized
    fun row(key: RowKey): Row? = rows[key]

    @Synchronized
    override fun close() = rows.clear()

    override suspend fun execute(command: StoreCommand): StoreResult = result(command)

    @Synchronized
    private fun result(command: StoreCommand): StoreResult =
        when (command) {
            is StoreCommand.ReadRows -> StoreResult.RowsRead(command.keys.mapNotNull { rows[it] })
            is StoreCommand.Transact -> transact(command)
            is StoreCommand.PutObject -> {
                objects[command.key] = command.bytes
                StoreResult.ObjectWritten(EntityTag("t"))
            }
            is StoreCommand.GetObject ->
                objects[command.key]?.let { StoreResult.ObjectRead(it, EntityTag("t")) } ?: StoreResult.ObjectMissing
            else -> error("unexpected store command: $command")
        }

    private fun transact(command: StoreCommand.Transact): StoreResult {
        transactions += command.writes.size
        val fault = faults.removeFirstOrNull() ?: PlatformFault.NONE
        val responseLost = StoreResult.StoreFailed(StoreFailure.OutcomeUnknown("lost"))
        return when (fault) {
            PlatformFault.UNAVAILABLE -> StoreResult.StoreFailed(StoreFailure.Unavailable("down"))
            PlatformFault.LOST_BEFORE -> responseLost
            PlatformFault.LOST_AFTER -> commit(command).let { responseLost }
            PlatformFault.NONE -> commit(command)
        }
    }

    private fun commit(command: StoreCommand.Transact): StoreResult {
        val holds = command.conditions.all { condition ->
            when (condition) {
                is RowCondition.Absent -> condition.key !in rows
                is RowCondition.RevisionIs -> rows[condition.key]?.revision == condition.revision
            }
        }
        if (!holds) return StoreResult.Conflict(command.conditions.mapNotNull { rows[it.key] })
        command.writes.forEach { write ->
            when (write) {
                is RowWrite.Put -> rows[write.key] = Row(write.key, write.value, Revision(++revisions), command.writeId)
                is RowWrite.Delete -> rows.remove(write.key)
            }
        }
        return StoreResult.Committed(command.writes.mapNotNull { rows[it.key] })
    }
}

/** Fault of a transaction: the store is unavailable, or the result is lost before or after the commit. */
internal enum class PlatformFault { NONE, UNAVAILABLE, LOST_BEFORE, LOST_AFTER }

/** A node on loopback that is the first hop and, for each of [upstreams], the last hop of its calls. */
internal class FakeMesh(
    upstreams: List<FakeUpstream>,
    route: RouteConfig = RouteConfig(pathPrefix = "/", destinations = mapOf(SERVICE to 1)),
    limits: LimitsConfig = LimitsConfig(),
    platform: Platform = FakePlatform(),
    quarantined: Set<Fingerprint> = emptySet(),
    settings: ProxySettings = ProxySettings(NodeId("a"), bindHost = "127.0.0.1"),
    states: (Int) -> UpstreamState = { UpstreamState.SERVING },
    telemetry: ProxyTelemetry = ProxyTelemetry.NONE,
) : AutoCloseable {
    val observations = CopyOnWriteArrayList<ProxyObservation>()
    private val records = upstreams.mapIndexed { index, upstream ->
        UpstreamRecord(SERVICE, InstanceId("i$index"), upstream.address, slots = 2, connections = 9, states(index))
    }

    @Volatile
    private var snapshot: RoutingSnapshot? = null
    private val server = ProxyServer(settings, { snapshot }, platform, observations::add, telemetry)
    private val ports = runBlocking { server.start() }
    val proxyPort get() = ports.proxy
    val hopPort get() = ports.hop
    val callsInFlight get() = server.callsInFlight
    val unfinishedRequests get() = server.unfinishedRequests

    init {
        val endpoints = records.mapIndexed { index, record -> endpoint(record, index) }
        snapshot = RoutingSnapshot(
            config = ConfigId(ConfigVersion(1), Digest("d")),
            node = settings.node,
            routes = listOf(CompiledRoute(RouteName("all"), route, listOf(Destination(SERVICE, 1)))),
            services = mapOf(SERVICE to CompiledService(SERVICE, ServiceConfig(), endpoints)),
            limits = limits,
            localUpstreams = records.associateBy { it.instance },
            quarantined = quarantined.associateWith { Quarantine(endMillis = Long.MAX_VALUE) },
        )
    }

    /** The first upstream is in the zone of the node and the others are not, so that calls go to it first. */
    private fun endpoint(record: UpstreamRecord, index: Int) =
        Endpoint(
            instance = record.instance,
            service = record.service,
            node = NodeId("a"),
            callAddress = NetworkAddress("127.0.0.1:${ports.hop}"),
            region = RegionName("r"),
            zone = ZoneName("z$index"),
            tier = if (index == 0) LocalityTier.SAME_ZONE else LocalityTier.SAME_REGION,
            slots = record.slots,
            servingSinceMillis = Long.MIN_VALUE / 2,
        )

    fun drain() = server.beginDrain()

    /** Removes the snapshot, as in a node that has just started, and returns a function that restores it. */
    fun removeSnapshot(): () -> Unit {
        val removed = snapshot
        snapshot = null
        return { snapshot = removed }
    }

    override fun close() = runBlocking { server.close() }

    companion object {
        val SERVICE = ServiceName("fitbook")
    }
}
