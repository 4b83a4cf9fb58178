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

/** Covers connecting and the handshake: three round trips between regions and the cost of a new connection. */
private const val DIAL_TIMEOUT_MILLIS = 2_000L

/** After a mass restart each node is contacted by many others at once; more wait in the kernel's accept queue. */
private const val ACCEPTS_PER_SECOND = 100.0
private const val ACCEPT_BURST = 200.0

/** Open and half-open connections that others may hold to this node. */
private const val MAX_ACCEPTED = 1_024

private const val MONITOR_MILLIS = 500L
private const val IDLE_MILLIS = 60_000L

/** Five heartbeats in a row without an answer. */
private const val SILENT_MILLIS = 5_000L

/** What the transport tells the rest of the node. */
public interface PeerListener {
    /** Record that this node sends in its hello. */
    public fun ownRecord(): MemberRecord

    /** A connection is open. Suspends while the control state is behind. */
    public suspend fun connected(record: MemberRecord)

    /** A message arrived. Suspends while the control state is behind, which stops reading from the peer. */
    public suspend fun received(from: NodeId, message: PeerMessage)

    /** A connection was lost or could not be opened, or a message was dropped. Must not block. */
    public fun unreachable(peer: NodeId)
}

/** Settings of the transport; they do not change while it runs. */
public data class TransportSettings(
    public val node: NodeId,
    public val region: RegionName,
    public val bindHost: String,
    /** Port to listen on; 0 takes any free port. */
    public val port: Int,
    /** Key that peers have to prove, or `null` to accept every peer. */
    public val key: SharedKey? = null,
)

/** Figures of the transport since the start. */
public data class TransportFigures(
    public val bytes: ControlBytes,
    public val openConnections: Int,
    /** Messages that were dropped because the peer was slow or unreachable. */
    public val droppedMessages: Long,
)

