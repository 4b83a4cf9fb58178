package boragelever.node.peer

import boragelever.core.NetworkAddress
import boragelever.core.NodeId
import boragelever.core.RegionName
import boragelever.core.control.MemberRecord
import boragelever.core.control.PeerMessage
import boragelever.core.control.TokenBucket
import boragelever.core.control.tryTake
import boragelever.core.control.waitMillis
import boragelever.node.Clock
import boragelever.node.net.EventLoopListener
import boragelever.node.net.EventLoopSocket
import boragelever.node.net.SocketEventLoop
import boragelever.node.net.listen
import boragelever.wire.ConnectionEnd
import boragelever.wire.SharedKey
import com.github.michaelbull.result.fold
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import java.io.IOException
import java.net.InetSocketAddress
import java.nio.channels.SocketChannel
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.LongAdder
import kotlin.random.Random

private val log = KotlinLogging.logger {}

/** Limit for connecting and the handshake: three round trips between regions plus the cost of a new connection. */
private const val DIAL_TIMEOUT_MILLIS = 2_000L

/** Limits accepts when many peers connect after a mass restart; excess ones wait in the backlog of the kernel. */
private const val ACCEPTS_PER_SECOND = 100.0
private const val ACCEPT_BURST = 200.0

/** Maximum number of accepted connections, including those in the handshake. */
private const val MAX_ACCEPTED = 1_024

/** Interval of the checks for unresponsive and idle connections. */
private const val MONITOR_INTERVAL_MILLIS = 500L

/** Unused time after which connections are closed and links are removed. */
private const val IDLE_TIMEOUT_MILLIS = 60_000L

/** Time without a reply after which a peer is considered unreachable: five heartbeat intervals. */
private const val REPLY_TIMEOUT_MILLIS = 5_000L

/** Callbacks of the transport to the node. */
public interface PeerListener {
    /** Returns the record that this node sends in its hello. */
    public fun localRecord(): MemberRecord

    /** Called after a handshake with the peer of [record]. Suspends while the control queue is full. */
    public suspend fun onConnected(record: MemberRecord)

    /** Called for each message. Suspends while the control queue is full, which stops reading from the peer. */
    public suspend fun onMessage(from: NodeId, message: PeerMessage)

    /** Called if a connection was lost or could not be opened, or a message was dropped. Must not block. */
    public fun onUnreachable(peer: NodeId)
}

/** Settings of the transport; fixed while it runs. */
public data class TransportSettings(
    public val node: NodeId,
    public val region: RegionName,
    /** IP address to listen on. */
    public val bindHost: String,
    /** Port to listen on; 0 selects any free port. */
    public val port: Int,
    /** Shared key that peers must prove to hold, or `null` to accept every peer. */
    public val key: SharedKey? = null,
)

/** Statistics of the transport since its start. */
public data class TransportStats(
    /** Volume of control traffic. */
    public val traffic: ControlTraffic,
    /** Peers with a current connection. */
    public val openConnections: Int,
    /** Messages dropped because the peer was slow or unreachable. */
    public val droppedMessages: Long,
)

/**
 * Transfers messages between nodes over TCP, with at most one current connection per peer.
 *
 * All connections share one thread. Ktor's sockets are not used because they pass each read and write to threads of the
 * I/O dispatcher, whose wake-ups made up most of the activity of an idle node.
 */
