package boragelever.bench

import org.HdrHistogram.Histogram
import java.util.Locale

/** Returns the tables of [figures] as Markdown. */
internal fun controlReport(figures: ControlFigures): String =
    listOf(
        section("Convergence", CONVERGENCE_HEADER, figures.results.map { it.convergenceRow() }),
        section("Bytes", BYTES_HEADER, figures.results.map { it.bytesRow() }),
        section("Bytes per change and per replacement", SLOPES_HEADER, figures.results.map { it.slopesRow() }),
        section("Store", STORE_HEADER, figures.results.map { it.storeRow() }),
        section("Processor time of the reducer", PROCESSOR_HEADER, figures.results.map { it.processorRow() }),
        section("Reducer by kind of event", EVENTS_HEADER, figures.largest().eventRows()),
        section("Roles", ROLES_HEADER, figures.largest().roleRows()),
        section("Heap of one node's control state", HEAP_HEADER, figures.heapRows()),
        section("Promises", PROMISES_HEADER, figures.results.map { it.promisesRow() }),
    ).joinToString("\n")

private fun ControlFigures.largest(): List<ControlResult> {
    val largest = results.maxOf { it.size.nodes }
    return results.filter { it.size.nodes == largest }
}

private fun section(title: String, header: List<String>, rows: List<List<String>>): String {
    val ruler = header.mapIndexed { index, _ -> if (index < 2) "---" else "---:" }
    return "### $title\n\n" + (listOf(header, ruler) + rows).joinToString("") { "| ${it.joinToString(" | ")} |\n" }
}

private val CONVERGENCE_HEADER = listOf(
    "nodes",
    "profile",
    "changes",
    "p50 ms",
    "p99 ms",
    "max ms",
    "edit to last node max ms",
    "with churn p50 ms",
    "with churn p99 ms",
    "with churn max ms",
)

private fun ControlResult.convergenceRow(): List<String> =
    key() + listOf(
        changes.versions.toString(),
        changes.perNode.millis(50.0),
        changes.perNode.millis(99.0),
        changes.perNode.millis(100.0),
        changes.fromEdit.millis(100.0),
        churn.perNode.millis(50.0),
        churn.perNode.millis(99.0),
        churn.perNode.millis(100.0),
    )

private val BYTES_HEADER = listOf(
    "nodes",
    "profile",
    "idle B/s per node",
    "idle B/s between regions",
    "of it store",
    "day B/s per node",
    "day B/s between regions",
    "busiest node B/s sent",
    "messages/s per node",
)

private fun ControlResult.bytesRow(): List<String> {
    val slopes = slopes()
    val busiest = idle.loads.values.flatten().maxOf { it.sentBytes } / idle.seconds
    return key() + listOf(
        (slopes.idleBytesPerSecond / size.nodes).whole(),
        slopes.idleRemotePerSecond.whole(),
        (idle.store.remoteBytes / idle.seconds).whole(),
        (slopes.dailyBytesPerSecond / size.nodes).whole(),
        slopes.dailyRemotePerSecond.whole(),
        busiest.whole(),
        (idle.traffic.messages / idle.seconds / size.nodes).decimal(),
    )
}

private val SLOPES_HEADER = listOf(
    "nodes",
    "profile",
    "KB per change",
    "KB between regions",
    "of it store",
    "KB per replacement",
    "KB between regions",
    "of it store",
)

private fun ControlResult.slopesRow(): List<String> {
    val slopes = slopes()
    return key() + listOf(
        (slopes.bytesPerChange / 1_000).decimal(),
        (slopes.remotePerChange / 1_000).decimal(),
        (slopes.remoteStorePerChange / 1_000).decimal(),
        (slopes.bytesPerReplacement / 1_000).decimal(),
        (slopes.remotePerReplacement / 1_000).decimal(),
        (slopes.remoteStorePerReplacement / 1_000).decimal(),
    )
}

private val STORE_HEADER = listOf(
    "nodes",
    "profile",
    "idle reads/s",
    "idle writes/s",
    "reads/s with changes",
    "writes/s with changes",
    "writes/s with churn",
)

