package boragelever.core.control

import boragelever.core.NetworkAddress
import boragelever.core.NodeId
import boragelever.core.Stamp

/** Bound of the random wait before the first contact, which spreads the contacts of nodes that restart together. */
private const val FIRST_CONTACT_JITTER_MILLIS = 1_000L

/** Minimum wait for a reply before the next round of contacts. */
private const val CONTACT_TIMEOUT_MILLIS = 500L

/** Maximum bound of the random part of the wait between two rounds of contacts. */
private const val MAX_CONTACT_JITTER_MILLIS = 8_000L

/**
 * Number of addresses contacted in one round.
 *
 * After all nodes have failed, each peer has just restarted as well and knows few others. With few contacts per round,
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
 * With a fixed interval, the probes of 1,000 nodes were most of the traffic between idle regions.
 */
private const val MEMBERS_PER_PROBE_INTERVAL = 16

internal inline fun ControlState.updateJoin(change: JoinState.() -> JoinState): ControlState =
    updateMembers { copy(join = join.change()) }

internal fun ControlState.startJoin(stamp: Stamp): ControlState =
    updateJoin {
        copy(nextContactAtMillis = stamp.nowMillis + stamp.jitterMillis("first-contact", FIRST_CONTACT_JITTER_MILLIS))
    }

/** Contacts peers until one has sent its member table; from then on probes a random address at intervals. */
internal fun ControlState.tickJoin(stamp: Stamp): Transition {
    val join = members.join
    val hasJoined = join.hasJoined && hasPeers
    return when {
        hasJoined && join.initialSyncs < INITIAL_SYNCS && stamp.nowMillis >= join.nextInitialSyncAtMillis ->
            syncWithRandomPeer(stamp)
        stamp.nowMillis < join.nextContactAtMillis -> unchanged()
        hasJoined -> probeRandomAddress(stamp)
        else -> startContactRound(stamp)
    }
}

/** Synchronizes tables with a random peer, since the peer that sent its table may have just started. */
private fun ControlState.syncWithRandomPeer(stamp: Stamp): Transition {
    val peers = members.table.members.values.filter { it.isLive && it.record.node != identity.node }
    val peer = peers.randomOrNull(stamp.random("comparison"))?.record?.node
    val next = updateJoin {
        copy(initialSyncs = initialSyncs + 1, nextInitialSyncAtMillis = stamp.nowMillis + INITIAL_SYNC_INTERVAL_MILLIS)
    }
    return if (peer == null) next.unchanged() else next.sendSummary(peer, stamp.nowMillis)
}

private val ControlState.contactAddresses: List<NetworkAddress>
    get() = (identity.seeds + members.join.storedAddresses).filter { it != identity.peerAddress }.distinct()

private fun ControlState.startContactRound(stamp: Stamp): Transition {
    val join = members.join
    val jitterMillis =
        stamp.fullJitterMillis("contact-wait", join.failedRounds, CONTACT_TIMEOUT_MILLIS, MAX_CONTACT_JITTER_MILLIS)
    val waitMillis = CONTACT_TIMEOUT_MILLIS + jitterMillis
    val addresses = contactAddresses.shuffled(stamp.random("contact-choice")).take(CONTACTS_PER_ROUND)
    return updateJoin {
        copy(
            tableRequestedFrom = null,
            failedRounds = failedRounds + 1,
            nextContactAtMillis = stamp.nowMillis + waitMillis,
        )
    }.with(*addresses.map { Effect.ContactAddress(it) }.toTypedArray())
        .andThen { it.requestTableFromKnownPeer(stamp) }
}

private fun ControlState.requestTableFromKnownPeer(stamp: Stamp): Transition {
    val localPeers = members.table.region(identity.region).ring.entries.filter { it.node != identity.node }
    val peer = localPeers.randomOrNull(stamp.random("contact-peer"))?.node ?: return unchanged()
    return requestTable(peer, stamp.nowMillis)
}

/** Broadcasts this node's record through [peer] and requests its member table. */
private fun ControlState.requestTable(peer: NodeId, nowMillis: Long): Transition {
    val localRecord = members.localRecord ?: return unchanged()
    val update = PeerMessage.MemberUpdate(0, listOf(MemberStatusRecord(localRecord, MemberStatus.ALIVE)), TreeScope.ALL)
    return updateJoin { copy(tableRequestedFrom = peer) }
        .deliver(TreeEdge(peer, Subtree(TreeScope.ALL)), update, nowMillis)
        .andThen { it.sendSummary(peer, nowMillis) }
}

private fun ControlState.probeRandomAddress(stamp: Stamp): Transition {
    val liveMembers = members.table.regions.values.sumOf { it.ring.entries.size }
    val waitMillis = stamp.jitterAroundMillis(
        "contact-wait",
        PROBE_INTERVAL_MILLIS * maxOf(1, liveMembers / MEMBERS_PER_PROBE_INTERVAL),
    )
    val address = contactAddresses.randomOrNull(stamp.random("contact-choice"))
    val next = updateJoin { copy(probedAddress = address, nextContactAtMillis = stamp.nowMillis + waitMillis) }
    return if (address == null) next.unchanged() else next.with(Effect.ContactAddress(address))
}

/** Merges the record from the hello of a peer and requests its member table if this node has none yet. */
internal fun ControlState.handlePeerConnected(record: MemberRecord, nowMillis: Long): Transition {
    val peer = record.node
    if (peer == identity.node) return unchanged()
    val wasLive = members.table[peer]?.isLive == true
    val merged = mergeRecords(listOf(MemberStatusRecord(record, MemberStatus.ALIVE)), nowMillis)
    val join = members.join
    val isProbedPeer = join.hasJoined && !wasLive && record.peerAddress == join.probedAddress
    return merged.transition
        .andThen { it.recordContact(peer, nowMillis).unchanged() }
        .andThen { it.notifyOfStatus(peer) }
        .andThenIf(!join.hasJoined && join.tableRequestedFrom == null && mayRequestTableFrom(record)) {
            it.requestTable(peer, nowMillis)
        }
        .andThenIf(isProbedPeer) { it.sendSummary(peer, nowMillis) }
}

private fun ControlState.mayRequestTableFrom(record: MemberRecord): Boolean =
    record.region == identity.region || members.join.failedRounds > LOCAL_REGION_ROUNDS

/** Sends [peer] its record if it counts as suspect or dead, so that it refutes this. */
internal fun ControlState.notifyOfStatus(peer: NodeId): Transition {
    val member = members.table[peer] ?: return unchanged()
    return if (member.status == MemberStatus.ALIVE) unchanged() else sendRecords(peer, listOf(member))
}
