package boragelever.bench

import boragelever.core.call.Outcome

/** Result of a run. */
internal enum class Verdict(val exitCode: Int) {
    KEPT(0),
    VIOLATED(1),

    /** A check was not exercised, so that the run proves nothing about it. */
    INCOMPLETE(3),
}

internal fun verdictOf(state: ChaosState): Verdict =
    when {
        state.violations.isNotEmpty() -> Verdict.VIOLATED
        Check.entries.any { (state.checks[it] ?: 0) == 0 } -> Verdict.INCOMPLETE
        else -> Verdict.KEPT
    }

/** Writes the report of a finished run as text. */
internal fun renderChaos(state: ChaosState): String =
    (promiseLines(state) + "" + callLines(state) + "" + convergenceLines(state) + "" + volumeLines(state))
        .joinToString("\n")

private fun promiseLines(state: ChaosState): List<String> {
    val rows = Check.entries.flatMap { check ->
        val failed = state.violations[check].orEmpty()
        val row = "%-8s %8d %10d  %s".format(check.promise, state.checks[check] ?: 0, failed.size, check.meaning)
        listOf(row) + failed.take(MAX_EXAMPLES).map { "         ! $it" }
    }
    return listOf("promise    checks violations  violation means") + rows +
        "verdict: ${verdictOf(state).name.lowercase()}"
}

private fun callLines(state: ChaosState): List<String> {
    val (live, absent) = state.calls.partition { state.nodeWasLive(it) }
    val kinds = live.groupingBy { it.describe() }.eachCount().toSortedMap()
    val shares =
        listOf(
            "through live nodes: ${served(live)}",
            "through nodes that were paused, down or starting: ${served(absent)}",
        )
    return shares +
        kinds.map { (kind, count) -> "%8d  %s".format(count, kind) }
}

private fun served(calls: List<Observation.CallEnded>): String {
    val served = calls.count { it.isServed() }
    val share = if (calls.isEmpty()) 0.0 else served * PERCENT / calls.size
    return "${calls.size} requests, $served served (${"%.2f".format(share)} %)"
}

private fun Observation.CallEnded.isServed(): Boolean =
    result is CallResult.Answered && result.outcome == Outcome.COMPLETED && result.statusCode in 200..299

private fun Observation.CallEnded.describe(): String =
    when (result) {
        is CallResult.Broken -> "$kind broken: ${result.problem}"
        is CallResult.Answered -> "$kind ${result.outcome?.text} ${result.statusCode} ${result.reason.orEmpty()}"
    }.trim()

private fun convergenceLines(state: ChaosState): List<String> {
    val all = convergences(state)
    val rows = all.map {
        "%8d  %10s ms %10s ms  %s".format(
            it.edit.value,
            it.acceptedAfterMillis ?: "-",
            it.everywhereAfterMillis ?: "-",
            if (it.quiet) "quiet" else "",
        )
    }
    val summary = listOf("quiet edits" to all.filter { it.quiet }, "all edits" to all).map { (name, edits) ->
        "$name (${edits.size}): " + percentiles(edits.mapNotNull { it.everywhereAfterMillis })
    }
    return listOf("    edit  first node in  everywhere in") + rows + summary
}

private fun percentiles(values: List<Long>): String {
    val sorted = values.sorted()
    if (sorted.isEmpty()) return "none"
    val p50 = sorted[(sorted.size - 1) / 2]
    val p99 = sorted[((sorted.size - 1) * P99).toInt()]
    return "p50 $p50 ms, p99 $p99 ms, max ${sorted.last()} ms"
}

private fun volumeLines(state: ChaosState): List<String> {
    val all = state.nodes.values.fold(ControlVolume()) { sum, node -> sum + node.volume + node.volumeOfLife }
    return listOf(
        "control bytes: ${all.receivedBytes} in, ${all.sentBytes} out; " +
            "across regions ${all.receivedAcrossRegionsBytes} in, ${all.sentAcrossRegionsBytes} out",
    )
}

private const val MAX_EXAMPLES = 5
private const val PERCENT = 100.0
private const val P99 = 0.99
