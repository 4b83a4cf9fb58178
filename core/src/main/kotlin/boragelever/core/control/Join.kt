package boragelever.core.control

import boragelever.core.EventContext
import boragelever.core.NetworkAddress
import boragelever.core.NodeId

/** Bound of the random wait before the first contact, which spreads the contacts of nodes that restart together. */
private const val FIRST_CONTACT_JITTER_MILLIS = 1_000L

/** Minimum wait for a reply before the next round of contacts. */
private const val CONTACT_TIMEOUT_MILLIS = 500L

/** Maximum bound of the random part of the wait between two rounds of contacts. */
private const val MAX_CONTACT_JITTER_MILLIS = 8_000L

/**
 * Number of addresses contacted in one round.
 *
 * After a failure of all nodes, each peer has just restarted as well and knows few others. With few contacts per round,
 * the mesh would need several rounds to form.
 */
private const val CONTACTS_PER_ROUND = 8

/** Number of table synchronizations after the first table was received, and the time between them. */
private const val INITIAL_SYNCS = 4
private const val INITIAL_SYNC_INTERVAL_MILLIS = 250L

/**
 * Number of rounds in which the member table is requested only from peers of the local region.
 *
 * The table of 1,000 members takes about 250 KB, and traffic between regions is billed.
 */
private const val LOCAL_REGION_ROUNDS = 2

/** Mean time between two probes by which a joined node searches for nodes that none of its peers knows. */
private const val PROBE_INTERVAL_MILLIS = 30_000L

/**
 * Number of live members above which each node probes less often: the interval grows with the number of members, so
 * that all nodes together send about one probe in 2 s.
 *
 * With a fixed interval, the probes of 1,000 nodes made up most of the traffic between idle regions.
 */
private const val MEMBERS_PER_PROBE_INTERVAL = 16

internal inline fun ControlState.updateJoin(change: JoinState.() -> JoinState): ControlState =
    updateMembership { copy(join = join.change()) }

internal fun ControlState.startJoin(context: EventContext): ControlState =
    updateJoin {
        copy(
            nextContactAtMillis =
                context.nowMillis + context.jitterMillis("first-contact", FIRST_CONTACT_JITTER_MILLIS),
        )
    }

/** Contacts peers until one has sent its member table; from then on probes a random address at intervals. */
internal fun ControlState.tickJoin(context: EventContext): Transition {
    val join = membership.join
    val hasJoined = join.hasJoined && hasPeers
    return when {
        hasJoined && join.initialSyncs < INITIAL_SYNCS && context.nowMillis >= join.nextInitialSyncAtMillis ->
            syncWithRandomPeer(context)
        context.nowMillis < join.nextContactAtMillis -> withoutEffects()
        hasJoined -> probeRandomAddress(context)
        else -> startContactRound(context)
    }
}

/** Synchronizes tables with a random peer, since the peer that sent its table may have just started. */
private fun ControlState.syncWithRandomPeer(context: EventContext): Transition {
    val peers = membership.table.members.values.filter { it.isLive && it.record.node != identity.node }
    val peer = peers.randomOrNull(context.random("comparison"))?.record?.node
    val next = updateJoin {
        copy(
            initialSyncs = initialSyncs + 1,
            nextInitialSyncAtMillis = context.nowMillis + INITIAL_SYNC_INTERVAL_MILLIS,
        )
    }
    return if (peer == null) next.withoutEffects() else next.sendSummary(peer, context.nowMillis)
}

private val ControlState.contactAddresses: List<NetworkAddress>
    get() = (identity.seeds + membership.join.storedAddresses).filter { it != identity.peerAddress }.distinct()

