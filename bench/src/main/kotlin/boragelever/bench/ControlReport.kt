package boragelever.bench

import org.HdrHistogram.Histogram
import java.util.Locale

/** Formats [measurements] as Markdown tables. */
internal fun controlReport(measurements: ControlMeasurements): String =
    listOf(
        section("Convergence", CONVERGENCE_HEADER, measurements.results.map { it.convergenceRow() }),
        section("Bytes", BYTES_HEADER, measurements.results.map { it.bytesRow() }),
        section("Bytes per change and per replacement", COSTS_HEADER, measurements.results.map { it.costsRow() }),
        section("Store", STORE_HEADER, measurements.results.map { it.storeRow() }),
        section("Processor time of the reducer", PROCESSOR_HEADER, measurements.results.map { it.processorRow() }),
        section("Reducer by kind of event", EVENTS_HEADER, measurements.largestMeshResults().eventRows()),
        section("Roles", ROLES_HEADER, measurements.largestMeshResults().roleRows()),
        section("Heap of one node's control state", HEAP_HEADER, measurements.heapRows()),
        section("Promises", INVARIANTS_HEADER, measurements.results.map { it.invariantsRow() }),
    ).joinToString("\n")

private fun ControlMeasurements.largestMeshResults(): List<ControlResult> {
    val largestNodes = results.maxOf { it.size.nodes }
    return results.filter { it.size.nodes == largestNodes }
}

private fun section(title: String, header: List<String>, rows: List<List<String>>): String {
    val delimiters = header.mapIndexed { index, _ -> if (index < 2) "---" else "---:" }
    return "### $title\n\n" + (listOf(header, delimiters) + rows).joinToString("") { "| ${it.joinToString(" | ")} |\n" }
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
    keyColumns() + listOf(
        changes.publishedVersions.toString(),
        changes.applyDelayMicros.formatMillis(50.0),
        changes.applyDelayMicros.formatMillis(99.0),
        changes.applyDelayMicros.formatMillis(100.0),
        changes.editToLastApplyMicros.formatMillis(100.0),
        churn.applyDelayMicros.formatMillis(50.0),
        churn.applyDelayMicros.formatMillis(99.0),
        churn.applyDelayMicros.formatMillis(100.0),
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
    val costs = costs()
    val busiest = idle.nodeStats.values.flatten().maxOf { it.sentBytes } / idle.seconds
    return keyColumns() + listOf(
        (costs.idleBytesPerSecond / size.nodes).formatInteger(),
        costs.idleCrossRegionBytesPerSecond.formatInteger(),
        (idle.store.crossRegionBytes / idle.seconds).formatInteger(),
        (costs.dailyBytesPerSecond / size.nodes).formatInteger(),
        costs.dailyCrossRegionBytesPerSecond.formatInteger(),
        busiest.formatInteger(),
        (idle.traffic.messages / idle.seconds / size.nodes).formatOneDecimal(),
    )
}

private val COSTS_HEADER = listOf(
    "nodes",
    "profile",
    "KB per change",
    "KB between regions",
    "of it store",
    "KB per replacement",
    "KB between regions",
    "of it store",
)

private fun ControlResult.costsRow(): List<String> {
    val costs = costs()
    return keyColumns() + listOf(
        (costs.bytesPerChange / 1_000).formatOneDecimal(),
        (costs.crossRegionBytesPerChange / 1_000).formatOneDecimal(),
        (costs.crossRegionStoreBytesPerChange / 1_000).formatOneDecimal(),
        (costs.bytesPerReplacement / 1_000).formatOneDecimal(),
        (costs.crossRegionBytesPerReplacement / 1_000).formatOneDecimal(),
        (costs.crossRegionStoreBytesPerReplacement / 1_000).formatOneDecimal(),
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
    keyColumns() + listOf(
        (idle.store.reads / idle.seconds).formatOneDecimal(),
        (idle.store.writes / idle.seconds).formatOneDecimal(),
        (changes.store.reads / changes.seconds).formatOneDecimal(),
        (changes.store.writes / changes.seconds).formatOneDecimal(),
        (churn.store.writes / churn.seconds).formatOneDecimal(),
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
    keyColumns() + listOf(
        idle.corePercent().formatThreeDecimals(),
        changes.corePercent().formatThreeDecimals(),
        churn.corePercent().formatThreeDecimals(),
        (idle.nodeStats.values.flatten().sumOf { it.events } / idle.seconds / size.nodes).formatOneDecimal(),
    )

private val EVENTS_HEADER = listOf("profile", "event", "count", "mean µs", "p50 µs", "p99 µs", "max µs")

private fun List<ControlResult>.eventRows(): List<List<String>> =
    flatMap { result ->
        result.churn.times.byKind.map { (kind, times) ->
            listOf(
                result.profileName(),
                kind,
                times.totalCount.toString(),
                (times.mean / 1_000).formatOneDecimal(),
                (times.getValueAtPercentile(50.0) / 1_000.0).formatOneDecimal(),
                (times.getValueAtPercentile(99.0) / 1_000.0).formatOneDecimal(),
                (times.maxValue / 1_000.0).formatOneDecimal(),
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
        Role.entries.filter { it in result.changes.nodeStats }.map { role ->
            val idle = result.idle
            val changes = result.changes
            listOf(
                result.profileName(),
                role.name.lowercase().replace('_', ' '),
                changes.nodeStats[role].orEmpty().size.toString(),
                idle.perNodePerSecond(role) { it.sentBytes }.formatInteger(),
                idle.perNodePerSecond(role) { it.receivedBytes }.formatInteger(),
                changes.perNodePerSecond(role) { it.sentBytes }.formatInteger(),
                changes.perNodePerSecond(role) { it.receivedBytes }.formatInteger(),
                changes.perNodePerSecond(role) { it.sentMessages }.formatOneDecimal(),
                changes.corePercent(role).formatThreeDecimals(),
            )
        }
    }

private fun PhaseResult.perNodePerSecond(role: Role, value: (NodeStats) -> Long): Double {
    val nodes = nodeStats[role].orEmpty()
    return if (nodes.isEmpty()) 0.0 else nodes.sumOf(value) / seconds / nodes.size
}

private val HEAP_HEADER = listOf("nodes", "services", "state KB", "member table frame KB", "document frame KB")

private fun ControlMeasurements.heapRows(): List<List<String>> =
    heaps.map { (size, heap) ->
        listOf(
            size.nodes.toString(),
            size.services.toString(),
            (heap.stateBytes / 1_000.0).formatInteger(),
            (heap.tableFrameBytes / 1_000.0).formatOneDecimal(),
            (heap.documentFrameBytes / 1_000.0).formatOneDecimal(),
        )
    }

private val INVARIANTS_HEADER = listOf("nodes", "profile", "violations", "settled at the end", "digest of the run")

private fun ControlResult.invariantsRow(): List<String> =
    keyColumns() + listOf(
        violations.values.sum().toString(),
        if (hasConverged) "yes" else "no",
        digest.toULong().toString(16),
    )

private fun ControlResult.keyColumns(): List<String> = listOf(size.nodes.toString(), profileName())

internal fun ControlResult.profileName(): String = profile.name.lowercase()

private fun Histogram.formatMillis(percentile: Double): String =
    if (totalCount == 0L) "-" else (getValueAtPercentile(percentile) / 1_000.0).formatInteger()

private fun Double.formatInteger(): String = String.format(Locale.ROOT, "%,.0f", this)

private fun Double.formatOneDecimal(): String = String.format(Locale.ROOT, "%,.1f", this)

private fun Double.formatThreeDecimals(): String = String.format(Locale.ROOT, "%.3f", this)
