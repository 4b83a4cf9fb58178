package boragelever.core.control

import boragelever.core.Incarnation
import boragelever.core.NodeId
import kotlinx.collections.immutable.PersistentMap

/** Changes what this node tells of itself and broadcasts it under the next sequence number. */
internal fun ControlState.publishOwn(
    nowMillis: Long,
    urgent: Boolean = false,
    change: MemberRecord.() -> MemberRecord,
): Transition {
    val own = membership.own ?: return withoutEffects()
    val next = own.change().copy(sequence = own.sequence + 1)
    val update = MemberStatusRecord(next, MemberStatus.ALIVE)
    val merged = membership.table.merge(update, nowMillis) ?: membership.table
    return updateMembership { copy(own = next, table = merged) }
        .broadcast(listOf(update), TreePart(TreeScope.ALL), nowMillis, urgent)
}

/** Raises the own incarnation above [atLeast], so that the record replaces whatever is told about this node. */
internal fun ControlState.raiseIncarnation(atLeast: Incarnation, nowMillis: Long): Transition =
    publishOwn(nowMillis, urgent = true) {
        copy(incarnation = Incarnation(maxOf(incarnation, atLeast).value + 1))
    }

/** Tells all members that this node ends, so that nobody has to find out by its silence. */
internal fun ControlState.announceEnd(nowMillis: Long): Transition {
    val own = membership.own ?: return withoutEffects()
    val end = MemberStatusRecord(own, MemberStatus.DEAD)
    return broadcast(listOf(end), TreePart(TreeScope.ALL), nowMillis, urgent = true)
}

/** Result of merging records: the transition and those that brought something new. */
internal data class Merged(val transition: Transition, val news: List<MemberStatusRecord>)

/** Merges [updates] into the member table and refutes what is wrong about this node. */
internal fun ControlState.mergeRecords(updates: List<MemberStatusRecord>, nowMillis: Long): Merged {
    val news = mutableListOf<MemberStatusRecord>()
    val transition = foldTransitions(updates) { state, update ->
        if (update.record.node == identity.node) {
            state.refute(update, nowMillis)
        } else {
            val next = state.mergeRecord(update, nowMillis)
            if (next != null) news += update
            next ?: state.withoutEffects()
        }
    }
    return Merged(transition, news)
}

private fun ControlState.refute(update: MemberStatusRecord, nowMillis: Long): Transition {
    val own = membership.own ?: return withoutEffects()
    val order = update.record.version.compareTo(own.version)
    val wrong = order > 0 || (order == 0 && update.status != MemberStatus.ALIVE)
    return if (wrong && !hasAnnouncedLeave) raiseIncarnation(update.record.incarnation, nowMillis) else withoutEffects()
}

private fun ControlState.mergeRecord(update: MemberStatusRecord, nowMillis: Long): Transition? {
    val table = membership.table.merge(update, nowMillis) ?: return null
    val node = update.record.node
    val before = membership.table[node]?.status
    val next = updateMembership { copy(table = table, detector = detector.statusChanged(update, before, nowMillis)) }
    return if (before == update.status) {
        next.withoutEffects()
    } else {
        next.with(report(Notice.MemberChanged(node, update.status)))
    }
}

private fun DetectorState.statusChanged(
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
                    dead = dead.remove(node),
                    watches = watches.refuted(node, nowMillis),
                )
            }
        MemberStatus.SUSPECT -> {
            val suspicion = suspects[node] ?: Suspicion(nowMillis, raisedHere = false)
            copy(suspects = suspects.put(node, suspicion), dead = dead.remove(node))
        }
        MemberStatus.DEAD -> copy(suspects = suspects.remove(node), dead = dead.put(node, nowMillis))
    }
}

private fun PersistentMap<NodeId, Watch>.refuted(node: NodeId, nowMillis: Long): PersistentMap<NodeId, Watch> {
    val watch = this[node] ?: return this
    val count = watch.recentRefutations(nowMillis) + 1
    return put(node, watch.copy(heardMillis = nowMillis, refutations = count, refutedMillis = nowMillis))
}

/** Sets the status that this node itself found for [node] and broadcasts it if [announce] is set. */
internal fun ControlState.judge(node: NodeId, status: MemberStatus, nowMillis: Long, announce: Boolean): Transition {
    val record = membership.table[node]?.record ?: return withoutEffects()
    val update = MemberStatusRecord(record, status)
    val judged = mergeRecord(update, nowMillis) ?: return withoutEffects()
    return judged.andThenIf(announce) { it.broadcast(listOf(update), TreePart(TreeScope.ALL), nowMillis) }
}
