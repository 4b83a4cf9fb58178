package boragelever.bench.stop

import boragelever.platform.READY_PATH
import boragelever.standin.PlatformRequest
import boragelever.standin.PlatformStandIn
import java.io.IOException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.io.path.appendText
import kotlin.io.path.readLines
import kotlin.io.path.readText
import kotlin.io.path.writeText

private const val READY_LIMIT_MILLIS = 30_000L
private const val READY_POLL_MILLIS = 50L
private const val CONNECT_TIMEOUT_MILLIS = 1_000
private const val EXIT_LIMIT_SECONDS = 5L
private const val PROCESS_ID_RANGE = 200
private const val FIRST_OCTET = 20

/** Time from SIGTERM to SIGKILL that the settings of the nodes state. */
internal const val GRACE_MILLIS = 6_000L

/** Ports that are the same on all machines. */
internal class Ports private constructor(private val free: List<Int>) {
    val outbound: Int get() = free[0]
    val inbound: Int get() = free[1]
    val ready: Int get() = free[2]
    val control: Int get() = free[3]
    val peer: Int get() = free[4]
    val instance: Int get() = free[5]

    companion object {
        private const val COUNT = 6

        /** Finds free ports; all are held until the last one is found, so that none is found twice. */
        fun find(): Ports {
            val sockets = List(COUNT) { ServerSocket(0, 1, InetAddress.getLoopbackAddress()) }
            val ports = sockets.map { it.localPort }
            sockets.forEach { it.close() }
            return Ports(ports)
        }
    }
}

/** A machine on an own loopback address: a node process, started as the deploy file says, and room for an instance. */
internal class Machine(val name: String, val ip: String, val service: String, val ports: Ports) {
    var process: Process? = null

    fun address(port: Int): InetSocketAddress = InetSocketAddress(ip, port)

    /** Sends SIGTERM to the node. */
    fun terminate() {
        process?.destroy()
    }

    fun isReady(): Boolean =
        try {
            connect(address(ports.ready)).use { socket ->
                socket.getOutputStream().write("GET $READY_PATH HTTP/1.1\r\nHost: n\r\n\r\n".encodeToByteArray())
                readHttpHead(socket.getInputStream())?.status == HTTP_OK
            }
        } catch (_: IOException) {
            false
        }

    fun acceptsCalls(): Boolean =
        try {
            connect(address(ports.outbound)).close()
            true
        } catch (_: IOException) {
            false
        }
}

internal fun connect(address: InetSocketAddress): Socket {
    val socket = Socket()
    socket.tcpNoDelay = true
    socket.connect(address, CONNECT_TIMEOUT_MILLIS)
    return socket
}

/** Machines with real node processes and a stand-in for the platform's store, on loopback. */
internal class StopMesh(private val folder: Path, names: List<Pair<String, String>>) : AutoCloseable {
    private val ports = Ports.find()
    private val prefix =
        "127.${FIRST_OCTET + (ProcessHandle.current().pid() % PROCESS_ID_RANGE)}.${System.nanoTime() / 1_000 % 250 + 1}"
    private val platform = PlatformStandIn(host = "$prefix.250")
    val machines = names.mapIndexed { index, (name, service) -> Machine(name, "$prefix.${index + 1}", service, ports) }

    init {
        platform.submit(PlatformRequest.WriteOperatorConfig(OPERATOR_CONFIG))
    }

    fun start(machine: Machine) {
        val settings = folder.resolve("${machine.name}.settings")
        settings.writeText(render(Path.of(deployField("template")).readText(), machine))
        val builder = ProcessBuilder(deployField("run").split(' '))
        builder.environment()["BORAGELEVER_CONFIG"] = settings.toString()
        builder.redirectErrorStream(true)
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve("${machine.name}.log").toFile()))
        machine.process = builder.start()
    }

    fun awaitReady() {
        val endMillis = System.currentTimeMillis() + READY_LIMIT_MILLIS
        while (!machines.all { it.isReady() }) {
            check(System.currentTimeMillis() < endMillis) { "the nodes were not ready in $READY_LIMIT_MILLIS ms" }
            Thread.sleep(READY_POLL_MILLIS)
        }
    }

    fun record(line: String) = folder.resolve("record.txt").also { if (!Files.exists(it)) it.writeText("") }
        .appendText(line + "\n")

    override fun close() {
        machines.forEach { it.process?.destroyForcibly() }
        machines.forEach { it.process?.waitFor(EXIT_LIMIT_SECONDS, TimeUnit.SECONDS) }
        platform.close()
    }

    private fun render(template: String, machine: Machine): String {
        val values = mapOf(
            "node" to "sidecar-${machine.name}",
            "region" to "r1",
            "zone" to "r1-a",
            "provider.address" to platform.address.value,
            "ip" to machine.ip,
            "listen.outbound" to "${machine.ip}:${ports.outbound}",
            "listen.inbound" to "${machine.ip}:${ports.inbound}",
            "listen.ready" to "${machine.ip}:${ports.ready}",
            "listen.control" to "${machine.ip}:${ports.control}",
            "heartbeat" to "1000ms",
            "portRange.0" to ports.peer.toString(),
            "service" to machine.service,
            "bounds.grace" to "${GRACE_MILLIS}ms",
            "bounds.retrySlack" to "64",
            "bounds.retryRatio" to "0.2",
        )
        return Regex("\\{\\{([^}]*)}}").replace(template) { values[it.groupValues[1]].orEmpty() }
    }

    private fun deployField(name: String): String =
        Path.of("deploy/system.toml").readLines().first { it.startsWith("$name = \"") }.substringAfter('"')
            .substringBeforeLast('"')
}

/** Routes of the run: calls of a few hundred milliseconds, and long ones up to the timeout. */
private const val OPERATOR_CONFIG =
    """{"version":5,"routes":[{"name":"book","host":"shop.example","pathPrefix":"/book/","kind":"non_idempotent",
    "timeout":"4s","slo":"500ms","priority":1,"service":"records","attempts":2}],
    "services":[{"name":"front","healthPath":"/health","maxConns":130},
    {"name":"records","healthPath":"/health","maxConns":130}],
    "limits":{"maxHeaderBytes":16384,"maxBodyBytes":8388608,"headerTimeout":"3000ms","idleTimeout":"15000ms"}}"""
