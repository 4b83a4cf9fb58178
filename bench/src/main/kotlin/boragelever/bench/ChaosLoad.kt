package boragelever.bench

import boragelever.core.NetworkAddress
import boragelever.core.NodeId
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.system.exitProcess

private const val USAGE_EXIT_CODE = 2
private const val DEPENDENCY_EXIT_CODE = 3
private const val CALLS_PER_SECOND = 100
private const val POLL_MILLIS = 100L

/** Generous bound for the last edit, which may have to wait for a lease after the last fault. */
private const val LAST_EDIT_WAIT_MILLIS = 25_000L

/** What a run is told: where the nodes are, and the directory it shares with `chaos/run`. */
internal class ChaosArguments(
    val run: Path,
    val seed: Long,
    /** Bound of the time until the faults have ended. */
    val maxMillis: Long,
    val nodes: List<ChaosNode>,
) {
    val folder: Path get() = run.resolve("folder")
    val faults: Path get() = run.resolve("faults")
    val started: Path get() = run.resolve("load-started")
}

/**
 * Loads the nodes and checks the promises while `chaos/run` applies faults.
 *
 * Arguments: directory of the run, seed, bound in seconds, then `node,proxy,admin` for each node.
 */
internal fun main(arguments: Array<String>) {
    if (arguments.size < 4) {
        System.err.println("usage: ChaosLoad DIRECTORY SEED SECONDS NODE,PROXY,ADMIN...")
        exitProcess(USAGE_EXIT_CODE)
    }
    val nodes = arguments.drop(3).map { it.split(',') }.map { (node, proxy, admin) ->
        ChaosNode(NodeId(node), NetworkAddress(proxy), NetworkAddress(admin))
    }
    val given = ChaosArguments(Path.of(arguments[0]), arguments[1].toLong(), arguments[2].toLong() * 1_000, nodes)
    val state = runChaos(given)
    if (state == null) {
        System.err.println("chaos: the faults did not end in time; see the log of chaos/run")
        exitProcess(DEPENDENCY_EXIT_CODE)
    }
    println(renderChaos(state))
    exitProcess(verdictOf(state).exitCode)
}

/** Runs to the end of the faults and returns what was seen, or `null` if they did not end in time. */
private fun runChaos(given: ChaosArguments): ChaosState? {
    val observations = ConcurrentLinkedQueue<Observation>()
    val editor = ChaosEditor(given.folder, observations::add)
    editor.noteFolder()
    val caller = ChaosCaller(given.nodes, given.seed, observations::add)
    val poller = ChaosPoller(given.nodes, observations::add)
    poller.start()
    caller.start(CALLS_PER_SECOND)
    Files.createFile(given.started)
    val ended = editUntilEnded(given, editor)
    if (ended) {
        editor.applyLast()
        awaitLastEdit(given, observations)
    }
    caller.close()
    poller.close()
    return if (ended) reduceAll(observations + readFaults(given.faults) + readJournals(given.run)) else null
}

private fun editUntilEnded(given: ChaosArguments, editor: ChaosEditor): Boolean {
    val edits = chaosEdits().iterator()
    val endMillis = System.currentTimeMillis() + given.maxMillis
    var nextMillis = System.currentTimeMillis()
    while (System.currentTimeMillis() < endMillis) {
        if (readFaults(given.faults).any { it.fault is Fault.Ended }) return true
        if (System.currentTimeMillis() >= nextMillis) {
            val edit = edits.next()
            editor.apply(edit)
            nextMillis += edit.pauseMillis
        }
        Thread.sleep(POLL_MILLIS)
    }
    return false
}

/** Waits until all nodes show the last edit, up to a bound. */
private fun awaitLastEdit(given: ChaosArguments, observations: Collection<Observation>) {
    val endMillis = System.currentTimeMillis() + LAST_EDIT_WAIT_MILLIS
    val digest = observations.filterIsInstance<Observation.FolderEdited>().last().digest
    var holding = emptySet<NodeId>()
    while (holding.size < given.nodes.size && System.currentTimeMillis() < endMillis) {
        Thread.sleep(POLL_MILLIS)
        holding = observations.filterIsInstance<Observation.StatusSeen>().filter { it.digest == digest }
            .map { it.node }.toSet()
    }
}

/** Reduces [observations] in the order of their times. */
internal fun reduceAll(observations: Collection<Observation>): ChaosState =
    finishChaos(observations.sortedBy { it.atMillis }.fold(ChaosState(), ::reduceChaos))
