package boragelever.bench.chaos

import boragelever.core.NetworkAddress
import boragelever.core.NodeId
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.system.exitProcess

private const val USAGE_EXIT_CODE = 2
private const val DEPENDENCY_EXIT_CODE = 3
private const val CALLS_PER_SECOND = 100
private const val POLL_INTERVAL_MILLIS = 100L

/** Time-out for the last edit to reach all nodes; after the last fault it may first have to wait for a lease. */
private const val LAST_EDIT_TIMEOUT_MILLIS = 25_000L

/** Command-line arguments: the addresses of the nodes and the directory shared with `chaos/run`. */
internal class ChaosArguments(
    val directory: Path,
    val seed: Long,
    /** Time-out for the end of the faults. */
    val faultTimeoutMillis: Long,
    val nodes: List<ChaosNode>,
) {
    val folder: Path get() = directory.resolve("folder")
    val faults: Path get() = directory.resolve("faults")
    val startedMarker: Path get() = directory.resolve("load-started")
}

/**
 * Sends calls to the nodes and edits the folder while `chaos/run` applies faults, then checks the promises and prints
 * the report.
 *
 * Arguments: directory of the run, seed, time-out for the faults in seconds, then `node,proxy,admin` for each node.
 */
internal fun main(arguments: Array<String>) {
    if (arguments.size < 4) {
        System.err.println("usage: ChaosLoad DIRECTORY SEED SECONDS NODE,PROXY,ADMIN...")
        exitProcess(USAGE_EXIT_CODE)
    }
    val nodes = arguments.drop(3).map { it.split(',') }.map { (node, proxy, admin) ->
        ChaosNode(NodeId(node), NetworkAddress(proxy), NetworkAddress(admin))
    }
    val chaosArguments =
        ChaosArguments(Path.of(arguments[0]), arguments[1].toLong(), arguments[2].toLong() * 1_000, nodes)
    val state = runChaos(chaosArguments)
    if (state == null) {
        System.err.println("chaos: chaos/run did not record the end of the faults in time; see its output")
        exitProcess(DEPENDENCY_EXIT_CODE)
    }
    println(renderReport(state))
    exitProcess(verdictOf(state).exitCode)
}

/** Runs until the faults end and returns the reduced observations, or `null` if the faults did not end in time. */
private fun runChaos(options: ChaosArguments): ChaosState? {
    val observations = ConcurrentLinkedQueue<Observation>()
    val editor = ChaosEditor(options.folder, observations::add)
    editor.recordFolder()
    val caller = ChaosCaller(options.nodes, options.seed, observations::add)
    val poller = ChaosPoller(options.nodes, observations::add)
    poller.start()
    caller.start(CALLS_PER_SECOND)
    Files.createFile(options.startedMarker)
    val ended = editUntilFaultsEnd(options, editor)
    if (ended) {
        editor.applyFinalEdit()
        awaitLastEdit(options, observations)
    }
    caller.close()
    poller.close()
    return if (ended) reduceAll(observations + readFaults(options.faults) + readJournals(options.directory)) else null
}

private fun editUntilFaultsEnd(options: ChaosArguments, editor: ChaosEditor): Boolean {
    val edits = chaosEdits().iterator()
    val deadlineMillis = System.currentTimeMillis() + options.faultTimeoutMillis
    var nextEditMillis = System.currentTimeMillis()
    while (System.currentTimeMillis() < deadlineMillis) {
        if (readFaults(options.faults).any { it.fault is Fault.Ended }) return true
        if (System.currentTimeMillis() >= nextEditMillis) {
            val edit = edits.next()
            editor.apply(edit)
            nextEditMillis += edit.pauseMillis
        }
        Thread.sleep(POLL_INTERVAL_MILLIS)
    }
    return false
}

/** Waits until all nodes report the last edit, at most [LAST_EDIT_TIMEOUT_MILLIS]. */
private fun awaitLastEdit(options: ChaosArguments, observations: Collection<Observation>) {
    val deadlineMillis = System.currentTimeMillis() + LAST_EDIT_TIMEOUT_MILLIS
    val digest = observations.filterIsInstance<Observation.FolderEdited>().last().digest
    var upToDate = emptySet<NodeId>()
    while (upToDate.size < options.nodes.size && System.currentTimeMillis() < deadlineMillis) {
        Thread.sleep(POLL_INTERVAL_MILLIS)
        upToDate = observations.filterIsInstance<Observation.StatusObserved>().filter { it.digest == digest }
            .map { it.node }.toSet()
    }
}

/** Reduces [observations] in order of time and applies the checks that need the whole run. */
internal fun reduceAll(observations: Collection<Observation>): ChaosState =
    applyFinalChecks(observations.sortedBy { it.atMillis }.fold(ChaosState(), ::reduceChaos))
