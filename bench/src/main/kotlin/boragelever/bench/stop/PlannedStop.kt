package boragelever.bench.stop

import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.system.exitProcess

/** Time after the last byte of a request within which its connection may end without an answer if it was not run. */
private const val LOSS_SLACK_MILLIS = 200L

/** Part of the grace at whose end an instance may still be at work on a request without the node being at fault. */
private const val LAST_SIXTH_MILLIS = GRACE_MILLIS / 6

/** Time after the signal up to which callers may have sent a request that is cut in the last sixth. */
private const val LATE_SENDING_MILLIS = 3_000L
private const val RUN_UP_MILLIS = 2_000L
private const val CALLERS_PER_KIND = 3
private const val START_POLL_MILLIS = 2L

/** Statuses that promise that the request has not run and never will. */
private val NOT_RUN = setOf(408, 421, 429, 503)

/** A way of stopping a node; [signal] sends the signals, right after [prepare], and returns the stopped node. */
private class StopCase(
    val name: String,
    val prepare: (StopMesh) -> Unit = {},
    val signal: (StopMesh) -> Machine,
)

/** What is wrong with a request, and its record. */
private class Violation(val text: String, val call: CallRecord)

private val CASES = listOf(
    StopCase("the node that takes the calls") { it.machines[0].also(Machine::terminate) },
    StopCase("the node beside an instance, while another node takes the calls") {
        it.machines[1].also(Machine::terminate)
    },
    StopCase("two signals, one second apart") { mesh ->
        mesh.machines[0].also {
            it.terminate()
            Thread.sleep(1_000)
            it.terminate()
        }
    },
    StopCase("a node that has just been started", ::restartFirst) { it.machines[0].also(Machine::terminate) },
)

private fun restartFirst(mesh: StopMesh) {
    val machine = mesh.machines[0]
    machine.process?.destroyForcibly()?.waitFor()
    mesh.start(machine)
    while (!machine.acceptsCalls()) Thread.sleep(START_POLL_MILLIS)
}

/**
 * Stops node processes by SIGTERM while callers send bookings, and checks that none is cut or runs twice.
 *
 * Arguments: the folder for logs and the seed. Exit codes: 0 promises kept, 1 violated.
 */
internal fun main(arguments: Array<String>) {
    val folder = Path.of(arguments[0])
    val seed = arguments[1].toLong()
    val violations = CASES.withIndex().sumOf { (index, case) ->
        play(case, folder.resolve("case-$index"), seed + index)
    }
    exitProcess(if (violations == 0) 0 else 1)
}

private fun play(case: StopCase, folder: Path, seed: Long): Int {
    Files.createDirectories(folder)
    val runs = ConcurrentHashMap<String, MutableList<Run>>()
    val calls = ConcurrentLinkedQueue<CallRecord>()
    StopMesh(folder, listOf("a" to "front", "b" to "records", "c" to "records")).use { mesh ->
        val instances = mesh.machines.map { StopInstance(it, runs) }
        mesh.machines.forEach { mesh.start(it) }
        mesh.awaitReady()
        val callers = Sending.entries.flatMap { sending ->
            List(CALLERS_PER_KIND) { StopCaller(mesh.machines[0], sending, calls, seed * CALLERS_PER_KIND + it) }
        }
        callers.forEach { thread(isDaemon = true, block = it::run) }
        Thread.sleep(RUN_UP_MILLIS)
        case.prepare(mesh)
        val signalledMillis = System.currentTimeMillis()
        val stopped = case.signal(mesh)
        val exited = stopped.process?.waitFor(GRACE_MILLIS, TimeUnit.MILLISECONDS) ?: true
        val exitMillis = System.currentTimeMillis() - signalledMillis
        stopped.process?.destroyForcibly()
        callers.forEach { it.stop() }
        Thread.sleep(RUN_UP_MILLIS)
        instances.forEach { it.close() }
        val checked = calls.filter { it.endMillis >= signalledMillis }
        val violations = checked.flatMap { violationsOf(it, runs[it.requestId].orEmpty(), signalledMillis) }
        violations.forEach {
            mesh.record(
                "${it.call.requestId}: ${it.text}; sent ${it.call.sentMillis - signalledMillis} ms and ended " +
                    "${it.call.endMillis - signalledMillis} ms after the signal: ${it.call.failure ?: it.call.status}",
            )
        }
        val served = checked.count { it.status == HTTP_OK }
        val refused = checked.count { it.status in NOT_RUN }
        println(
            "${case.name}: ${checked.size} calls after the signal, $served served, $refused refused as not run, " +
                "${violations.size} violations, exit after $exitMillis ms" + if (exited) "" else " by SIGKILL",
        )
        return violations.size + if (exited) 0 else 1
    }
}

private fun violationsOf(call: CallRecord, runs: List<Run>, signalledMillis: Long): List<Violation> {
    val isCut = call.status == 0
    val wasPassedOn = runs.isNotEmpty()
    val texts = listOfNotNull(
        "ran ${runs.size} times".takeIf { runs.size > 1 },
        "ran, but was refused as not run".takeIf { call.status in NOT_RUN && wasPassedOn },
        "passed on and cut".takeIf { isCut && wasPassedOn && !isExcused(call, runs, signalledMillis) },
        "read and cut".takeIf {
            isCut && !wasPassedOn && call.endMillis - call.sentMillis > LOSS_SLACK_MILLIS
        },
        "broken off".takeIf {
            call.status >= SERVER_ERROR && call.status !in NOT_RUN && wasPassedOn &&
                !isExcused(call, runs, signalledMillis)
        },
    )
    return texts.map { Violation(it, call) }
}

private const val SERVER_ERROR = 500

/** True if the instance was still at work in the last sixth of the grace, or the deadline had been reached. */
private fun isExcused(call: CallRecord, runs: List<Run>, signalledMillis: Long): Boolean {
    val lastSixthMillis = signalledMillis + GRACE_MILLIS - LAST_SIXTH_MILLIS
    val wasAtWork = runs.any { (it.endMillis ?: Long.MAX_VALUE) >= lastSixthMillis }
    val isInLastSixth = call.endMillis >= lastSixthMillis && wasAtWork &&
        call.sentMillis <= signalledMillis + LATE_SENDING_MILLIS
    return isInLastSixth || call.endMillis - call.sentMillis >= DEADLINE_REACHED_MILLIS
}

/** The deadline of the calls and the timeout of their route, less the time that a request is under way. */
private const val DEADLINE_REACHED_MILLIS = 3_900L
