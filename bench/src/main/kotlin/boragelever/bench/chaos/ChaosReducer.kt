package boragelever.bench.chaos

import boragelever.core.NodeId
import kotlinx.collections.immutable.persistentListOf

/** Design bound for an edit to be applied on all nodes, and for an invalid folder to be reported. */
internal const val APPLY_BOUND_MILLIS = 4_000L

/** Design bound from the start of a drain to the last call that the upstream starts to execute. */
internal const val DRAIN_BOUND_MILLIS = 2_000L

/** Folds [observation] into [state]; observations must come in order of time. */
internal fun reduceChaos(state: ChaosState, observation: Observation): ChaosState =
    when (observation) {
        is Observation.CallEnded -> callEnded(state, observation)
        is Observation.Executed -> executed(state, observation)
        is Observation.StatusObserved -> statusObserved(state, observation)
        is Observation.FolderEdited -> state.copy(edits = state.edits.add(observation))
        is Observation.VolumeRead -> volumeRead(state, observation)
        is Observation.FaultApplied -> faultApplied(state, observation.fault, observation.atMillis)
    }

private fun callEnded(state: ChaosState, call: Observation.CallEnded): ChaosState {
    val withCall = state.copy(calls = state.calls.add(call))
    val response = call.result as? CallResult.Responded ?: return withCall
    val reason = response.reason
    val dangling = "${call.request.value} on ${call.node}: $reason".takeIf { reason in DANGLING_ROUTE_REASONS }
    val checked = withCall.check(Check.DANGLING_ROUTE, dangling)
    if (response.body == BodyCheck.ERROR) return checked
    val wrong = "${call.request.value} on ${call.node}".takeIf { response.body == BodyCheck.UNEXPECTED }
    return checked.check(Check.WRONG_BODY, wrong)
}

private fun executed(state: ChaosState, run: Observation.Executed): ChaosState {
    val previousRuns = state.executions[run.request] ?: persistentListOf()
    val added = state.copy(executions = state.executions.put(run.request, previousRuns.add(run)))
    val counted = if (run.key == null) {
        added
    } else {
        added.copy(executionsByKey = added.executionsByKey.put(run.key, (added.executionsByKey[run.key] ?: 0) + 1))
    }
    val activeDrains = state.drains.filter { it.stoppedMillis == null }
    val overdue = activeDrains.filter { run.atMillis - it.startedMillis > DRAIN_BOUND_MILLIS }
    if (overdue.isEmpty()) return counted
    val drain = overdue.firstOrNull { it.instance == run.instance }
    val problem = drain?.let {
        "${run.request.value} on ${it.instance} ${run.atMillis - it.startedMillis} ms after the drain started"
    }
    return counted.check(Check.EXECUTED_WHILE_DRAINING, problem)
}

private fun statusObserved(state: ChaosState, status: Observation.StatusObserved): ChaosState {
    val previous = state.nodes[status.node]
    return state
        .checkVersions(status, previous)
        .checkContent(status)
        .withNode(status.node) { it.withStatus(status, state.editOf(status.digest), state.edits) }
        .let { if (status.rejectsFolder) it.copy(rejections = it.rejections.add(status.atMillis)) else it }
}

private fun ChaosState.checkVersions(status: Observation.StatusObserved, previous: NodeHistory?): ChaosState {
    val lastVersion = previous?.lastStatus?.version
    val highestVersion = previous?.highestVersion
    val decreased = "${status.node} went back from $lastVersion to ${status.version}"
    val behind = "${status.node} applied ${status.version} after a restart and $highestVersion before it"
    val checked =
        check(Check.VERSION_DECREASED, decreased.takeIf { lastVersion != null && status.version < lastVersion })
    if (lastVersion != null || highestVersion == null) return checked
    return checked.check(Check.VERSION_DECREASED_AFTER_RESTART, behind.takeIf { status.version < highestVersion })
}

