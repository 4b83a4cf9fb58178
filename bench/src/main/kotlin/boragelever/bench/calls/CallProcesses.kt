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

/** Child process of the benchmark. */
internal class CallProcess(private val process: Process) {
    private val pid = process.pid()

    /** Resident memory in KiB, or 0 if the operating system does not provide it. */
    fun residentKib(): Long =
        try {
            File("/proc/$pid/status").readLines().firstOrNull { it.startsWith("VmRSS:") }
                ?.filter { it.isDigit() }?.toLongOrNull() ?: 0
        } catch (failure: IOException) {
            0
        }

    /** CPU time used so far in microseconds, or 0 if the operating system does not provide it. */
    fun cpuMicros(): Long = process.toHandle().info().totalCpuDuration().map { it.toNanos() / 1_000 }.orElse(0)

    fun stop() {
        process.destroy()
        if (!process.waitFor(STOP_SECONDS, TimeUnit.SECONDS)) process.destroyForcibly()
    }
}

/**
 * Starts the first hop, the last hop, its upstream and the platform stand-in, each in a separate process.
 *
 * @param program path of the built `boragelever` executable; the nodes run with the same flags as deployed nodes.
 * @param profiles directory for recordings of the JDK's flight recorder, or `null` to record nothing.
 */
internal class CallProcesses(program: Path, profiles: Path? = null) : AutoCloseable {
    private val directory = Files.createTempDirectory("callbench")
    private val folder = Files.createDirectory(directory.resolve("folder"))
    private val ports = freePorts(10)
    private val processes = mutableListOf<CallProcess>()
    private val launcher = Launcher(program, directory, profiles)

    val firstHop: CallProcess
    val lastHop: CallProcess
    val upstream: CallProcess

    /** Calls that go to the upstream directly, without a node. */
    val direct = CallTarget("direct", ports[8])

    /** Calls that go to the last hop, with the headers that a first hop sends. */
    val lastHopOnly = CallTarget(
        "last hop",
        ports[5],
        headers = mapOf("boragelever-instance" to INSTANCE, "boragelever-attempts-left" to "1"),
    )

    /** Calls that pass through the first hop and the last hop. */
    val mesh = CallTarget("mesh", ports[0])

    /** Calls that pass through a single node, which is both first and last hop. */
    val oneNode = CallTarget("one node", ports[4])

    init {
        Files.writeString(folder.resolve("10-bench.yaml"), CONFIGURATION)
        start("platform", "--listen", "127.0.0.1:${ports[9]}")
        firstHop = startNode("caller", "a", 0)
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
        processes.asReversed().forEach { it.stop() }
        directory.toFile().deleteRecursively()
    }

    private fun startNode(name: String, zone: String, firstPort: Int): CallProcess =
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
            "${ports[firstPort]}",
            "--hop-port",
            "${ports[firstPort + 1]}",
            "--peer-port",
            "${ports[firstPort + 2]}",
            "--admin-port",
            "${ports[firstPort + 3]}",
        )

    private fun start(vararg arguments: String): CallProcess =
        launcher.start(arguments.toList()).also { processes += it }

    private fun awaitReady() {
        val deadlineNanos = System.nanoTime() + START_TIMEOUT_MILLIS * 1_000_000
        val targets = listOf(direct, lastHopOnly, mesh, oneNode)
        while (targets.any { callOnce(it) != HTTP_OK }) {
            if (System.nanoTime() > deadlineNanos) {
                val states = targets.map { "${it.name}: ${callOnce(it)}" }
                close()
                error("bench processes are not ready after $START_TIMEOUT_MILLIS ms; last status of each path: $states")
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
