package boragelever.bench.chaos

import boragelever.core.call.Outcome

/** Overall result of a run. */
internal enum class Verdict(val exitCode: Int) {
    KEPT(0),
    VIOLATED(1),

    /** At least one check never ran, so that the run says nothing about it. */
    INCOMPLETE(3),
}

internal fun verdictOf(state: ChaosState): Verdict =
    when {
        state.violations.isNotEmpty() -> Verdict.VIOLATED
        Check.entries.any { (state.checks[it] ?: 0) == 0 } -> Verdict.INCOMPLETE
        else -> Verdict.KEPT
    }

/** Renders the report of a finished run as text. */
internal fun renderReport(state: ChaosState): String =
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
            "through live nodes: ${summarize(live)}",
            "through paused, stopped or starting nodes: ${summarize(absent)}",
        )
    return shares +
        kinds.map { (kind, count) -> "%8d  %s".format(count, kind) }
}

private fun summarize(calls: List<Observation.CallEnded>): String {
    val succeeded = calls.count { it.isSuccessful() }
    val share = if (calls.isEmpty()) 0.0 else succeeded * PERCENT / calls.size
    return "${calls.size} requests, $succeeded succeeded (${"%.2f".format(share)} %)"
}

private fun Observation.CallEnded.isSuccessful(): Boolean =
    result is CallResult.Responded && result.outcome == Outcome.COMPLETED && result.statusCode in 200..299

private fun Observation.CallEnded.describe(): String =
    when (result) {
        is CallResult.Failed -> "$kind failed: ${result.problem}"
        is CallResult.Responded -> "$kind ${result.outcome?.text} ${result.statusCode} ${result.reason.orEmpty()}"
    }.trim()

private fun convergenceLines(state: ChaosState): List<String> {
    val all = convergences(state)
    val rows = all.map {
        "%8d  %10s ms %10s ms  %s".format(
            it.edit.value,
            it.firstNodeAfterMillis ?: "-",
            it.allNodesAfterMillis ?: "-",
            if (it.undisturbed) "undisturbed" else "",
        )
    }
    val summary = listOf(
        "undisturbed edits" to all.filter { it.undisturbed },
        "all edits" to all,
    ).map { (name, edits) ->
        "$name (${edits.size}): " + percentiles(edits.mapNotNull { it.allNodesAfterMillis })
    }
    return listOf("    edit  first node in  all nodes in") + rows + summary
}

private fun percentiles(values: List<Long>): String {
    val sorted = values.sorted()
    if (sorted.isEmpty()) return "none"
    val p50 = sorted[(sorted.size - 1) / 2]
    val p99 = sorted[((sorted.size - 1) * P99).toInt()]
    return "p50 $p50 ms, p99 $p99 ms, max ${sorted.last()} ms"
}

private fun volumeLines(state: ChaosState): List<String> {
    val all = state.nodes.values.fold(ControlVolume()) { sum, node -> sum + node.earlierVolume + node.processVolume }
    return listOf(
        "control bytes: ${all.receivedBytes} in, ${all.sentBytes} out; " +
            "across regions ${all.receivedAcrossRegionsBytes} in, ${all.sentAcrossRegionsBytes} out",
    )
}

private const val MAX_EXAMPLES = 5
private const val PERCENT = 100.0
private const val P99 = 0.99
