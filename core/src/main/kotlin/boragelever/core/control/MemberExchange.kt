package boragelever.core.control

import boragelever.core.NodeId

/** Minimum interval between two summaries that a node sends because of a digest mismatch. */
internal const val SUMMARY_INTERVAL_MILLIS: Long = 2_000

/** Number of heartbeats with the same pair of mismatching digests after which a summary is sent. */
private const val STABLE_MISMATCH_LIMIT = 2

/** Number of heartbeats with mismatching digests after which a summary is sent although the tables still change. */
private const val CHANGING_MISMATCH_LIMIT = 5

internal inline fun ControlState.updateExchange(change: ExchangeState.() -> ExchangeState): ControlState =
    updateMembership { copy(exchange = exchange.change()) }

/** Compares the digest of [peer]'s member table with the local one and sends a summary if the mismatch persists. */
internal fun ControlState.compareDigests(peer: NodeId, remoteDigest: Long, nowMillis: Long): Transition {
    val localDigest = membership.table.digest
    val known = membership.exchange.digestMismatches[peer]
    if (remoteDigest == localDigest) {
        if (known == null) return withoutEffects()
        return updateExchange { copy(digestMismatches = digestMismatches.remove(peer)) }.withoutEffects()
    }
    val isStable = known != null && known.remoteDigest == remoteDigest && known.localDigest == localDigest
    val next = DigestMismatch(remoteDigest, localDigest, (known?.count ?: 0) + 1)
    val recorded = updateExchange { copy(digestMismatches = digestMismatches.put(peer, next)) }
    val persists = (isStable && next.count >= STABLE_MISMATCH_LIMIT) || next.count >= CHANGING_MISMATCH_LIMIT
    val lastMillis = membership.exchange.lastSummaryMillis
    val maySendSummary = lastMillis == null || nowMillis - lastMillis >= SUMMARY_INTERVAL_MILLIS
    return if (persists && maySendSummary) recorded.sendSummary(peer, nowMillis) else recorded.withoutEffects()
}

internal fun ControlState.sendSummary(peer: NodeId, nowMillis: Long): Transition =
    updateExchange { copy(digestMismatches = digestMismatches.remove(peer), lastSummaryMillis = nowMillis) }
        .send(peer, PeerMessage.MemberSummary(summary()))

private fun ControlState.summary(): List<MemberSummaryEntry> =
    membership.table.members.values.map { member ->
        MemberSummaryEntry(member.record.node, member.record.incarnation, member.record.sequence, member.status)
    }

/** Replies to a summary with the records that the sender lacks and pulls those that this node lacks. */
internal fun ControlState.handleSummary(
    from: NodeId,
    summary: PeerMessage.MemberSummary,
    nowMillis: Long,
): Transition {
    val limiter = membership.exchange.replyLimiter.tryTake(nowMillis) ?: return withoutEffects()
    val remoteEntries = summary.entries.associateBy { it.node }
    val newer = membership.table.members.values.filter { member ->
        member.isNewerThan(remoteEntries[member.record.node])
    }
    val missing = summary.entries.filter { entry -> entry.isNewerThan(membership.table[entry.node]) }.map { it.node }
    return updateExchange { copy(replyLimiter = limiter) }
        .sendRecords(from, newer)
        .andThenIf(missing.isNotEmpty()) { it.send(from, PeerMessage.MemberPull(missing)) }
}

/** Replies to a pull with the records of the requested nodes that this node knows. */
internal fun ControlState.handleMemberPull(from: NodeId, pull: PeerMessage.MemberPull, nowMillis: Long): Transition {
    val limiter = membership.exchange.replyLimiter.tryTake(nowMillis) ?: return withoutEffects()
    val known = pull.nodes.mapNotNull { membership.table[it] }
    return updateExchange { copy(replyLimiter = limiter) }.sendRecords(from, known)
}

/** Sends [records] once, without retries; the next comparison of digests detects a loss. */
internal fun ControlState.sendRecords(peer: NodeId, records: List<Member>): Transition {
    val (next, number) = allocateNumber()
    val updates = records.map { MemberStatusRecord(it.record, it.status) }
    return next.send(peer, PeerMessage.MemberUpdate(number, updates, TreeScope.SELF, isReply = true))
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

/** Acknowledges [update], merges its records and forwards it to its subtree. */
internal fun ControlState.handleMemberUpdate(
    from: NodeId,
    update: PeerMessage.MemberUpdate,
    nowMillis: Long,
): Transition {
    if (update.isReply) return handleReply(from, update.records, nowMillis)
    val acknowledged = send(from, PeerMessage.MemberAck(update.number))
    val first = acknowledged.state.recordReceipt(from, update.number) ?: return acknowledged
    val subtree = Subtree(update.scope, update.range)
    return Transition(first, acknowledged.effects)
        .andThen { it.mergeRecords(update.records, nowMillis).transition }
        .andThen { it.broadcast(update.records, subtree, nowMillis) }
}

/**
 * Merges records that were sent to this node alone, as a reply.
 *
 * Changes that the rest of the region may lack are broadcast in it: those from another region, those about an unknown
 * node, and those that revive a dead node. The death of a member of the local region is merged as a suspicion, so that
 * members that were declared dead on the other side of a partition can refute it.
 */
private fun ControlState.handleReply(
    from: NodeId,
    records: List<MemberStatusRecord>,
    nowMillis: Long,
): Transition {
    val before = membership
    // A single record about this node reports it as suspect or dead and is not the reply to a summary.
    val isTable = records.singleOrNull()?.record?.node != identity.node
    val isRemote = before.table[from]?.record?.region != identity.region
    val adjusted = records.map { if (it.record.region == identity.region) it.deathToSuspicion(before.table) else it }
    val merged = mergeRecords(adjusted, nowMillis)
    val changesToBroadcast = merged.changes.filter { change ->
        val known = before.table[change.record.node]
        isRemote || known == null || !known.isLive ||
            (change.status == MemberStatus.SUSPECT && known.record == change.record)
    }
    return merged.transition
        .andThenIf(isTable) { it.updateJoin { copy(hasJoined = true, failedRounds = 0) }.withoutEffects() }
        .andThenIf(before.join.hasJoined) { it.broadcast(changesToBroadcast, Subtree(TreeScope.REGION), nowMillis) }
}

private fun MemberStatusRecord.deathToSuspicion(table: MemberTable): MemberStatusRecord {
    val known = table[record.node] ?: return this
    val isDeath = status == MemberStatus.DEAD && known.status == MemberStatus.ALIVE
    return if (isDeath && known.record.version == record.version) copy(status = MemberStatus.SUSPECT) else this
}