private fun ChaosState.checkContent(status: Observation.StatusObserved): ChaosState {
    val knownDigest = digests[status.version]
    val edit = editOf(status.digest)
    val other = "${status.version} has digest ${status.digest} on ${status.node} and $knownDigest on another node"
    val foreign = "${status.node} applied ${status.version} with digest ${status.digest}, which the folder never had"
    val checked = check(Check.DIGEST_CONFLICT, other.takeIf { knownDigest != null && knownDigest != status.digest })
        .check(Check.UNKNOWN_CONTENT, foreign.takeIf { edit == null })
    val firstMillis = minOf(status.appliedMillis, firstAppliedMillis[status.digest] ?: Long.MAX_VALUE)
    val recorded = checked.copy(firstAppliedMillis = firstAppliedMillis.put(status.digest, firstMillis))
    if (knownDigest != null || edit == null) return recorded
    val reverted = digests.entries.firstOrNull { (version, digest) ->
        val otherEdit = editOf(digest) ?: edit
        (version < status.version && otherEdit > edit) || (version > status.version && otherEdit < edit)
    }
    val problem = reverted?.let { "edit ${edit.value} is in ${status.version}, but ${it.key} has the other order" }
    return recorded.check(Check.EDIT_REVERTED, problem).copy(digests = digests.put(status.version, status.digest))
}

private fun NodeHistory.withStatus(
    status: Observation.StatusObserved,
    edit: EditNumber?,
    edits: List<Observation.FolderEdited>,
): NodeHistory {
    val newlyApplied = edits.filter { edit != null && it.edit <= edit && it.edit !in appliedMillisByEdit }
    val live = condition as? NodeCondition.Live
    val joins = live != null && !live.hasJoined
    val absence = absentSinceMillis?.takeIf { joins }?.let { it..status.atMillis }
    return copy(
        condition = if (joins) live.copy(hasJoined = true) else condition,
        lastStatus = status,
        highestVersion = maxOf(highestVersion ?: status.version, status.version),
        appliedMillisByEdit = appliedMillisByEdit.putAll(newlyApplied.associate { it.edit to status.appliedMillis }),
        absences = if (absence == null) absences else absences.add(absence),
        absentSinceMillis = if (joins) null else absentSinceMillis,
    )
}

private fun volumeRead(state: ChaosState, read: Observation.VolumeRead): ChaosState =
    state.withNode(read.node) { it.copy(processVolume = read.volume) }

private fun faultApplied(state: ChaosState, fault: Fault, atMillis: Long): ChaosState =
    when (fault) {
        is Fault.NodeStopped -> state.markAbsent(fault.node, NodeCondition.Stopped, atMillis)
        is Fault.NodePaused -> state.markAbsent(fault.node, NodeCondition.Paused, atMillis)
        is Fault.NodeStarted -> state.withNode(fault.node) {
            it.copy(
                condition = NodeCondition.Live(atMillis, hasJoined = false),
                lastStatus = null,
                earlierVolume = it.earlierVolume + it.processVolume,
                processVolume = ControlVolume(),
            )
        }
        is Fault.NodeResumed -> state.withNode(fault.node) {
            it.copy(condition = NodeCondition.Live(atMillis, hasJoined = false))
        }
        is Fault.StoreConditionChanged -> storeConditionChanged(state, fault.condition, atMillis)
        is Fault.DrainStarted -> state.copy(drains = state.drains.add(Drain(fault.instance, atMillis)))
        is Fault.UpstreamStopped -> state.endDrain(fault, atMillis)
        is Fault.UpstreamStarted -> state
        is Fault.Ended -> state.copy(endedMillis = atMillis)
    }

private fun ChaosState.markAbsent(node: NodeId, condition: NodeCondition, atMillis: Long): ChaosState =
    withNode(node) { it.copy(condition = condition, absentSinceMillis = it.absentSinceMillis ?: atMillis) }

private fun ChaosState.endDrain(stop: Fault.UpstreamStopped, atMillis: Long): ChaosState {
    val index = drains.indexOfLast { it.instance == stop.instance && it.stoppedMillis == null }
    return if (index < 0) this else copy(drains = drains.set(index, drains[index].copy(stoppedMillis = atMillis)))
}

private fun storeConditionChanged(state: ChaosState, condition: StoreCondition, atMillis: Long): ChaosState {
    val since = state.storeFaultSinceMillis
    return when {
        condition != StoreCondition.UP -> state.copy(storeFaultSinceMillis = since ?: atMillis)
        since == null -> state
        else -> state.copy(storeFaults = state.storeFaults.add(since..atMillis), storeFaultSinceMillis = null)
    }
}

/** Refusal reasons that a node gives only if a route is missing in its configuration or names an unknown instance. */
private val DANGLING_ROUTE_REASONS = setOf("no-route", "unknown-instance")
