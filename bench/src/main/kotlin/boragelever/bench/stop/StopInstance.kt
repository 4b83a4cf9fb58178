package boragelever.bench.stop

import boragelever.platform.HEARTBEAT_PATH
import boragelever.platform.platformHeaderNames
import java.io.BufferedInputStream
import java.io.IOException
import java.io.OutputStream
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread

private const val BACKLOG = 200
private const val SLOTS = 64
private const val HEARTBEAT_MILLIS = 1_000L
private const val PIECES = 4

/** Begin and end of a run of a request; [endMillis] is `null` while it runs. */
internal class Run(val instance: String, val startMillis: Long) {
    @Volatile
    var endMillis: Long? = null
}

/** Stand-in for the application instance of a machine; the path of a request says how long it runs. */
internal class StopInstance(private val machine: Machine, val runs: ConcurrentHashMap<String, MutableList<Run>>) :
    AutoCloseable {
    private val id = "i-${machine.name}"
    private val bornMillis = System.currentTimeMillis()
    private val sequence = AtomicLong()
    private val listener = ServerSocket()

    @Volatile
    private var isOpen = true

    init {
        listener.reuseAddress = true
        listener.bind(machine.address(machine.ports.instance), BACKLOG)
        thread(isDaemon = true) { acceptAll() }
        thread(isDaemon = true) { sendHeartbeats() }
    }

    override fun close() {
        isOpen = false
        listener.close()
    }

    private fun sendHeartbeats() {
        while (isOpen) {
            try {
                sendHeartbeat()
            } catch (_: IOException) {
                // The node is not running; the next heartbeat may reach it again.
            }
            Thread.sleep(HEARTBEAT_MILLIS)
        }
    }

    private fun sendHeartbeat() {
        val address = "${machine.ip}:${machine.ports.instance}"
        val number = sequence.incrementAndGet()
        val body = """{"service":"${machine.service}","address":"$address","zone":"r1-a","version":"v1",""" +
            """"slots":$SLOTS,"state":"ready","seq":$number,"born":$bornMillis}"""
        connect(machine.address(machine.ports.control)).use { socket ->
            socket.soTimeout = HEARTBEAT_MILLIS.toInt()
            val head = "POST $HEARTBEAT_PATH$id HTTP/1.1\r\nHost: n\r\nConnection: close\r\n" +
                "Content-Type: application/json\r\nContent-Length: ${body.length}\r\n\r\n"
            socket.getOutputStream().write((head + body).encodeToByteArray())
            readHttpHead(socket.getInputStream())
        }
    }

    private fun acceptAll() {
        try {
            while (isOpen) listener.accept().let { socket -> thread(isDaemon = true) { serve(socket) } }
        } catch (_: IOException) {
            // The listener was closed.
        }
    }

    private fun serve(socket: Socket) {
        try {
            socket.use {
                val input = BufferedInputStream(it.getInputStream())
                while (true) {
                    val head = readHttpHead(input) ?: return
                    readHttpBody(input, head)
                    run(head, it.getOutputStream())
                }
            }
        } catch (_: IOException) {
            // The node closed the connection.
        }
    }

    private fun run(head: HttpHead, output: OutputStream) {
        val requestId = head[platformHeaderNames.requestIdHeader.orEmpty()].orEmpty()
        val path = head.firstLine.split(' ')[1].split('/')
        val run = Run(id, System.currentTimeMillis())
        runs.computeIfAbsent(requestId) { mutableListOf() }.also { synchronized(it) { it += run } }
        try {
            respond(requestId, path[2], path[3].toLong(), output)
        } finally {
            run.endMillis = System.currentTimeMillis()
        }
    }

    /** Responds after [workMillis], or in pieces that take so long together. */
    private fun respond(requestId: String, kind: String, workMillis: Long, output: OutputStream) {
        val head = "HTTP/1.1 200 OK\r\n${platformHeaderNames.requestIdHeader}: $requestId\r\n" +
            "${platformHeaderNames.signatureHeader}: seal.$requestId\r\n"
        val piece = "x".repeat(PIECE_BYTES)
        if (kind == "stream") {
            output.write("${head}Content-Length: ${PIECES * PIECE_BYTES}\r\n\r\n".encodeToByteArray())
            repeat(PIECES) {
                Thread.sleep(workMillis / PIECES)
                output.write(piece.encodeToByteArray())
            }
        } else {
            Thread.sleep(workMillis)
            output.write("${head}Content-Length: $PIECE_BYTES\r\n\r\n$piece".encodeToByteArray())
        }
    }

    private companion object {
        const val PIECE_BYTES = 1_000
    }
}