private fun ControlState.startContactRound(context: EventContext): Transition {
    val join = membership.join
    val jitterMillis =
        context.fullJitterMillis("contact-wait", join.failedRounds, CONTACT_TIMEOUT_MILLIS, MAX_CONTACT_JITTER_MILLIS)
    val waitMillis = CONTACT_TIMEOUT_MILLIS + jitterMillis
    val addresses = contactAddresses.shuffled(context.random("contact-choice")).take(CONTACTS_PER_ROUND)
    return updateJoin {
        copy(
            tableRequestedFrom = null,
            failedRounds = failedRounds + 1,
            nextContactAtMillis = context.nowMillis + waitMillis,
        )
    }.with(*addresses.map { Effect.ContactAddress(it) }.toTypedArray())
        .andThen { it.requestTableFromKnownPeer(context) }
}

private fun ControlState.requestTableFromKnownPeer(context: EventContext): Transition {
    val localPeers = membership.table.region(identity.region).ring.entries.filter { it.node != identity.node }
    val peer = localPeers.randomOrNull(context.random("contact-peer"))?.node ?: return withoutEffects()
    return requestTable(peer, context.nowMillis)
}

/** Broadcasts this node's record through [peer] and requests its member table. */
private fun ControlState.requestTable(peer: NodeId, nowMillis: Long): Transition {
    val localRecord = membership.localRecord ?: return withoutEffects()
    val update = PeerMessage.MemberUpdate(0, listOf(MemberStatusRecord(localRecord, MemberStatus.ALIVE)), TreeScope.ALL)
    return updateJoin { copy(tableRequestedFrom = peer) }
        .deliver(TreeEdge(peer, Subtree(TreeScope.ALL)), update, nowMillis)
        .andThen { it.sendSummary(peer, nowMillis) }
}

private fun ControlState.probeRandomAddress(context: EventContext): Transition {
    val liveMembers = membership.table.regions.values.sumOf { it.ring.entries.size }
    val waitMillis = context.jitterAroundMillis(
        "contact-wait",
        PROBE_INTERVAL_MILLIS * maxOf(1, liveMembers / MEMBERS_PER_PROBE_INTERVAL),
    )
    val address = contactAddresses.randomOrNull(context.random("contact-choice"))
    val next = updateJoin { copy(probedAddress = address, nextContactAtMillis = context.nowMillis + waitMillis) }
    return if (address == null) next.withoutEffects() else next.with(Effect.ContactAddress(address))
}

/** Merges the record from the hello of a peer and requests its member table if this node has none yet. */
internal fun ControlState.handlePeerConnected(record: MemberRecord, nowMillis: Long): Transition {
    val peer = record.node
    if (peer == identity.node) return withoutEffects()
    val known = membership.table[peer]
    val wasLive = known?.isLive == true
    val previous = listOfNotNull(known).filter {
        it.record.incarnation < record.incarnation && it.record.withdrawals.isNotEmpty()
    }
    val merged = mergeRecords(listOf(MemberStatusRecord(record, MemberStatus.ALIVE)), nowMillis)
    val join = membership.join
    val isProbedPeer = join.hasJoined && !wasLive && record.peerAddress == join.probedAddress
    return merged.transition
        .andThen { it.recordContact(peer, nowMillis).withoutEffects() }
        .andThen { it.notifyOfStatus(peer) }
        // The restarted process may not be able to read its row in the store.
        .andThenIf(previous.isNotEmpty()) { it.sendRecords(peer, previous) }
        .andThenIf(!join.hasJoined && join.tableRequestedFrom == null && mayRequestTableFrom(record)) {
            it.requestTable(peer, nowMillis)
        }
        .andThenIf(isProbedPeer) { it.sendSummary(peer, nowMillis) }
}

private fun ControlState.mayRequestTableFrom(record: MemberRecord): Boolean =
    record.region == identity.region || membership.join.failedRounds > LOCAL_REGION_ROUNDS

/** Sends [peer] its record if it counts as suspect or dead, so that it can refute that. */
internal fun ControlState.notifyOfStatus(peer: NodeId): Transition {
    val member = membership.table[peer] ?: return withoutEffects()
    return if (member.status == MemberStatus.ALIVE) withoutEffects() else sendRecords(peer, listOf(member))
}