/**
 * Carries messages between nodes over TCP, with at most one connection in use to each peer.
 *
 * All connections run on one thread. Ktor's sockets hand each read and write to threads of the I/O dispatcher, whose
 * wake-ups were most of what a node at rest did.
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
    private val contacts: MutableSet<NetworkAddress> = ConcurrentHashMap.newKeySet()
    private val accepted = AtomicInteger()
    private val dropped = LongAdder()
    private val bytes = TrafficBytes()
    private val sessions = PeerSessions(listener, clock)
    private var server: EventLoopListener? = null

    /** Figures as of now. */
    public val figures: TransportFigures
        get() = TransportFigures(bytes.current, links.values.count { it.current != null }, dropped.sum())

    /** Opens the port and returns its number. Fails with [IOException] if it is taken. */
    public fun bind(): Int {
        val bound = listen(InetSocketAddress(settings.bindHost, settings.port), loop)
        server = bound
        loop.start()
        return bound.port
    }

    /** Starts taking connections. */
    public fun start() {
        val bound = checkNotNull(server) { "bind() comes before start()" }
        scope.launch { acceptAll(bound) }
        scope.launch { monitor() }
    }

    /** Queues [message] for [peer] and opens a connection to [address] if there is none. Does not block. */
    public fun send(peer: NodeId, address: NetworkAddress, message: PeerMessage) {
        val link = links.computeIfAbsent(peer, ::PeerLink)
        if (link.queue.trySend(message).isFailure) {
            dropped.increment()
            listener.unreachable(peer)
            return
        }
        when (link.beforeSend(clock.nowMillis())) {
            SendStep.Wait -> Unit
            SendStep.Dial -> scope.launch { dialLink(link, address) }
            SendStep.GiveUp -> abandon(link)
        }
    }

    /** Opens a connection to a node of which only the [address] is known. Does not block. */
    public fun contact(address: NetworkAddress) {
        if (!contacts.add(address)) return
        scope.launch {
            try {
                dial(address)?.let { scope.launch { use(it) } }
            } finally {
                contacts.remove(address)
            }
        }
    }

    /** Closes the connection to [peer]. */
    public fun disconnect(peer: NodeId) {
        links[peer]?.current?.close(CloseReason.Requested)
    }

    override fun close() {
        runBlocking { job.cancelAndJoin() }
        server?.close()
        links.values.forEach { it.current?.close(CloseReason.Requested) }
        loop.close()
    }

    private suspend fun acceptAll(bound: EventLoopListener) {
        var bucket = TokenBucket(ACCEPTS_PER_SECOND, ACCEPT_BURST)
        while (true) {
            val socket = EventLoopSocket(bound.accept(), loop)
            if (accepted.get() >= MAX_ACCEPTED) {
                socket.close()
                continue
            }
            accepted.incrementAndGet()
            scope.launch {
                try {
                    open(socket, ConnectionEnd.ACCEPTOR)?.let { use(it) }
                } finally {
                    accepted.decrementAndGet()
                    socket.close()
                }
            }
            bucket = bucket.afterToken()
        }
    }

    /** Waits for a token and returns the bucket without it. */
    private suspend fun TokenBucket.afterToken(): TokenBucket {
        while (true) {
            tryTake(clock.nowMillis())?.let { return it }
            delay(waitMillis(clock.nowMillis()))
        }
    }

    private suspend fun dialLink(link: PeerLink, address: NetworkAddress) {
        val connection = dial(address)
        val found = connection?.peer == link.peer
        link.dialled(found, clock.nowMillis(), random)
        if (connection != null) scope.launch { use(connection) }
        if (!found) abandon(link)
    }

    private fun abandon(link: PeerLink) {
        dropped.add(link.dropQueued().toLong())
        listener.unreachable(link.peer)
    }

    private suspend fun dial(address: NetworkAddress): PeerConnection? {
        val (host, port) = address.hostAndPort()
        return withTimeoutOrNull(DIAL_TIMEOUT_MILLIS) {
            try {
                val socket = EventLoopSocket(SocketChannel.open(), loop)
                socket.connectOrClose(InetSocketAddress(host, port))
                open(socket, ConnectionEnd.DIALLER)
            } catch (e: IOException) {
                log.debug { "[peer] $address does not answer: ${e.message}" }
                null
            }
        }
    }

    /** Shakes hands on a new [socket]; closes it and returns `null` if the peer is not to be talked to. */
    private suspend fun open(socket: EventLoopSocket, end: ConnectionEnd): PeerConnection? {
        val frames = FrameSocket(socket)
        var connection: PeerConnection? = null
        try {
            val own = listener.ownRecord()
            withTimeoutOrNull(DIAL_TIMEOUT_MILLIS) { frames.shakeHands(own, end, settings.key) }?.fold(
                success = { if (it.record.node != settings.node) connection = connectionOf(it, frames, end) },
                failure = { log.warn { "[peer] a connection from ${socket.remoteAddress} is refused: ${it.message}" } },
            )
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            // Ktor reports a lost connection by several unrelated exception types.
            log.debug { "[peer] a handshake with ${socket.remoteAddress} broke off: ${e.message}" }
        } finally {
            if (connection == null) frames.close()
        }
        return connection
    }

    private fun connectionOf(outcome: HandshakeOutcome, frames: FrameSocket, end: ConnectionEnd): PeerConnection {
        val sameRegion = outcome.record.region == settings.region
        bytes.sent(outcome.sentBytes, sameRegion)
        bytes.received(outcome.receivedBytes, sameRegion)
        val dialledBy =
            when (end) {
                ConnectionEnd.DIALLER -> settings.node
                ConnectionEnd.ACCEPTOR -> outcome.record.node
            }
        return PeerConnection(outcome.record, dialledBy, frames, sameRegion, bytes, clock.nowMillis())
    }

    /** Carries messages over [connection] until it ends. */
    private suspend fun use(connection: PeerConnection) {
        val link = links.computeIfAbsent(connection.peer, ::PeerLink)
        if (!link.adopt(connection, settings.node)) connection.retire()
        val reason = sessions.run(connection, link)
        if (link.release(connection) && reason.meansUnreachable()) {
            log.debug { "[peer] the connection to ${connection.peer} ended: $reason" }
            abandon(link)
        }
    }

    private suspend fun monitor() {
        while (true) {
            delay(MONITOR_MILLIS)
            val nowMillis = clock.nowMillis()
            links.values.forEach { link -> link.current?.closeIfStuck(nowMillis) }
            links.values.removeIf { it.unusedSince(nowMillis - IDLE_MILLIS) }
        }
    }
}

private fun PeerConnection.closeIfStuck(nowMillis: Long) {
    val awaitingSince = awaitingSinceMillis
    when {
        awaitingSince != null && nowMillis - awaitingSince > SILENT_MILLIS -> close(CloseReason.Silent)
        nowMillis - activeMillis > IDLE_MILLIS -> close(CloseReason.Idle)
    }
}

private fun CloseReason.meansUnreachable(): Boolean =
    when (this) {
        CloseReason.Lost, CloseReason.Silent, is CloseReason.Refused -> true
        CloseReason.Idle, CloseReason.Replaced, CloseReason.Requested -> false
    }

/** Splits a `host:port` pair at its last colon. */
internal fun NetworkAddress.hostAndPort(): Pair<String, Int> =
    value.substringBeforeLast(':').removeSurrounding("[", "]") to value.substringAfterLast(':').toInt()