private fun ControlResult.storeRow(): List<String> =
    key() + listOf(
        (idle.store.reads / idle.seconds).decimal(),
        (idle.store.writes / idle.seconds).decimal(),
        (changes.store.reads / changes.seconds).decimal(),
        (changes.store.writes / changes.seconds).decimal(),
        (churn.store.writes / churn.seconds).decimal(),
    )

private val PROCESSOR_HEADER = listOf(
    "nodes",
    "profile",
    "idle % of a core",
    "with changes %",
    "with churn %",
    "events/s per node idle",
)

private fun ControlResult.processorRow(): List<String> =
    key() + listOf(
        idle.corePercent().fine(),
        changes.corePercent().fine(),
        churn.corePercent().fine(),
        (idle.loads.values.flatten().sumOf { it.events } / idle.seconds / size.nodes).decimal(),
    )

private val EVENTS_HEADER = listOf("profile", "event", "count", "mean µs", "p50 µs", "p99 µs", "max µs")

private fun List<ControlResult>.eventRows(): List<List<String>> =
    flatMap { result ->
        result.churn.times.byKind.map { (kind, times) ->
            listOf(
                result.profileName(),
                kind,
                times.totalCount.toString(),
                (times.mean / 1_000).decimal(),
                (times.getValueAtPercentile(50.0) / 1_000.0).decimal(),
                (times.getValueAtPercentile(99.0) / 1_000.0).decimal(),
                (times.maxValue / 1_000.0).decimal(),
            )
        }
    }

private val ROLES_HEADER = listOf(
    "profile",
    "role",
    "nodes",
    "idle sent B/s",
    "idle received B/s",
    "sent B/s with changes",
    "received B/s with changes",
    "messages/s sent with changes",
    "% of a core with changes",
)

private fun List<ControlResult>.roleRows(): List<List<String>> =
    flatMap { result ->
        Role.entries.filter { it in result.changes.loads }.map { role ->
            val idle = result.idle
            val changes = result.changes
            listOf(
                result.profileName(),
                role.name.lowercase().replace('_', ' '),
                changes.loads[role].orEmpty().size.toString(),
                idle.perNode(role) { it.sentBytes }.whole(),
                idle.perNode(role) { it.receivedBytes }.whole(),
                changes.perNode(role) { it.sentBytes }.whole(),
                changes.perNode(role) { it.receivedBytes }.whole(),
                changes.perNode(role) { it.sentMessages }.decimal(),
                changes.corePercent(role).fine(),
            )
        }
    }

private fun PhaseResult.perNode(role: Role, value: (NodeLoad) -> Long): Double {
    val nodes = loads[role].orEmpty()
    return if (nodes.isEmpty()) 0.0 else nodes.sumOf(value) / seconds / nodes.size
}

private val HEAP_HEADER = listOf("nodes", "services", "state KB", "member table frame KB", "document frame KB")

private fun ControlFigures.heapRows(): List<List<String>> =
    heaps.map { (size, heap) ->
        listOf(
            size.nodes.toString(),
            size.services.toString(),
            (heap.stateBytes / 1_000.0).whole(),
            (heap.tableFrameBytes / 1_000.0).decimal(),
            (heap.documentFrameBytes / 1_000.0).decimal(),
        )
    }

private val PROMISES_HEADER = listOf("nodes", "profile", "violations", "settled at the end", "digest of the run")

private fun ControlResult.promisesRow(): List<String> =
    key() + listOf(violations.values.sum().toString(), if (isSettled) "yes" else "no", digest.toULong().toString(16))

private fun ControlResult.key(): List<String> = listOf(size.nodes.toString(), profileName())

internal fun ControlResult.profileName(): String = profile.name.lowercase()

private fun Histogram.millis(percentile: Double): String =
    if (totalCount == 0L) "-" else (getValueAtPercentile(percentile) / 1_000.0).whole()

private fun Double.whole(): String = String.format(Locale.ROOT, "%,.0f", this)

private fun Double.decimal(): String = String.format(Locale.ROOT, "%,.1f", this)

private fun Double.fine(): String = String.format(Locale.ROOT, "%.3f", this)
