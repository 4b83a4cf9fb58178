package boragelever.bench

import boragelever.core.NodeId
import boragelever.core.call.Outcome

/**
 * Time after a fault of a node or of the store within which publishing may still be interrupted.
 *
 * The last holder resumes within 12 s after the store is back; another node may need a lease of 6 s more.
 */
private const val RECOVERY_MILLIS = 18_000L

/** Time from an edit to its acceptance and to its being in force everywhere. */
internal data class Convergence(
    val edit: EditNumber,
    val editedMillis: Long,
    /** Time until the first node applied it, or `null` if only a later edit was published. */
    val acceptedAfterMillis: Long?,
    /** Time until the last of the nodes that were live applied it or a later edit, or `null` if one did not. */
    val everywhereAfterMillis: Long?,
    /** True if no fault of a node or of the store was near. */
    val quiet: Boolean,
)

/** Adds the checks that need the whole run. */
internal fun finishChaos(state: ChaosState): ChaosState {
    val steps = listOf(::checkExecutions, ::checkDrains, ::checkEdits, ::checkBadFolders, ::checkEnd)
    return steps.fold(state) { known, step -> step(known) }
}

/** Convergence of each valid edit that changed the folder's content. */
internal fun convergences(state: ChaosState): List<Convergence> =
    state.edits.filterIndexed { index, edit ->
        index > 0 && edit.digest != null && state.edits.take(index).none { it.digest == edit.digest }
    }.map { edit ->
        val everywhere = state.nodes.values.filter { it.wasLive(edit) }.map { it.inForce[edit.edit] }
        Convergence(
            edit.edit,
            edit.atMillis,
            edit.digest?.let { state.accepted[it] }?.let { it - edit.atMillis },
            everywhere.filterNotNull().takeIf { it.size == everywhere.size }?.maxOrNull()?.let { it - edit.atMillis },
            state.isQuiet(edit.atMillis),
        )
    }

/** True if the node was live from [edit] until it had applied it. */
private fun NodeHistory.wasLive(edit: Observation.FolderEdited): Boolean {
    val times = edit.atMillis..(inForce[edit.edit] ?: Long.MAX_VALUE)
    return absentSinceMillis == null && absences.none { it.overlaps(times) }
}

/** True if the caller's node was live for the whole time of [call]. */
internal fun ChaosState.nodeWasLive(call: Observation.CallEnded): Boolean =
    nodes[call.node]?.absences.orEmpty().none { it.overlaps(call.startedMillis..call.atMillis) }

private fun checkExecutions(state: ChaosState): ChaosState {
    val told = state.calls.fold(state) { known, call ->
        val notRun = (call.result as? CallResult.Answered)?.outcome == Outcome.NOT_RUN
        val run = known.executions[call.request]?.firstOrNull()
        val problem = run?.let { "${call.request.value} on ${call.node} ran on ${it.instance}" }
        if (notRun) known.check(Check.RAN_BUT_NOT_RUN, problem) else known
    }
    return told.runsByKey.entries.fold(told) { known, (key, runs) ->
        known.check(Check.RAN_TWICE, "${key.value} ran $runs times".takeIf { runs > 1 })
    }
}

private fun checkDrains(state: ChaosState): ChaosState {
    val known = state.drains.associateBy { it.instance }
    return state.calls.fold(state) { checked, call ->
        val drain = state.executions[call.request].orEmpty()
            .firstNotNullOfOrNull { run -> known[run.instance]?.takeIf { it.covers(run.atMillis, call) } }
        when {
            drain == null || !state.nodeWasLive(call) -> checked
            else -> checked.check(Check.CUT_BY_DRAIN, "${call.request.value}: ${call.result}".takeIf { call.isCut() })
        }
    }
}

private fun Drain.covers(ranMillis: Long, call: Observation.CallEnded): Boolean =
    call.atMillis >= announcedMillis && (stoppedMillis == null || ranMillis <= stoppedMillis)

private fun Observation.CallEnded.isCut(): Boolean =
    when (val ended = result) {
        is CallResult.Broken -> true
        is CallResult.Answered -> ended.outcome == Outcome.UNKNOWN
    }

private fun checkEdits(state: ChaosState): ChaosState =
    convergences(state).fold(state) { known, edit ->
        val accepted = edit.acceptedAfterMillis?.let { edit.editedMillis + it }
        val onNodes = if (accepted == null) known else known.checkNodes(edit.edit, accepted)
        val total = edit.everywhereAfterMillis
        val late = "edit ${edit.edit.value} was in force everywhere after ${total ?: "?"} ms"
        if (!edit.quiet) return@fold onNodes
        onNodes.check(Check.LATE_WHEN_QUIET, late.takeIf { total == null || total > IN_FORCE_BOUND_MILLIS })
    }

private fun ChaosState.checkNodes(edit: EditNumber, acceptedMillis: Long): ChaosState =
    nodes.entries.fold(this) { known, (node, history) ->
        val inForce = history.inForce[edit]
        val until = inForce ?: Long.MAX_VALUE
        val absences = history.absences + listOfNotNull(history.absentSinceMillis?.let { it..Long.MAX_VALUE })
        val from = absences.filter { it.overlaps(acceptedMillis..until) }.maxOfOrNull { it.last } ?: acceptedMillis
        val lateMillis = if (from == Long.MAX_VALUE) 0 else until - from
        known.check(Check.LATE_ON_NODE, lateness(edit, node, lateMillis))
    }

private fun lateness(edit: EditNumber, node: NodeId, lateMillis: Long): String? =
    "edit ${edit.value} on $node $lateMillis ms after its acceptance".takeIf { lateMillis > IN_FORCE_BOUND_MILLIS }

private fun checkBadFolders(state: ChaosState): ChaosState =
    state.edits.filter { it.digest == null && state.isQuiet(it.atMillis) }.fold(state) { known, edit ->
        val bound = edit.atMillis..edit.atMillis + IN_FORCE_BOUND_MILLIS
        val silent = "edit ${edit.edit.value}".takeIf { state.rejections.none { it in bound } }
        known.check(Check.BAD_FOLDER_SILENT, silent)
    }

private fun checkEnd(state: ChaosState): ChaosState {
    val last = state.edits.lastOrNull { it.digest != null } ?: return state
    return state.nodes.entries.fold(state) { known, (node, history) ->
        val behind = "$node holds ${history.seen?.version} without edit ${last.edit.value}"
        known.check(Check.NEVER_IN_FORCE, behind.takeIf { last.edit !in history.inForce || history.seen == null })
    }
}

private fun ChaosState.isQuiet(atMillis: Long): Boolean {
    val near = atMillis - RECOVERY_MILLIS..atMillis + IN_FORCE_BOUND_MILLIS
    val open = listOfNotNull(storeFaultSinceMillis) + nodes.values.mapNotNull { it.absentSinceMillis }
    val faults = storeFaults + nodes.values.flatMap { it.absences } + open.map { it..Long.MAX_VALUE }
    return faults.none { it.overlaps(near) }
}
