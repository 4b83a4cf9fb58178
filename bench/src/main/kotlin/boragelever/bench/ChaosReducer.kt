package boragelever.bench

import boragelever.core.NodeId
import kotlinx.collections.immutable.persistentListOf

/** Bound of the design for a new configuration to be in force everywhere, and for a bad folder to be reported. */
internal const val IN_FORCE_BOUND_MILLIS = 4_000L

/** Bound of the design for the last new call after an announced departure. */
internal const val DRAIN_BOUND_MILLIS = 2_000L

/** Adds [observation] to what is known. Observations come in the order of their times. */
internal fun reduceChaos(state: ChaosState, observation: Observation): ChaosState =
    when (observation) {
        is Observation.CallEnded -> callEnded(state, observation)
        is Observation.Executed -> executed(state, observation)
        is Observation.StatusSeen -> statusSeen(state, observation)
        is Observation.FolderEdited -> state.copy(edits = state.edits.add(observation))
        is Observation.VolumeRead -> volumeRead(state, observation)
        is Observation.FaultApplied -> faultApplied(state, observation.fault, observation.atMillis)
    }

private fun callEnded(state: ChaosState, call: Observation.CallEnded): ChaosState {
    val known = state.copy(calls = state.calls.add(call))
    val answer = call.result as? CallResult.Answered ?: return known
    val reason = answer.reason
    val dangling = "${call.request.value} on ${call.node}: $reason".takeIf { reason in DANGLING_REASONS }
    val checked = known.check(Check.DANGLING_ROUTE, dangling)
    if (answer.body == BodyCheck.ERROR) return checked
    val wrong = "${call.request.value} on ${call.node}".takeIf { answer.body == BodyCheck.WRONG }
    return checked.check(Check.WRONG_BODY, wrong)
}

private fun executed(state: ChaosState, run: Observation.Executed): ChaosState {
    val others = state.executions[run.request] ?: persistentListOf()
    val known = state.copy(executions = state.executions.put(run.request, others.add(run)))
    val counted = if (run.key == null) {
        known
    } else {
        known.copy(runsByKey = known.runsByKey.put(run.key, (known.runsByKey[run.key] ?: 0) + 1))
    }
    val running = state.drains.filter { it.stoppedMillis == null }
    val left = running.filter { run.atMillis - it.announcedMillis > DRAIN_BOUND_MILLIS }
    if (left.isEmpty()) return counted
    val drain = left.firstOrNull { it.instance == run.instance }
    val problem = drain?.let { "${run.request.value} on ${it.instance} ${run.atMillis - it.announcedMillis} ms after" }
    return counted.check(Check.RAN_WHILE_DRAINING, problem)
}

private fun statusSeen(state: ChaosState, status: Observation.StatusSeen): ChaosState {
    val before = state.nodes[status.node]
    return state
        .checkVersions(status, before)
        .checkContent(status)
        .withNode(status.node) { it.after(status, state.editOf(status.digest), state.edits) }
        .let { if (status.rejectsFolder) it.copy(rejections = it.rejections.add(status.atMillis)) else it }
}

private fun ChaosState.checkVersions(status: Observation.StatusSeen, before: NodeHistory?): ChaosState {
    val last = before?.seen?.version
    val highest = before?.highest
    val back = "${status.node} went from $last to ${status.version}"
    val behind = "${status.node} holds ${status.version} after a restart and held $highest before"
    val inLife = check(Check.VERSION_BACK, back.takeIf { last != null && status.version < last })
    if (last != null || highest == null) return inLife
    return inLife.check(Check.VERSION_BACK_AFTER_RESTART, behind.takeIf { status.version < highest })
}

