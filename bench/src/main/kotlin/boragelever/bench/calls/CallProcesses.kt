package boragelever.bench.calls

import java.io.File
import java.io.IOException
import java.net.ServerSocket
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit

private const val START_TIMEOUT_MILLIS = 20_000L
private const val POLL_MILLIS = 100L
private const val STOP_SECONDS = 5L
private const val HTTP_OK = 200
private const val INSTANCE = "scanhub-0"
private const val CONFIGURATION = """services:
  scanhub: {}
routes:
  scans: {path_prefix: /scans, destinations: {scanhub: 1}}
"""

/** A child process of the benchmark. */
internal class CallProcess(private val process: Process) {
    private val id = process.pid()

    /** Resident memory in KiB, or 0 if the system does not tell. */
    fun residentKib(): Long =
        try {
            File("/proc/$id/status").readLines().firstOrNull { it.startsWith("VmRSS:") }
                ?.filter { it.isDigit() }?.toLongOrNull() ?: 0
        } catch (failure: IOException) {
            0
        }

    /** Processor time used so far in microseconds. */
    fun cpuMicros(): Long = process.toHandle().info().totalCpuDuration().map { it.toNanos() / 1_000 }.orElse(0)

    fun stop() {
        process.destroy()
        if (!process.waitFor(STOP_SECONDS, TimeUnit.SECONDS)) process.destroyForcibly()
    }
}

/**
 * A calling node, a node beside an upstream, the upstream and the platform, each in a process of its own.
 *
 * @param program the built `boragelever`, which starts its nodes with the flags of a deployed node.
 * @param profiles directory for recordings of the JDK's flight recorder, or `null` for none.
 */
internal class CallProcesses(program: Path, profiles: Path? = null) : AutoCloseable {
    private val directory = Files.createTempDirectory("callbench")
    private val folder = Files.createDirectory(directory.resolve("folder"))
    private val ports = freePorts(10)
    private val started = mutableListOf<CallProcess>()
    private val launcher = Launcher(program, directory, profiles)

    val caller: CallProcess
    val lastHop: CallProcess
    val upstream: CallProcess

    /** The upstream without a node. */
    val direct = CallTarget("direct", ports[8])

    /** The last hop, called as a calling node would. */
    val hopOnly = CallTarget(
        "last hop",
        ports[5],
        headers = mapOf("boragelever-instance" to INSTANCE, "boragelever-attempts-left" to "1"),
    )

    /** A calling node and the last hop. */
    val mesh = CallTarget("mesh", ports[0])

    /** One node that is both: the upstream is beside the calling node. */
    val oneNode = CallTarget("one node", ports[4])

    init {
        Files.writeString(folder.resolve("10-bench.yaml"), CONFIGURATION)
        start("platform", "--listen", "127.0.0.1:${ports[9]}")
        caller = startNode("caller", "a", 0)
        lastHop = startNode("hop", "b", 4)
        val admin = "127.0.0.1:${ports[7]}"
        upstream = start(
            "upstream",
            "--service",
            "scanhub",
            "--instance",
            INSTANCE,
            "--admin",
            admin,
            "--listen",
            "127.0.0.1:${ports[8]}",
            "--slots",
            "130",
        )
        awaitReady()
    }

    override fun close() {
        started.asReversed().forEach { it.stop() }
        directory.toFile().deleteRecursively()
    }

    private fun startNode(name: String, zone: String, first: Int): CallProcess =
        start(
            "node",
            "--node",
            name,
            "--region",
            "khomas",
            "--zone",
            zone,
            "--folder",
            folder.toString(),
            "--platform",
            "127.0.0.1:${ports[9]}",
            "--proxy-port",
            "${ports[first]}",
            "--hop-port",
            "${ports[first + 1]}",
            "--peer-port",
            "${ports[first + 2]}",
            "--admin-port",
            "${ports[first + 3]}",
        )

    private fun start(vararg arguments: String): CallProcess =
        launcher.start(arguments.toList()).also { started += it }

    private fun awaitReady() {
        val end = System.nanoTime() + START_TIMEOUT_MILLIS * 1_000_000
        val targets = listOf(direct, hopOnly, mesh, oneNode)
        while (targets.any { tryCall(it) != HTTP_OK }) {
            if (System.nanoTime() > end) {
                val states = targets.map { "${it.name}: ${tryCall(it)}" }
                close()
                error("the processes are not ready after $START_TIMEOUT_MILLIS ms ($states)")
            }
            Thread.sleep(POLL_MILLIS)
        }
    }
}

private class Launcher(private val program: Path, private val directory: Path, private val profiles: Path?) {
    fun start(arguments: List<String>): CallProcess {
        val log = directory.resolve("${arguments[0]}-${System.nanoTime()}.log").toFile()
        val command = listOf(program.toAbsolutePath().toString()) + arguments + listOf("--log-level", "warn")
        val builder = ProcessBuilder(command).redirectErrorStream(true).redirectOutput(log)
        profiles?.let { directory ->
            val file = directory.toAbsolutePath().resolve("${arguments[0]}-${arguments[2]}.jfr")
            builder.environment()["JAVA_TOOL_OPTIONS"] = "-XX:StartFlightRecording=filename=$file,settings=profile"
        }
        return CallProcess(builder.start())
    }
}

private fun freePorts(count: Int): List<Int> {
    val sockets = List(count) { ServerSocket(0) }
    return sockets.map { it.localPort }.also { sockets.forEach { it.close() } }
}
