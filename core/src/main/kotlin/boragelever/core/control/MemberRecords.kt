package boragelever.core.control

import boragelever.core.Incarnation
import boragelever.core.NodeId
import kotlinx.collections.immutable.PersistentMap

/** Applies [change] to this node's record and broadcasts it with the next sequence number. */
internal fun ControlState.publishLocalRecord(
    nowMillis: Long,
    urgent: Boolean = false,
    change: MemberRecord.() -> MemberRecord,
): Transition {
    val localRecord = membership.localRecord ?: return withoutEffects()
    val next = localRecord.change().copy(sequence = localRecord.sequence + 1)
    val update = MemberStatusRecord(next, MemberStatus.ALIVE)
    val merged = membership.table.merge(update, nowMillis) ?: membership.table
    return updateMembership { copy(localRecord = next, table = merged) }
        .broadcast(listOf(update), Subtree(TreeScope.ALL), nowMillis, urgent)
}

/** Raises this node's incarnation above [atLeast], so that its record replaces all others about this node. */
internal fun ControlState.raiseIncarnation(atLeast: Incarnation, nowMillis: Long): Transition =
    publishLocalRecord(nowMillis, urgent = true) {
        copy(incarnation = Incarnation(maxOf(incarnation, atLeast).value + 1))
    }

/** Broadcasts that this node leaves, so that the other members need not detect it by its silence. */
internal fun ControlState.broadcastLeave(nowMillis: Long): Transition {
    val localRecord = membership.localRecord ?: return withoutEffects()
    val update = MemberStatusRecord(localRecord, MemberStatus.DEAD)
    return broadcast(listOf(update), Subtree(TreeScope.ALL), nowMillis, urgent = true)
}

/** Result of merging records: the transition, and the records that changed the member table. */
internal data class MergeResult(val transition: Transition, val changes: List<MemberStatusRecord>)

/** Merges [updates] into the member table and refutes wrong records about this node. */
internal fun ControlState.mergeRecords(updates: List<MemberStatusRecord>, nowMillis: Long): MergeResult {
    val changes = mutableListOf<MemberStatusRecord>()
    val transition = foldTransitions(updates) { state, update ->
        if (update.record.node == identity.node) {
            state.refute(update, nowMillis)
        } else {
            val next = state.mergeRecord(update, nowMillis)
            if (next != null) changes += update
            next ?: state.withoutEffects()
        }
    }
    return MergeResult(transition, changes)
}

private fun ControlState.refute(update: MemberStatusRecord, nowMillis: Long): Transition {
    val localRecord = membership.localRecord ?: return withoutEffects()
    val order = update.record.version.compareTo(localRecord.version)
    val wrong = order > 0 || (order == 0 && update.status != MemberStatus.ALIVE)
    return adoptWithdrawals(update.record.withdrawals, nowMillis)
        .andThenIf(wrong && !hasAnnouncedLeave) { it.raiseIncarnation(update.record.incarnation, nowMillis) }
}

private fun ControlState.mergeRecord(update: MemberStatusRecord, nowMillis: Long): Transition? {
    val table = membership.table.merge(update, nowMillis) ?: return null
    val node = update.record.node
    val before = membership.table[node]?.status
    val next = updateMembership { copy(table = table, detector = detector.onStatusChange(update, before, nowMillis)) }
    return if (before == update.status) {
        next.withoutEffects()
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
                    monitored = monitored.withRefutation(node, nowMillis),
                )
            }
        MemberStatus.SUSPECT -> {
            val suspicion = suspects[node] ?: Suspicion(nowMillis, raisedLocally = false)
            copy(suspects = suspects.put(node, suspicion), deadSinceMillis = deadSinceMillis.remove(node))
        }
        MemberStatus.DEAD ->
            copy(suspects = suspects.remove(node), deadSinceMillis = deadSinceMillis.put(node, nowMillis))
    }
}

private fun PersistentMap<NodeId, MonitoredPeer>.withRefutation(
    node: NodeId,
    nowMillis: Long,
): PersistentMap<NodeId, MonitoredPeer> {
    val peer = this[node] ?: return this
    val count = peer.recentRefutations(nowMillis) + 1
    return put(node, peer.copy(lastHeardMillis = nowMillis, refutations = count, lastRefutedMillis = nowMillis))
}

/** Sets the status that this node has determined for [node], and broadcasts it if [shouldBroadcast] is set. */
internal fun ControlState.declareStatus(
    node: NodeId,
    status: MemberStatus,
    nowMillis: Long,
    shouldBroadcast: Boolean,
): Transition {
    val record = membership.table[node]?.record ?: return withoutEffects()
    val update = MemberStatusRecord(record, status)
    val merged = mergeRecord(update, nowMillis) ?: return withoutEffects()
    return merged.andThenIf(shouldBroadcast) { it.broadcast(listOf(update), Subtree(TreeScope.ALL), nowMillis) }
}
