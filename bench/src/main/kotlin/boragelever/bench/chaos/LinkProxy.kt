package boragelever.bench.chaos

import boragelever.core.NodeId
import io.ktor.http.HttpStatusCode
import io.ktor.server.cio.CIO
import io.ktor.server.engine.embeddedServer
import io.ktor.server.request.receiveText
import io.ktor.server.response.respondText
import io.ktor.server.routing.post
import io.ktor.server.routing.routing
import java.io.IOException
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.thread
import kotlin.concurrent.withLock
import kotlin.system.exitProcess

private const val USAGE_EXIT_CODE = 2
private const val BUFFER_BYTES = 16_384
private const val BACKLOG = 128

/**
 * A TCP proxy between nodes that injects network faults.
 *
 * Arguments: control port, then `node,listen,target` for each port of a node that other nodes reach through the proxy.
 * A command ([parseLinkCommand]) is the body of a POST to `/links/NODE` on the control port.
 */
internal fun main(arguments: Array<String>) {
    if (arguments.size < 2) {
        System.err.println("usage: LinkProxy CONTROL_PORT NODE,LISTEN,TARGET...")
        exitProcess(USAGE_EXIT_CODE)
    }
    val links = ConcurrentHashMap<NodeId, NodeLinks>()
    arguments.drop(1).map { it.split(',') }.forEach { (node, listen, target) ->
        links.computeIfAbsent(NodeId(node)) { NodeLinks() }.listen(socketAddress(listen), socketAddress(target))
    }
    embeddedServer(CIO, port = arguments.first().toInt(), host = "127.0.0.1") {
        routing {
            post("/links/{node}") {
                val command = parseLinkCommand(call.receiveText())
                val nodeLinks = links[NodeId(call.parameters["node"].orEmpty())]
                if (command == null || nodeLinks == null) {
                    call.respondText(
                        "unknown node or command; see LinkCondition.kt for the commands\n",
                        status = HttpStatusCode.BadRequest,
                    )
                } else {
                    nodeLinks.execute(command)
                    call.respondText("done\n")
                }
            }
        }
    }.start(wait = true)
}

private fun socketAddress(text: String): InetSocketAddress =
    InetSocketAddress(text.substringBeforeLast(':'), text.substringAfterLast(':').toInt())

/** Passes each connection that [server] accepts to [handle] until the server is closed. */
internal fun acceptAll(server: ServerSocket, handle: (Socket) -> Unit) {
    while (true) {
        val socket = try {
            server.accept()
        } catch (closed: SocketException) {
            if (server.isClosed) return
            throw closed
        }
        handle(socket)
    }
}

/** The connections to one node and the condition that they share. */
internal class NodeLinks {
    /** Guards the fields below. */
    private val lock = ReentrantLock()

    /** Signalled when one of the fields changes; wakes the threads that hold bytes back. */
    private val stateChanged = lock.newCondition()
    private var condition: LinkCondition = LinkCondition.Open
    private val openLinks = mutableSetOf<Link>()

    private class Link(val client: Socket, val node: Socket) {
        var silenced = false
        var closedDirections = 0

        fun close() {
            client.close()
            node.close()
        }
    }

    /** Accepts connections on [address] and forwards them to [target] until the returned socket is closed. */
    fun listen(address: InetSocketAddress, target: InetSocketAddress): ServerSocket {
        val server = ServerSocket(address.port, BACKLOG, address.address)
        thread(isDaemon = true, name = "accept-$address") { acceptAll(server) { connect(it, target) } }
        return server
    }

    fun execute(command: LinkCommand) {
        lock.withLock {
            when (command) {
                is LinkCommand.SetCondition -> condition = command.condition
                is LinkCommand.Reset -> openLinks.toList().forEach { reset(it) }
                is LinkCommand.Silence -> openLinks.forEach { it.silenced = true }
            }
            stateChanged.signalAll()
        }
    }

    /** Connects [client] to [target]. If the node is down and refuses, the client gets a reset. */
    private fun connect(client: Socket, target: InetSocketAddress) {
        val node = Socket()
        try {
            node.connect(target)
        } catch (_: IOException) {
            client.setSoLinger(true, 0)
            client.close()
            return
        }
        client.tcpNoDelay = true
        node.tcpNoDelay = true
        val link = Link(client, node)
        lock.withLock { openLinks += link }
        thread(isDaemon = true) { copy(link, client, node, LinkDirection.TO_NODE) }
        thread(isDaemon = true) { copy(link, node, client, LinkDirection.FROM_NODE) }
    }

    private fun copy(link: Link, from: Socket, to: Socket, direction: LinkDirection) {
        val buffer = ByteArray(BUFFER_BYTES)
        try {
            var count = from.getInputStream().read(buffer)
            while (count >= 0) {
                awaitForwarding(link, direction)
                to.getOutputStream().write(buffer, 0, count)
                count = from.getInputStream().read(buffer)
            }
            awaitForwarding(link, direction)
            to.shutdownOutput()
            lock.withLock { recordEnd(link) }
        } catch (_: IOException) {
            // A failure of one side resets the other, as on a direct connection.
            lock.withLock { reset(link) }
        }
    }

    private fun recordEnd(link: Link) {
        link.closedDirections += 1
        if (link.closedDirections < LinkDirection.entries.size) return
        link.close()
        openLinks -= link
    }

    private fun awaitForwarding(link: Link, direction: LinkDirection) {
        var delayMillis: Long? = null
        lock.withLock {
            while (delayMillis == null) {
                if (link.client.isClosed) throw IOException("the proxied connection was reset")
                when (val decision = condition.transferDecision(direction, link.silenced)) {
                    is TransferDecision.Forward -> delayMillis = decision.afterMillis
                    is TransferDecision.HoldBack -> stateChanged.await()
                }
            }
        }
        Thread.sleep(delayMillis ?: 0)
    }

    private fun reset(link: Link) {
        listOf(link.client, link.node).filter { !it.isClosed }.forEach { it.setSoLinger(true, 0) }
        link.close()
        openLinks -= link
        stateChanged.signalAll()
    }
}