public class PeerTransport(
    private val settings: TransportSettings,
    private val listener: PeerListener,
    private val clock: Clock,
    private val random: Random,
) : AutoCloseable {
    private val loop = SocketEventLoop("peers-${settings.node}")
    private val job = SupervisorJob()
    private val scope = CoroutineScope(job + loop)
    private val links = ConcurrentHashMap<NodeId, PeerLink>()
    private val contactsInProgress: MutableSet<NetworkAddress> = ConcurrentHashMap.newKeySet()
    private val acceptedCount = AtomicInteger()
    private val droppedCount = LongAdder()
    private val traffic = ControlTrafficCounters()
    private val sessions = PeerSessions(listener, clock)
    private var serverListener: EventLoopListener? = null

    /** Current statistics. */
    public val stats: TransportStats
        get() = TransportStats(traffic.current, links.values.count { it.current != null }, droppedCount.sum())

    /** Opens the port and returns its number. Throws [IOException] if it is in use. */
    public fun bind(): Int {
        val boundListener = listen(InetSocketAddress(settings.bindHost, settings.port), loop)
        serverListener = boundListener
        loop.start()
        return boundListener.port
    }

    /** Starts accepting connections. Requires [bind]. */
    public fun start() {
        val boundListener = checkNotNull(serverListener) { "the transport must be bound before it is started" }
        scope.launch { acceptConnections(boundListener) }
        scope.launch { monitor() }
    }

    /** Queues [message] for [peer] and opens a connection to [address] if there is none. Does not block. */
    public fun send(peer: NodeId, address: NetworkAddress, message: PeerMessage) {
        val link = links.computeIfAbsent(peer, ::PeerLink)
        if (link.queue.trySend(message).isFailure) {
            droppedCount.increment()
            listener.onUnreachable(peer)
            return
        }
        when (link.nextStep(clock.nowMillis())) {
            SendStep.Wait -> Unit
            SendStep.Dial -> scope.launch { dialLink(link, address) }
            SendStep.Drop -> dropAndReportUnreachable(link)
        }
    }

    /** Opens a connection to the unknown node at [address]. Does not block. */
    public fun contact(address: NetworkAddress) {
        if (!contactsInProgress.add(address)) return
        scope.launch {
            try {
                dial(address)?.let { scope.launch { serve(it) } }
            } finally {
                contactsInProgress.remove(address)
            }
        }
    }

    /** Closes the connection to [peer]. */
    public fun disconnect(peer: NodeId) {
        links[peer]?.current?.close(CloseReason.Requested)
    }

    override fun close() {
        runBlocking { job.cancelAndJoin() }
        serverListener?.close()
        links.values.forEach { it.current?.close(CloseReason.Requested) }
        loop.close()
    }

    private suspend fun acceptConnections(boundListener: EventLoopListener) {
        var bucket = TokenBucket(ACCEPTS_PER_SECOND, ACCEPT_BURST)
        while (true) {
            val socket = EventLoopSocket(boundListener.accept(), loop)
            if (acceptedCount.get() >= MAX_ACCEPTED) {
                socket.close()
                continue
            }
            acceptedCount.incrementAndGet()
            scope.launch {
                try {
                    establish(socket, ConnectionEnd.ACCEPTOR)?.let { serve(it) }
                } finally {
                    acceptedCount.decrementAndGet()
                    socket.close()
                }
            }
            bucket = bucket.awaitToken()
        }
    }

    /** Suspends until a token is available and returns the bucket without it. */
    private suspend fun TokenBucket.awaitToken(): TokenBucket {
        while (true) {
            tryTake(clock.nowMillis())?.let { return it }
            delay(waitMillis(clock.nowMillis()))
        }
    }

    private suspend fun dialLink(link: PeerLink, address: NetworkAddress) {
        val connection = dial(address)
        val reachedPeer = connection?.peer == link.peer
        link.recordDial(reachedPeer, clock.nowMillis(), random)
        if (connection != null) scope.launch { serve(connection) }
        if (!reachedPeer) dropAndReportUnreachable(link)
    }

    private fun dropAndReportUnreachable(link: PeerLink) {
        droppedCount.add(link.dropQueued().toLong())
        listener.onUnreachable(link.peer)
    }

    private suspend fun dial(address: NetworkAddress): PeerConnection? {
        val (host, port) = address.hostAndPort()
        return withTimeoutOrNull(DIAL_TIMEOUT_MILLIS) {
            try {
                val socket = EventLoopSocket(SocketChannel.open(), loop)
                socket.connectOrClose(InetSocketAddress(host, port))
                establish(socket, ConnectionEnd.DIALLER)
            } catch (e: IOException) {
                log.debug { "[peer] cannot connect to $address: ${e.message}" }
                null
            }
        }
    }

    /** Performs the handshake on [socket]; closes it and returns `null` if that fails or the peer is this node. */
    private suspend fun establish(socket: EventLoopSocket, end: ConnectionEnd): PeerConnection? {
        val frames = FrameSocket(socket)
        var connection: PeerConnection? = null
        try {
            val localRecord = listener.localRecord()
            withTimeoutOrNull(DIAL_TIMEOUT_MILLIS) { frames.performHandshake(localRecord, end, settings.key) }?.fold(
                success = { if (it.record.node != settings.node) connection = createConnection(it, frames, end) },
                failure = { log.warn { "[peer] handshake with ${socket.remoteAddress} failed: ${it.message}" } },
            )
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            // A lost connection surfaces as several unrelated exception types.
            log.debug { "[peer] connection to ${socket.remoteAddress} lost during the handshake: ${e.message}" }
        } finally {
            if (connection == null) frames.close()
        }
        return connection
    }

    private fun createConnection(result: HandshakeResult, frames: FrameSocket, end: ConnectionEnd): PeerConnection {
        val sameRegion = result.record.region == settings.region
        traffic.sent(result.sentBytes, sameRegion)
        traffic.received(result.receivedBytes, sameRegion)
        val dialledBy =
            when (end) {
                ConnectionEnd.DIALLER -> settings.node
                ConnectionEnd.ACCEPTOR -> result.record.node
            }
        return PeerConnection(result.record, dialledBy, frames, sameRegion, traffic, clock.nowMillis())
    }

    /** Serves [connection] until it ends. */
    private suspend fun serve(connection: PeerConnection) {
        val link = links.computeIfAbsent(connection.peer, ::PeerLink)
        if (!link.adopt(connection, settings.node)) connection.retire()
        val reason = sessions.run(connection, link)
        if (link.release(connection) && reason.meansUnreachable()) {
            log.debug { "[peer] connection to ${connection.peer} ended, queued messages are dropped: $reason" }
            dropAndReportUnreachable(link)
        }
    }

    private suspend fun monitor() {
        while (true) {
            delay(MONITOR_INTERVAL_MILLIS)
            val nowMillis = clock.nowMillis()
            links.values.forEach { link -> link.current?.closeIfTimedOut(nowMillis) }
            links.values.removeIf { it.unusedSince(nowMillis - IDLE_TIMEOUT_MILLIS) }
        }
    }
}

private fun PeerConnection.closeIfTimedOut(nowMillis: Long) {
    val sinceMillis = awaitingReplySinceMillis
    when {
        sinceMillis != null && nowMillis - sinceMillis > REPLY_TIMEOUT_MILLIS -> close(CloseReason.ReplyTimeout)
        nowMillis - lastActivityMillis > IDLE_TIMEOUT_MILLIS -> close(CloseReason.Idle)
    }
}

private fun CloseReason.meansUnreachable(): Boolean =
    when (this) {
        CloseReason.Lost, CloseReason.ReplyTimeout, is CloseReason.ProtocolError -> true
        CloseReason.Idle, CloseReason.Replaced, CloseReason.Requested -> false
    }

/** Splits a `host:port` pair at its last colon. */
internal fun NetworkAddress.hostAndPort(): Pair<String, Int> =
    value.substringBeforeLast(':').removeSurrounding("[", "]") to value.substringAfterLast(':').toInt()
