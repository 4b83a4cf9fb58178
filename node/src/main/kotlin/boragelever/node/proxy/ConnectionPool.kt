package boragelever.node.proxy

import boragelever.core.NetworkAddress
import boragelever.node.net.ConnectionTimeout
import boragelever.node.net.EventLoopSocket
import boragelever.node.net.SocketEventLoop
import boragelever.node.net.SocketInput
import kotlinx.coroutines.delay
import java.io.IOException
import java.net.InetSocketAddress
import java.net.SocketTimeoutException
import java.nio.channels.SocketChannel
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedDeque

/** A connection to another node or to an upstream. */
internal class PooledConnection(val socket: EventLoopSocket, val target: NetworkAddress, val openedAtMillis: Long) {
    val input = SocketInput(socket)

    /** True if a response to another request arrived on the connection, which must then not be reused. */
    var outOfSync = false

    /** True if an interim response has arrived since the request was sent. */
    var receivedInterim = false

    /** True if an earlier request has used the connection. */
    var reused = false

    /** Monotonic time at which the connection became idle. */
    var idleSinceMillis: Long = openedAtMillis
}

/** Time for which a probe connection has to stay open to show that its target is alive. */
private const val PROBE_WAIT_MILLIS = 15L

/** Idle connections of one traffic thread to nodes and upstreams, most recently used first. */
internal class ConnectionPool(
    private val settings: ProxySettings,
    private val loop: SocketEventLoop,
    private val clock: TrafficClock,
) {
    private val idle = ConcurrentHashMap<NetworkAddress, ConcurrentLinkedDeque<PooledConnection>>()

    /**
     * Returns a connection to [target] that has been idle for at most [maxIdleMillis], or opens one.
     *
     * Throws [SocketTimeoutException] or [java.net.ConnectException] if no connection can be opened.
     */
    suspend fun acquire(target: NetworkAddress, maxIdleMillis: Long = settings.pooledIdleMillis): PooledConnection {
        val queue = idle[target]
        while (queue != null) {
            val connection = queue.pollFirst() ?: break
            if (connection.isReusable(maxIdleMillis)) return connection.also { it.reused = true }
            connection.socket.close()
        }
        return open(target)
    }

    /** Opens a new connection; throws like [acquire]. */
    suspend fun open(target: NetworkAddress): PooledConnection {
        val socket = EventLoopSocket(SocketChannel.open(), loop)
        try {
            socket.connectOrClose(socketAddress(target), settings.connectTimeoutMillis)
        } catch (_: ConnectionTimeout) {
            throw SocketTimeoutException("no connection to $target within ${settings.connectTimeoutMillis} ms")
        }
        return PooledConnection(socket, target, clock.nowMillis())
    }

    /** True if [target] accepts a new connection and keeps it open; a crashing process may still accept one. */
    suspend fun acceptsConnections(target: NetworkAddress): Boolean =
        try {
            val probe = open(target)
            try {
                delay(PROBE_WAIT_MILLIS)
                probe.input.isIdle()
            } finally {
                probe.socket.close()
            }
        } catch (failure: IOException) {
            false
        }

    /** Returns a connection to the pool after a complete response. */
    fun release(connection: PooledConnection) {
        connection.idleSinceMillis = clock.nowMillis()
        connection.input.releaseBuffer()
        idle.compute(connection.target) { _, present ->
            val queue = present ?: ConcurrentLinkedDeque()
            if (queue.size >= settings.maxPooledPerTarget) connection.socket.close() else queue.addFirst(connection)
            queue
        }
    }

    /** Closes the idle connections to [target]; called when one of them timed out. */
    fun closeIdle(target: NetworkAddress) {
        idle.remove(target)?.forEach { it.socket.close() }
    }

    /** Closes connections that have been idle for too long, are too old or were closed by the remote side. */
    fun closeExpired() {
        idle.keys.forEach { target ->
            idle.computeIfPresent(target) { _, queue -> queue.takeUnless { it.removeUnusable() } }
        }
    }

    /**
     * Rotates the queue once, closes the unusable connections and returns true if the queue is empty.
     *
     * A connection is out of the queue while it is checked.
     */
    private fun ConcurrentLinkedDeque<PooledConnection>.removeUnusable(): Boolean {
        repeat(size) {
            val connection = pollLast() ?: return isEmpty()
            if (connection.isReusable(settings.pooledIdleMillis)) addFirst(connection) else connection.socket.close()
        }
        return isEmpty()
    }

    /** Closes all idle connections. */
    fun close() {
        idle.values.forEach { queue -> queue.forEach { it.socket.close() } }
        idle.clear()
    }

    private fun PooledConnection.isReusable(maxIdleMillis: Long): Boolean {
        val now = clock.nowMillis()
        return now - openedAtMillis < settings.connectionMaxAgeMillis && now - idleSinceMillis < maxIdleMillis &&
            input.isIdle()
    }
}

/** Parses `host:port`; the host is an IP address, so no name is resolved. */
internal fun socketAddress(address: NetworkAddress): InetSocketAddress =
    InetSocketAddress(address.value.substringBeforeLast(':').removeSurrounding("[", "]"), portOf(address))

private fun portOf(address: NetworkAddress): Int = address.value.substringAfterLast(':').toInt()
