package boragelever.bench.chaos

import boragelever.core.NodeId
import boragelever.core.call.Outcome

/**
 * Time after a fault of a node or of the store during which publishing may still be interrupted.
 *
 * The last lease holder resumes within 12 s after the store is back; another node may have to wait 6 s more for the
 * lease to expire.
 */
private const val RECOVERY_MILLIS = 18_000L

/** Time from an edit until it was applied on the first node and on all nodes. */
internal data class Convergence(
    val edit: EditNumber,
    val editedMillis: Long,
    /** Time until the first node applied the edit, or `null` if only a later edit was published. */
    val firstNodeAfterMillis: Long?,
    /** Time until every live node had applied the edit or a later one, or `null` if one did not. */
    val allNodesAfterMillis: Long?,
    /** True if no fault of a node or of the store was near the edit in time. */
    val undisturbed: Boolean,
)

/** Applies the checks that need the observations of the whole run. */
internal fun applyFinalChecks(state: ChaosState): ChaosState {
    val finalChecks = listOf(::checkExecutions, ::checkDrains, ::checkEdits, ::checkInvalidFolders, ::checkEnd)
    return finalChecks.fold(state) { current, applyCheck -> applyCheck(current) }
}

/** Convergence of each valid edit that changed the folder's content. */
internal fun convergences(state: ChaosState): List<Convergence> =
    state.edits.filterIndexed { index, edit ->
        index > 0 && edit.digest != null && state.edits.take(index).none { it.digest == edit.digest }
    }.map { edit ->
        val applyTimes = state.nodes.values.filter { it.wasLive(edit) }.map { it.appliedMillisByEdit[edit.edit] }
        Convergence(
            edit.edit,
            edit.atMillis,
            edit.digest?.let { state.firstAppliedMillis[it] }?.let { it - edit.atMillis },
            applyTimes.filterNotNull().takeIf { it.size == applyTimes.size }?.maxOrNull()?.let { it - edit.atMillis },
            state.isUndisturbed(edit.atMillis),
        )
    }

/** True if the node was live from [edit] until it applied the edit. */
private fun NodeHistory.wasLive(edit: Observation.FolderEdited): Boolean {
    val times = edit.atMillis..(appliedMillisByEdit[edit.edit] ?: Long.MAX_VALUE)
    return absentSinceMillis == null && absences.none { it.overlaps(times) }
}

/** True if the node that received [call] was live from its start to its end. */
internal fun ChaosState.nodeWasLive(call: Observation.CallEnded): Boolean =
    nodes[call.node]?.absences.orEmpty().none { it.overlaps(call.startedMillis..call.atMillis) }

private fun checkExecutions(state: ChaosState): ChaosState {
    val checked = state.calls.fold(state) { current, call ->
        val notRun = (call.result as? CallResult.Responded)?.outcome == Outcome.NOT_RUN
        val run = current.executions[call.request]?.firstOrNull()
        val problem = run?.let { "${call.request.value} on ${call.node} was executed on ${it.instance}" }
        if (notRun) current.check(Check.EXECUTED_BUT_NOT_RUN, problem) else current
    }
    return checked.executionsByKey.entries.fold(checked) { current, (key, runs) ->
        current.check(Check.EXECUTED_TWICE, "${key.value} was executed $runs times".takeIf { runs > 1 })
    }
}

private fun checkDrains(state: ChaosState): ChaosState {
    val drains = state.drains.associateBy { it.instance }
    return state.calls.fold(state) { checked, call ->
        val drain = state.executions[call.request].orEmpty()
            .firstNotNullOfOrNull { run -> drains[run.instance]?.takeIf { it.affects(run.atMillis, call) } }
        when {
            drain == null || !state.nodeWasLive(call) -> checked
            else -> checked.check(
                Check.INTERRUPTED_BY_DRAIN,
                "${call.request.value}: ${call.result}".takeIf { call.isInterrupted() },
            )
        }
    }
}

private fun Drain.affects(ranMillis: Long, call: Observation.CallEnded): Boolean =
    call.atMillis >= startedMillis && (stoppedMillis == null || ranMillis <= stoppedMillis)

private fun Observation.CallEnded.isInterrupted(): Boolean =
    when (val callResult = result) {
        is CallResult.Failed -> true
        is CallResult.Responded -> callResult.outcome == Outcome.UNKNOWN
    }

private fun checkEdits(state: ChaosState): ChaosState =
    convergences(state).fold(state) { current, edit ->
        val firstAppliedMillis = edit.firstNodeAfterMillis?.let { edit.editedMillis + it }
        val onNodes = if (firstAppliedMillis == null) current else current.checkNodes(edit.edit, firstAppliedMillis)
        val totalMillis = edit.allNodesAfterMillis
        val late = "edit ${edit.edit.value} was applied on all nodes after ${totalMillis ?: "?"} ms"
        if (!edit.undisturbed) return@fold onNodes
        onNodes.check(Check.LATE_UNDISTURBED, late.takeIf { totalMillis == null || totalMillis > APPLY_BOUND_MILLIS })
    }

private fun ChaosState.checkNodes(edit: EditNumber, firstMillis: Long): ChaosState =
    nodes.entries.fold(this) { current, (node, history) ->
        val appliedMillis = history.appliedMillisByEdit[edit]
        val until = appliedMillis ?: Long.MAX_VALUE
        val absences = history.absences + listOfNotNull(history.absentSinceMillis?.let { it..Long.MAX_VALUE })
        val from = absences.filter { it.overlaps(firstMillis..until) }.maxOfOrNull { it.last } ?: firstMillis
        val lateMillis = if (from == Long.MAX_VALUE) 0 else until - from
        current.check(Check.LATE_ON_NODE, lateProblem(edit, node, lateMillis))
    }

private fun lateProblem(edit: EditNumber, node: NodeId, lateMillis: Long): String? =
    "edit ${edit.value} reached $node after $lateMillis ms".takeIf { lateMillis > APPLY_BOUND_MILLIS }

private fun checkInvalidFolders(state: ChaosState): ChaosState =
    state.edits.filter { it.digest == null && state.isUndisturbed(it.atMillis) }.fold(state) { current, edit ->
        val bound = edit.atMillis..edit.atMillis + APPLY_BOUND_MILLIS
        val notReported = "edit ${edit.edit.value}".takeIf { state.rejections.none { it in bound } }
        current.check(Check.INVALID_FOLDER_NOT_REPORTED, notReported)
    }

private fun checkEnd(state: ChaosState): ChaosState {
    val last = state.edits.lastOrNull { it.digest != null } ?: return state
    return state.nodes.entries.fold(state) { current, (node, history) ->
        val behind = "$node applied ${history.lastStatus?.version} without edit ${last.edit.value}"
        current.check(
            Check.LAST_EDIT_NOT_APPLIED,
            behind.takeIf { last.edit !in history.appliedMillisByEdit || history.lastStatus == null },
        )
    }
}

private fun ChaosState.isUndisturbed(atMillis: Long): Boolean {
    val window = atMillis - RECOVERY_MILLIS..atMillis + APPLY_BOUND_MILLIS
    val open = listOfNotNull(storeFaultSinceMillis) + nodes.values.mapNotNull { it.absentSinceMillis }
    val faults = storeFaults + nodes.values.flatMap { it.absences } + open.map { it..Long.MAX_VALUE }
    return faults.none { it.overlaps(window) }
}
