package boragelever.node.proxy

import boragelever.core.NetworkAddress
import boragelever.node.net.ConnectionSilent
import boragelever.node.net.LoopSocket
import boragelever.node.net.SocketInput
import boragelever.node.net.SocketLoop
import kotlinx.coroutines.delay
import java.io.IOException
import java.net.InetSocketAddress
import java.net.SocketTimeoutException
import java.nio.channels.SocketChannel
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedDeque

/** A connection to a node or an upstream. */
internal class PooledConnection(val socket: LoopSocket, val target: NetworkAddress, val openedAtMillis: Long) {
    val input = SocketInput(socket)

    /** True if a response to another request arrived on it. */
    var spoiled = false

    /** True if a sign of life has arrived since the request was sent. */
    var hasShownLife = false

    /** True if an earlier call has used the connection. */
    var reused = false

    var idleSinceMillis: Long = openedAtMillis
}

/** Time for which a connection has to stay open to show that its receiver is alive. */
private const val PROBE_MILLIS = 15L

/** Unused connections of one traffic thread to nodes and upstreams, the most recently used first. */
internal class ConnectionPool(
    private val settings: ProxySettings,
    private val loop: SocketLoop,
    private val clock: TrafficClock,
) {
    private val idle = ConcurrentHashMap<NetworkAddress, ConcurrentLinkedDeque<PooledConnection>>()

    /**
     * Returns a connection to [target] that has been idle for at most [maxIdleMillis], or opens one.
     *
     * Throws [SocketTimeoutException] or [java.net.ConnectException] if none can be opened.
     */
    suspend fun obtain(target: NetworkAddress, maxIdleMillis: Long = settings.pooledIdleMillis): PooledConnection {
        val queue = idle[target]
        while (queue != null) {
            val connection = queue.pollFirst() ?: break
            if (connection.isReusable(maxIdleMillis)) return connection.also { it.reused = true }
            connection.socket.close()
        }
        return open(target)
    }

    /** Opens a new connection. */
    suspend fun open(target: NetworkAddress): PooledConnection {
        val socket = LoopSocket(SocketChannel.open(), loop)
        try {
            socket.connectOrClose(socketAddress(target), settings.connectTimeoutMillis)
        } catch (_: ConnectionSilent) {
            throw SocketTimeoutException("no connection to $target in ${settings.connectTimeoutMillis} ms")
        }
        return PooledConnection(socket, target, clock.nowMillis())
    }

    /** True if [target] accepts a new connection now and keeps it; a dying one may still accept. */
    suspend fun accepts(target: NetworkAddress): Boolean =
        try {
            val probe = open(target)
            try {
                delay(PROBE_MILLIS)
                probe.input.isSilent()
            } finally {
                probe.socket.close()
            }
        } catch (failure: IOException) {
            false
        }

    /** Takes a connection back after a whole answer. */
    fun giveBack(connection: PooledConnection) {
        connection.idleSinceMillis = clock.nowMillis()
        connection.input.trim()
        idle.compute(connection.target) { _, present ->
            val queue = present ?: ConcurrentLinkedDeque()
            if (queue.size >= settings.maxPooledPerTarget) connection.socket.close() else queue.addFirst(connection)
            queue
        }
    }

    /** Closes the unused connections to [target]; called when one of them turned out to be silent. */
    fun discard(target: NetworkAddress) {
        idle.remove(target)?.forEach { it.socket.close() }
    }

    /** Closes connections that are idle for too long. */
    fun sweep() {
        idle.keys.forEach { target ->
            idle.computeIfPresent(target) { _, queue -> queue.takeUnless { it.closeUnusable() } }
        }
    }

    /** Turns the queue once around and returns true if nothing is left. Each connection is taken out while checked. */
    private fun ConcurrentLinkedDeque<PooledConnection>.closeUnusable(): Boolean {
        repeat(size) {
            val connection = pollLast() ?: return isEmpty()
            if (connection.isReusable(settings.pooledIdleMillis)) addFirst(connection) else connection.socket.close()
        }
        return isEmpty()
    }

    fun close() {
        idle.values.forEach { queue -> queue.forEach { it.socket.close() } }
        idle.clear()
    }

    private fun PooledConnection.isReusable(maxIdleMillis: Long): Boolean {
        val now = clock.nowMillis()
        return now - openedAtMillis < settings.connectionMaxAgeMillis && now - idleSinceMillis < maxIdleMillis &&
            input.isSilent()
    }
}

/** Parses `host:port`; hosts are IP numbers, so no name is looked up. */
internal fun socketAddress(address: NetworkAddress): InetSocketAddress =
    InetSocketAddress(address.value.substringBeforeLast(':').removeSurrounding("[", "]"), portOf(address))

private fun portOf(address: NetworkAddress): Int = address.value.substringAfterLast(':').toInt()
