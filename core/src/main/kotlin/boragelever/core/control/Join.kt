package boragelever.core.control

import boragelever.core.NetworkAddress
import boragelever.core.NodeId
import boragelever.core.Stamp

/** Bound of the random wait before the first contact, so that nodes that restart together spread their contacts. */
private const val FIRST_CONTACT_JITTER_MILLIS = 1_000L

/** Wait for an answer before other peers are asked. */
private const val CONTACT_TIMEOUT_MILLIS = 500L

/** Longest bound of the random part of the wait between two rounds of contacts. */
private const val MAX_CONTACT_JITTER_MILLIS = 8_000L

/**
 * Addresses contacted in one round.
 *
 * After a loss of all nodes each peer has just started as well and knows few others, so that few contacts take several
 * rounds to bring the mesh together.
 */
private const val CONTACTS_PER_ROUND = 8

/** Comparisons of tables that follow the first one, and the time between them. */
private const val INITIAL_SYNCS = 4
private const val INITIAL_SYNC_INTERVAL_MILLIS = 250L

/**
 * Rounds in which only peers of the own region are asked for the member table.
 *
 * The table of 1,000 members takes about 250 KB, and bytes between regions are billed.
 */
private const val LOCAL_REGION_ROUNDS = 2

/** Mean time between two contacts by which a joined node looks for nodes that none of its peers knows. */
private const val PROBE_INTERVAL_MILLIS = 30_000L

/**
 * Live members above which each of them probes less often, so that all together send about one probe in 2 s.
 *
 * At a fixed time for each node the probes of 1,000 nodes were most of the bytes between idle regions.
 */
private const val MEMBERS_PER_PROBE_INTERVAL = 16

internal inline fun ControlState.updateJoin(change: JoinState.() -> JoinState): ControlState =
    updateMembers { copy(join = join.change()) }

internal fun ControlState.startJoin(stamp: Stamp): ControlState =
    updateJoin { copy(nextContactAtMillis = stamp.nowMillis + stamp.jitterMillis("first-contact", FIRST_CONTACT_JITTER_MILLIS)) }

/** Contacts peers until one has sent its member table, and from then on a random address now and then. */
internal fun ControlState.tickJoin(stamp: Stamp): Transition {
    val join = members.join
    val hasJoined = join.hasJoined && hasPeers
    return when {
        hasJoined && join.initialSyncs < INITIAL_SYNCS && stamp.nowMillis >= join.nextInitialSyncAtMillis -> syncWithRandomPeer(stamp)
        stamp.nowMillis < join.nextContactAtMillis -> unchanged()
        hasJoined -> probeRandomAddress(stamp)
        else -> startContactRound(stamp)
    }
}

/** Compares tables with a random peer: the one that sent its table may have just started and know few members. */
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
    val jitterMillis = stamp.fullJitterMillis("contact-wait", join.failedRounds, CONTACT_TIMEOUT_MILLIS, MAX_CONTACT_JITTER_MILLIS)
    val waitMillis = CONTACT_TIMEOUT_MILLIS + jitterMillis
    val addresses = contactAddresses.shuffled(stamp.random("contact-choice")).take(CONTACTS_PER_ROUND)
    return updateJoin { copy(tableRequestedFrom = null, failedRounds = failedRounds + 1, nextContactAtMillis = stamp.nowMillis + waitMillis) }
        .with(*addresses.map { Effect.ContactAddress(it) }.toTypedArray())
        .andThen { it.requestTableFromKnownPeer(stamp) }
}

private fun ControlState.requestTableFromKnownPeer(stamp: Stamp): Transition {
    val own = members.table.region(identity.region).ring.entries.filter { it.node != identity.node }
    val peer = own.randomOrNull(stamp.random("contact-peer"))?.node ?: return unchanged()
    return requestTable(peer, stamp.nowMillis)
}

/** Announces this node through [peer] and asks it for its member table. */
private fun ControlState.requestTable(peer: NodeId, nowMillis: Long): Transition {
    val own = members.localRecord ?: return unchanged()
    val announcement = PeerMessage.MemberUpdate(0, listOf(MemberStatusRecord(own, MemberStatus.ALIVE)), TreeScope.ALL)
    return updateJoin { copy(tableRequestedFrom = peer) }
        .deliver(TreeEdge(peer, Subtree(TreeScope.ALL)), announcement, nowMillis)
        .andThen { it.sendSummary(peer, nowMillis) }
}

private fun ControlState.probeRandomAddress(stamp: Stamp): Transition {
    val liveMembers = members.table.regions.values.sumOf { it.ring.entries.size }
    val waitMillis = stamp.jitterAroundMillis("contact-wait", PROBE_INTERVAL_MILLIS * maxOf(1, liveMembers / MEMBERS_PER_PROBE_INTERVAL))
    val address = contactAddresses.randomOrNull(stamp.random("contact-choice"))
    val next = updateJoin { copy(probedAddress = address, nextContactAtMillis = stamp.nowMillis + waitMillis) }
    return if (address == null) next.unchanged() else next.with(Effect.ContactAddress(address))
}

/** Learns of a peer from its hello. */
internal fun ControlState.handlePeerConnected(record: MemberRecord, nowMillis: Long): Transition {
    val peer = record.node
    if (peer == identity.node) return unchanged()
    val wasKnown = members.table[peer]?.isLive == true
    val merged = mergeRecords(listOf(MemberStatusRecord(record, MemberStatus.ALIVE)), nowMillis)
    val join = members.join
    val isFound = join.hasJoined && !wasKnown && record.peerAddress == join.probedAddress
    return merged.transition
        .andThen { it.recordContact(peer, nowMillis).unchanged() }
        .andThen { it.notifyOfStatus(peer) }
        .andThenIf(!join.hasJoined && join.tableRequestedFrom == null && mayRequestTableFrom(record)) { it.requestTable(peer, nowMillis) }
        .andThenIf(isFound) { it.sendSummary(peer, nowMillis) }
}

private fun ControlState.mayRequestTableFrom(record: MemberRecord): Boolean =
    record.region == identity.region || members.join.failedRounds > LOCAL_REGION_ROUNDS

/** Tells [peer] if it counts as suspect or dead, so that it refutes this. */
internal fun ControlState.notifyOfStatus(peer: NodeId): Transition {
    val member = members.table[peer] ?: return unchanged()
    return if (member.status == MemberStatus.ALIVE) unchanged() else sendRecords(peer, listOf(member))
}