private fun ChaosState.checkContent(status: Observation.StatusSeen): ChaosState {
    val known = digests[status.version]
    val edit = editOf(status.digest)
    val other = "${status.version} has digest ${status.digest} on ${status.node} and $known elsewhere"
    val foreign = "${status.node} holds ${status.version} with digest ${status.digest}"
    val checked = check(Check.TWO_DIGESTS, other.takeIf { known != null && known != status.digest })
        .check(Check.UNKNOWN_CONTENT, foreign.takeIf { edit == null })
    val first = minOf(status.appliedMillis, accepted[status.digest] ?: Long.MAX_VALUE)
    val noted = checked.copy(accepted = accepted.put(status.digest, first))
    if (known != null || edit == null) return noted
    val reverted = digests.entries.firstOrNull { (version, digest) ->
        val otherEdit = editOf(digest) ?: edit
        (version < status.version && otherEdit > edit) || (version > status.version && otherEdit < edit)
    }
    val problem = reverted?.let { "${status.version} holds edit ${edit.value}, ${it.key} another order" }
    return noted.check(Check.REVERTED, problem).copy(digests = digests.put(status.version, status.digest))
}

private fun NodeHistory.after(
    status: Observation.StatusSeen,
    edit: EditNumber?,
    edits: List<Observation.FolderEdited>,
): NodeHistory {
    val reached = edits.filter { edit != null && it.edit <= edit && it.edit !in inForce }
    val live = condition as? NodeCondition.Live
    val joins = live != null && !live.joined
    val absence = absentSinceMillis?.takeIf { joins }?.let { it..status.atMillis }
    return copy(
        condition = if (joins) live.copy(joined = true) else condition,
        seen = status,
        highest = maxOf(highest ?: status.version, status.version),
        inForce = inForce.putAll(reached.associate { it.edit to status.appliedMillis }),
        absences = if (absence == null) absences else absences.add(absence),
        absentSinceMillis = if (joins) null else absentSinceMillis,
    )
}

private fun volumeRead(state: ChaosState, read: Observation.VolumeRead): ChaosState =
    state.withNode(read.node) { it.copy(volumeOfLife = read.volume) }

private fun faultApplied(state: ChaosState, fault: Fault, atMillis: Long): ChaosState =
    when (fault) {
        is Fault.NodeStopped -> state.absent(fault.node, NodeCondition.Stopped, atMillis)
        is Fault.NodePaused -> state.absent(fault.node, NodeCondition.Paused, atMillis)
        is Fault.NodeStarted -> state.withNode(fault.node) {
            it.copy(
                condition = NodeCondition.Live(atMillis, joined = false),
                seen = null,
                volume = it.volume + it.volumeOfLife,
                volumeOfLife = ControlVolume(),
            )
        }
        is Fault.NodeResumed -> state.withNode(fault.node) {
            it.copy(condition = NodeCondition.Live(atMillis, joined = false))
        }
        is Fault.StoreSet -> storeSet(state, fault.condition, atMillis)
        is Fault.DrainAnnounced -> state.copy(drains = state.drains.add(Drain(fault.instance, atMillis)))
        is Fault.UpstreamStopped -> state.endDrain(fault, atMillis)
        is Fault.UpstreamStarted -> state
        is Fault.Ended -> state.copy(endedMillis = atMillis)
    }

private fun ChaosState.absent(node: NodeId, condition: NodeCondition, atMillis: Long): ChaosState =
    withNode(node) { it.copy(condition = condition, absentSinceMillis = it.absentSinceMillis ?: atMillis) }

private fun ChaosState.endDrain(stop: Fault.UpstreamStopped, atMillis: Long): ChaosState {
    val index = drains.indexOfLast { it.instance == stop.instance && it.stoppedMillis == null }
    return if (index < 0) this else copy(drains = drains.set(index, drains[index].copy(stoppedMillis = atMillis)))
}

private fun storeSet(state: ChaosState, condition: StoreCondition, atMillis: Long): ChaosState {
    val since = state.storeFaultSinceMillis
    return when {
        condition != StoreCondition.UP -> state.copy(storeFaultSinceMillis = since ?: atMillis)
        since == null -> state
        else -> state.copy(storeFaults = state.storeFaults.add(since..atMillis), storeFaultSinceMillis = null)
    }
}

/** Reasons that a node gives only if a route of its own is missing or leads nowhere. */
private val DANGLING_REASONS = setOf("no-route", "unknown-instance")
