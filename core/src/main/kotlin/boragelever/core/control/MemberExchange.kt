package boragelever.core.control

import boragelever.core.NodeId

/** Shortest time between two summaries that a node sends of its own accord. */
internal const val SUMMARY_INTERVAL_MILLIS: Long = 2_000

/** Heartbeats with the same pair of digests after which a difference counts as lasting. */
private const val STEADY_DIFFERENCES = 2

/** Heartbeats with any differing digests after which a summary is sent even though the tables still change. */
private const val CHANGING_DIFFERENCES = 5

internal inline fun ControlState.updateExchange(change: ExchangeState.() -> ExchangeState): ControlState =
    updateMembership { copy(exchange = exchange.change()) }

/** Compares the digest of [peer]'s member table with this node's and sends a summary if the difference lasts. */
internal fun ControlState.compareTables(peer: NodeId, theirs: Long, nowMillis: Long): Transition {
    val ours = membership.table.digest
    val known = membership.exchange.differences[peer]
    if (theirs == ours) {
        if (known == null) return withoutEffects()
        return updateExchange { copy(differences = differences.remove(peer)) }.withoutEffects()
    }
    val isSteady = known != null && known.theirs == theirs && known.ours == ours
    val next = TableDifference(theirs, ours, (known?.count ?: 0) + 1)
    val noted = updateExchange { copy(differences = differences.put(peer, next)) }
    val lasts = (isSteady && next.count >= STEADY_DIFFERENCES) || next.count >= CHANGING_DIFFERENCES
    val lastMillis = membership.exchange.lastSummaryMillis
    val mayAsk = lastMillis == null || nowMillis - lastMillis >= SUMMARY_INTERVAL_MILLIS
    return if (lasts && mayAsk) noted.sendSummary(peer, nowMillis) else noted.withoutEffects()
}

internal fun ControlState.sendSummary(peer: NodeId, nowMillis: Long): Transition =
    updateExchange { copy(differences = differences.remove(peer), lastSummaryMillis = nowMillis) }
        .send(peer, PeerMessage.MemberSummary(summary()))

private fun ControlState.summary(): List<MemberSummaryEntry> =
    membership.table.members.values.map { member ->
        MemberSummaryEntry(member.record.node, member.record.incarnation, member.record.sequence, member.status)
    }

/** Answers a summary with the records that the sender lacks and asks for those that this node lacks. */
internal fun ControlState.answerSummary(
    from: NodeId,
    summary: PeerMessage.MemberSummary,
    nowMillis: Long,
): Transition {
    val bucket = membership.exchange.serving.take(nowMillis) ?: return withoutEffects()
    val theirs = summary.entries.associateBy { it.node }
    val newer = membership.table.members.values.filter { member -> member.isNewerThan(theirs[member.record.node]) }
    val missing = summary.entries.filter { entry -> entry.isNewerThan(membership.table[entry.node]) }.map { it.node }
    return updateExchange { copy(serving = bucket) }
        .sendRecords(from, newer)
        .andThenIf(missing.isNotEmpty()) { it.send(from, PeerMessage.MemberPull(missing)) }
}

/** Answers a pull with the records of the nodes that this node knows. */
internal fun ControlState.answerPull(from: NodeId, pull: PeerMessage.MemberPull, nowMillis: Long): Transition {
    val bucket = membership.exchange.serving.take(nowMillis) ?: return withoutEffects()
    val known = pull.nodes.mapNotNull { membership.table[it] }
    return updateExchange { copy(serving = bucket) }.sendRecords(from, known)
}

/** Sends [records] once; losses are found by the next comparison of digests. */
internal fun ControlState.sendRecords(peer: NodeId, records: List<Member>): Transition {
    val (next, number) = allocateNumber()
    val updates = records.map { MemberStatusRecord(it.record, it.status) }
    return next.send(peer, PeerMessage.MemberUpdate(number, updates, TreeScope.SELF, isAnswer = true))
}

private fun Member.isNewerThan(entry: MemberSummaryEntry?): Boolean {
    if (entry == null) return isLive
    val order = record.version.compareTo(entry.version)
    return order > 0 || (order == 0 && status > entry.status)
}

private fun MemberSummaryEntry.isNewerThan(member: Member?): Boolean {
    if (member == null) return status != MemberStatus.DEAD
    val order = version.compareTo(member.record.version)
    return order > 0 || (order == 0 && status > member.status)
}

private val MemberSummaryEntry.version: RecordVersion get() = RecordVersion(incarnation, sequence)

/** Merges the records of [update], acknowledges it and forwards it to its part of the tree. */
internal fun ControlState.receiveUpdate(
    from: NodeId,
    update: PeerMessage.MemberUpdate,
    nowMillis: Long,
): Transition {
    if (update.isAnswer) return receiveAnswer(from, update.records, nowMillis)
    val acknowledged = send(from, PeerMessage.MemberAck(update.number))
    val first = acknowledged.state.recordReceipt(from, update.number) ?: return acknowledged
    val part = TreePart(update.scope, update.range)
    return Transition(first, acknowledged.effects)
        .andThen { it.mergeRecords(update.records, nowMillis).transition }
        .andThen { it.broadcast(update.records, part, nowMillis) }
}

/**
 * Merges records that were sent to this node alone.
 *
 * News that the rest of the region may lack are broadcast in it: what comes from another region, what is about a node
 * that was unknown, and what brings a dead node back. The death of a member of the own region is taken as a suspicion,
 * so that members that were declared dead on the other side of a partition can refute it.
 */
private fun ControlState.receiveAnswer(
    from: NodeId,
    records: List<MemberStatusRecord>,
    nowMillis: Long,
): Transition {
    val before = membership
    // A single record about this node tells that it counts as suspect or dead and is not the answer to a summary.
    val isTable = records.singleOrNull()?.record?.node != identity.node
    val isRemote = before.table[from]?.record?.region != identity.region
    val doubted = records.map { if (it.record.region == identity.region) it.doubted(before.table) else it }
    val merged = mergeRecords(doubted, nowMillis)
    val spread = merged.news.filter { news ->
        val known = before.table[news.record.node]
        isRemote || known == null || !known.isLive ||
            (news.status == MemberStatus.SUSPECT && known.record == news.record)
    }
    return merged.transition
        .andThenIf(isTable) { it.updateJoin { copy(joined = true, rounds = 0) }.withoutEffects() }
        .andThenIf(before.join.joined) { it.broadcast(spread, TreePart(TreeScope.REGION), nowMillis) }
}

private fun MemberStatusRecord.doubted(table: MemberTable): MemberStatusRecord {
    val known = table[record.node] ?: return this
    val isDeath = status == MemberStatus.DEAD && known.status == MemberStatus.ALIVE
    return if (isDeath && known.record.version == record.version) copy(status = MemberStatus.SUSPECT) else this
}
