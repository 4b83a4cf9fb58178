package boragelever.core.control

import boragelever.core.Incarnation
import boragelever.core.NodeId
import kotlinx.collections.immutable.PersistentMap

/** Changes what this node tells of itself and broadcasts it under the next sequence number. */
internal fun ControlState.publishLocalRecord(
    nowMillis: Long,
    urgent: Boolean = false,
    change: MemberRecord.() -> MemberRecord,
): Transition {
    val own = members.localRecord ?: return unchanged()
    val next = own.change().copy(sequence = own.sequence + 1)
    val update = MemberStatusRecord(next, MemberStatus.ALIVE)
    val merged = members.table.merge(update, nowMillis) ?: members.table
    return updateMembers { copy(localRecord = next, table = merged) }
        .broadcast(listOf(update), Subtree(TreeScope.ALL), nowMillis, urgent)
}

/** Raises the own incarnation above [atLeast], so that the record replaces whatever is told about this node. */
internal fun ControlState.raiseIncarnation(atLeast: Incarnation, nowMillis: Long): Transition =
    publishLocalRecord(nowMillis, urgent = true) {
        copy(incarnation = Incarnation(maxOf(incarnation, atLeast).value + 1))
    }

/** Tells all members that this node ends, so that nobody has to find out by its silence. */
internal fun ControlState.broadcastLeave(nowMillis: Long): Transition {
    val own = members.localRecord ?: return unchanged()
    val end = MemberStatusRecord(own, MemberStatus.DEAD)
    return broadcast(listOf(end), Subtree(TreeScope.ALL), nowMillis, urgent = true)
}

/** Result of merging records: the transition and those that brought something new. */
internal data class MergeResult(val transition: Transition, val changes: List<MemberStatusRecord>)

/** Merges [updates] into the member table and refutes what is wrong about this node. */
internal fun ControlState.mergeRecords(updates: List<MemberStatusRecord>, nowMillis: Long): MergeResult {
    val news = mutableListOf<MemberStatusRecord>()
    val transition = forEach(updates) { state, update ->
        if (update.record.node == identity.node) {
            state.refute(update, nowMillis)
        } else {
            val next = state.mergeRecord(update, nowMillis)
            if (next != null) news += update
            next ?: state.unchanged()
        }
    }
    return MergeResult(transition, news)
}

private fun ControlState.refute(update: MemberStatusRecord, nowMillis: Long): Transition {
    val own = members.localRecord ?: return unchanged()
    val order = update.record.version.compareTo(own.version)
    val isWrong = order > 0 || (order == 0 && update.status != MemberStatus.ALIVE)
    return if (isWrong && !hasDeparted) raiseIncarnation(update.record.incarnation, nowMillis) else unchanged()
}

private fun ControlState.mergeRecord(update: MemberStatusRecord, nowMillis: Long): Transition? {
    val table = members.table.merge(update, nowMillis) ?: return null
    val node = update.record.node
    val before = members.table[node]?.status
    val next = updateMembers { copy(table = table, detector = detector.onStatusChange(update, before, nowMillis)) }
    return if (before == update.status) {
        next.unchanged()
    } else {
        next.with(report(Notice.MemberChanged(node, update.status)))
    }
}

private fun DetectorState.onStatusChange(
    update: MemberStatusRecord,
    before: MemberStatus?,
    nowMillis: Long,
): DetectorState {
    val node = update.record.node
    return when (update.status) {
        MemberStatus.ALIVE ->
            if (before == null || before == MemberStatus.ALIVE) {
                this
            } else {
                copy(
                    suspects = suspects.remove(node),
                    deadSinceMillis = deadSinceMillis.remove(node),
                    monitoredPeers = monitoredPeers.withRefutation(node, nowMillis),
                )
            }
        MemberStatus.SUSPECT -> {
            val suspicion = suspects[node] ?: Suspicion(nowMillis, raisedLocally = false)
            copy(suspects = suspects.put(node, suspicion), deadSinceMillis = deadSinceMillis.remove(node))
        }
        MemberStatus.DEAD -> copy(suspects = suspects.remove(node), deadSinceMillis = deadSinceMillis.put(node, nowMillis))
    }
}

private fun PersistentMap<NodeId, MonitoredPeer>.withRefutation(node: NodeId, nowMillis: Long): PersistentMap<NodeId, MonitoredPeer> {
    val watch = this[node] ?: return this
    val count = watch.recentRefutations(nowMillis) + 1
    return put(node, watch.copy(lastHeardMillis = nowMillis, refutations = count, lastRefutedMillis = nowMillis))
}

/** Sets the status that this node itself found for [node] and broadcasts it if [announce] is set. */
internal fun ControlState.declareStatus(node: NodeId, status: MemberStatus, nowMillis: Long, announce: Boolean): Transition {
    val record = members.table[node]?.record ?: return unchanged()
    val update = MemberStatusRecord(record, status)
    val judged = mergeRecord(update, nowMillis) ?: return unchanged()
    return judged.andThenIf(announce) { it.broadcast(listOf(update), Subtree(TreeScope.ALL), nowMillis) }
}
