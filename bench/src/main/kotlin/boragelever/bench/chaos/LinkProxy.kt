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
private const val PIECE_BYTES = 16_384
private const val BACKLOG = 128

/**
 * Carries the connections between nodes and spoils them as it is told.
 *
 * Arguments: control port, then `node,listen,target` for each port of a node that others reach through the proxy. A
 * command is the body of a POST to `/links/NODE` on the control port.
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
                val chosen = links[NodeId(call.parameters["node"].orEmpty())]
                if (command == null || chosen == null) {
                    call.respondText("no such node or command\n", status = HttpStatusCode.BadRequest)
                } else {
                    chosen.execute(command)
                    call.respondText("done\n")
                }
            }
        }
    }.start(wait = true)
}

private fun socketAddress(text: String): InetSocketAddress =
    InetSocketAddress(text.substringBeforeLast(':'), text.substringAfterLast(':').toInt())

/** Hands each connection of [server] to [serve] until the server is closed. */
internal fun acceptAll(server: ServerSocket, serve: (Socket) -> Unit) {
    while (true) {
        val socket = try {
            server.accept()
        } catch (closed: SocketException) {
            if (server.isClosed) return
            throw closed
        }
        serve(socket)
    }
}

/** The connections to one node, with the condition that they share. */
internal class NodeLinks {
    /** Guards the fields below. */
    private val lock = ReentrantLock()

    /** Wakes pieces that wait when one of the fields changes. */
    private val changed = lock.newCondition()
    private var condition: LinkCondition = LinkCondition.Open
    private val open = mutableSetOf<Link>()

    private class Link(val caller: Socket, val node: Socket) {
        var silenced = false
        var endedDirections = 0

        fun close() {
            caller.close()
            node.close()
        }
    }

    /** Takes connections on [listen] and carries them to [target] until the process ends. */
    fun listen(listen: InetSocketAddress, target: InetSocketAddress): ServerSocket {
        val server = ServerSocket(listen.port, BACKLOG, listen.address)
        thread(isDaemon = true, name = "accept-$listen") { acceptAll(server) { carry(it, target) } }
        return server
    }

    fun execute(command: LinkCommand) {
        lock.withLock {
            when (command) {
                is LinkCommand.Put -> condition = command.condition
                is LinkCommand.Reset -> open.toList().forEach { reset(it) }
                is LinkCommand.Silence -> open.forEach { it.silenced = true }
            }
            changed.signalAll()
        }
    }

    /** A node that is down refuses the connection, which the caller sees as a reset. */
    private fun carry(caller: Socket, target: InetSocketAddress) {
        val node = Socket()
        try {
            node.connect(target)
        } catch (_: IOException) {
            caller.setSoLinger(true, 0)
            caller.close()
            return
        }
        caller.tcpNoDelay = true
        node.tcpNoDelay = true
        val link = Link(caller, node)
        lock.withLock { open += link }
        thread(isDaemon = true) { pass(link, caller, node, LinkDirection.TO_NODE) }
        thread(isDaemon = true) { pass(link, node, caller, LinkDirection.FROM_NODE) }
    }

    private fun pass(link: Link, from: Socket, to: Socket, direction: LinkDirection) {
        val piece = ByteArray(PIECE_BYTES)
        try {
            var count = from.getInputStream().read(piece)
            while (count >= 0) {
                awaitPassage(link, direction)
                to.getOutputStream().write(piece, 0, count)
                count = from.getInputStream().read(piece)
            }
            awaitPassage(link, direction)
            to.shutdownOutput()
            lock.withLock { ended(link) }
        } catch (_: IOException) {
            // The end of one side ends the other, as on a real connection.
            lock.withLock { reset(link) }
        }
    }

    private fun ended(link: Link) {
        link.endedDirections += 1
        if (link.endedDirections < LinkDirection.entries.size) return
        link.close()
        open -= link
    }

    private fun awaitPassage(link: Link, direction: LinkDirection) {
        var delayMillis: Long? = null
        lock.withLock {
            while (delayMillis == null) {
                if (link.caller.isClosed) throw IOException("the connection was reset")
                when (val passage = condition.passage(direction, link.silenced)) {
                    is Passage.Goes -> delayMillis = passage.afterMillis
                    is Passage.Waits -> changed.await()
                }
            }
        }
        Thread.sleep(delayMillis ?: 0)
    }

    private fun reset(link: Link) {
        listOf(link.caller, link.node).filter { !it.isClosed }.forEach { it.setSoLinger(true, 0) }
        link.close()
        open -= link
        changed.signalAll()
    }
}
