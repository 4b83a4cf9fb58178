package boragelever.bench.calls

import java.nio.file.Files
import java.nio.file.Path
import java.util.Locale

/**
 * Runs the benchmarks of proxied calls.
 *
 * `--quick` shortens them, `--only latency|claims|model` runs a single one, `--charts DIR` writes charts, and
 * `--profiles DIR` records the processes with the JDK's flight recorder.
 */
public fun main(arguments: Array<String>) {
    val quick = "--quick" in arguments
    val only = arguments.valueOf("--only")
    val charts = arguments.valueOf("--charts")?.let { Path.of(it) }
    println("cores ${Runtime.getRuntime().availableProcessors()}, seed $CALL_SEED, quick $quick")
    if (only == null ||
        only == "latency"
    ) {
        runLatency(quick, charts, arguments.valueOf("--profiles")?.let { Path.of(it) })
    }
    if (only == null || only == "claims") runClaims(quick)
    if (only == null || only == "model") runModel(quick)
}

/** Seed of all random choices in the call model. */
internal const val CALL_SEED = 20_251L

private fun Array<String>.valueOf(flag: String): String? =
    indexOf(flag).takeIf { it >= 0 }?.let { getOrNull(it + 1) }

private fun runLatency(quick: Boolean, charts: Path?, profiles: Path?) {
    val plan = if (quick) LatencyPlan(200, 2, 300, 150) else LatencyPlan(8_000, 12, 1_500, 2_000)
    val program = Path.of(System.getProperty("boragelever.program", "target/boragelever"))
    val report = CallProcesses(program, profiles).use { measureLatency(it, plan) }
    printLatency(report)
    charts?.let { writeLatencyChart(report, it) }
}

private fun printLatency(report: LatencyReport) {
    println("path        calls  failed   p50 us   p90 us   p99 us p99.9 us")
    report.results.forEach { (name, result) ->
        val columns = listOf(50.0, 90.0, 99.0, 99.9).map { result.micros(it) }
        println("%-9s %7d %7d".format(name, result.latencies.totalCount, result.failures) + columns.formatColumns())
    }
    println("saturation  conns  calls/s  failed  p99 us  caller cpu us  hop cpu us")
    report.throughput.forEach {
        val columns =
            listOf(it.perSecond, it.failures.toDouble(), it.p99Micros, it.firstHopCpuMicros, it.lastHopCpuMicros)
        println("%-9s %7d".format(it.target, it.connections) + columns.formatColumns())
    }
    val load = Path.of("/proc/loadavg").takeIf { Files.isReadable(it) }?.let { Files.readString(it).trim() }
    println("load average of the machine: ${load ?: "unknown"}")
    val rss = report.memory
    println("resident MiB of the calling node: idle ${rss.idleMib}, loaded ${rss.loadedMib}, after ${rss.saturatedMib}")
}

private fun runClaims(quick: Boolean) {
    println("claims: nodes callers  calls/s  failed   p50 ms   p99 ms writes/s")
    val millis = if (quick) 200L else 4_000L
    // Warms up the JIT compiler; the result is discarded.
    measureClaims(nodes = 1, callers = 8, millis)
    listOf(1 to 1, 1 to 64, 3 to 63, 6 to 66).forEach { (nodes, callers) ->
        val throughput = measureClaims(nodes, callers, millis)
        val columns = listOf(
            throughput.perSecond,
            throughput.failures.toDouble(),
            throughput.p50Millis,
            throughput.p99Millis,
            throughput.writesPerSecond,
        )
        println("%13d %7d".format(nodes, callers) + columns.formatColumns())
    }
}

private fun runModel(quick: Boolean) {
    val outcomes = runScenarios(if (quick) ModelPlan(100, 200) else ModelPlan(2_000, 6_000))
    outcomes.groupBy { it.scenario.table }.forEach { (table, rows) ->
        println(
            "%-17s %-12s   calls  success%%  cross%%  att/call  p50 ms  p99 ms p99.9 ms violations".format(table, ""),
        )
        rows.forEach { println(it.formatRow()) }
    }
}

private fun ScenarioOutcome.formatRow(): String {
    val columns = "%8d %9.3f %7.2f %9.3f %7.1f %7.1f %8.1f".format(
        Locale.ROOT,
        result.calls,
        result.successPercent,
        result.crossRegionPercent,
        result.attempts.toDouble() / maxOf(1, result.calls),
        result.millis(50.0),
        result.millis(99.0),
        result.millis(99.9),
    )
    return "%-17s %-12s".format(scenario.name, scenario.variant) + columns +
        " ${result.falseNotRunReports}+${result.duplicateRuns}"
}

internal fun List<Double>.formatColumns(): String = joinToString("") { "%9.0f".format(Locale.ROOT, it) }
