package boragelever.core.control

import boragelever.core.NetworkAddress
import boragelever.core.NodeId
import boragelever.core.Stamp

/** Bound of the random wait before the first contact, so that nodes that restart together spread their contacts. */
private const val FIRST_CONTACT_MILLIS = 1_000L

/** Wait for an answer before other peers are asked. */
private const val CONTACT_MILLIS = 500L

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
private const val COMPARISONS = 4
private const val COMPARISON_MILLIS = 250L

/**
 * Rounds in which only peers of the own region are asked for the member table.
 *
 * The table of 1,000 members takes about 250 KB, and bytes between regions are billed.
 */
private const val LOCAL_ROUNDS = 2

/** Mean time between two contacts by which a joined node looks for nodes that none of its peers knows. */
private const val PROBE_MILLIS = 30_000L

/**
 * Live members above which each of them probes less often, so that all together send about one probe in 2 s.
 *
 * At a fixed time for each node the probes of 1,000 nodes were most of the bytes between idle regions.
 */
private const val PROBING_MEMBERS = 16

internal inline fun ControlState.updateJoin(change: JoinState.() -> JoinState): ControlState =
    updateMembership { copy(join = join.change()) }

internal fun ControlState.startJoin(stamp: Stamp): ControlState =
    updateJoin { copy(nextContactMillis = stamp.nowMillis + stamp.jitterMillis("first-contact", FIRST_CONTACT_MILLIS)) }

/** Contacts peers until one has sent its member table, and from then on a random address now and then. */
internal fun ControlState.tickJoin(stamp: Stamp): Transition {
    val join = membership.join
    val hasJoined = join.joined && hasPeers
    return when {
        hasJoined && join.comparisons < COMPARISONS && stamp.nowMillis >= join.nextComparisonMillis -> compare(stamp)
        stamp.nowMillis < join.nextContactMillis -> withoutEffects()
        hasJoined -> probe(stamp)
        else -> contactRound(stamp)
    }
}

/** Compares tables with a random peer: the one that sent its table may have just started and know few members. */
private fun ControlState.compare(stamp: Stamp): Transition {
    val peers = membership.table.members.values.filter { it.isLive && it.record.node != identity.node }
    val peer = peers.randomOrNull(stamp.random("comparison"))?.record?.node
    val next = updateJoin {
        copy(comparisons = comparisons + 1, nextComparisonMillis = stamp.nowMillis + COMPARISON_MILLIS)
    }
    return if (peer == null) next.withoutEffects() else next.sendSummary(peer, stamp.nowMillis)
}

private val ControlState.contactAddresses: List<NetworkAddress>
    get() = (identity.seeds + membership.join.found).filter { it != identity.peerAddress }.distinct()

private fun ControlState.contactRound(stamp: Stamp): Transition {
    val join = membership.join
    val jitterMillis = stamp.fullJitterMillis("contact-wait", join.rounds, CONTACT_MILLIS, MAX_CONTACT_JITTER_MILLIS)
    val waitMillis = CONTACT_MILLIS + jitterMillis
    val addresses = contactAddresses.shuffled(stamp.random("contact-choice")).take(CONTACTS_PER_ROUND)
    return updateJoin { copy(asked = null, rounds = rounds + 1, nextContactMillis = stamp.nowMillis + waitMillis) }
        .with(*addresses.map { Effect.ContactAddress(it) }.toTypedArray())
        .andThen { it.askKnownPeer(stamp) }
}

private fun ControlState.askKnownPeer(stamp: Stamp): Transition {
    val own = membership.table.region(identity.region).ring.entries.filter { it.node != identity.node }
    val peer = own.randomOrNull(stamp.random("contact-peer"))?.node ?: return withoutEffects()
    return ask(peer, stamp.nowMillis)
}

/** Announces this node through [peer] and asks it for its member table. */
private fun ControlState.ask(peer: NodeId, nowMillis: Long): Transition {
    val own = membership.own ?: return withoutEffects()
    val announcement = PeerMessage.MemberUpdate(0, listOf(MemberStatusRecord(own, MemberStatus.ALIVE)), TreeScope.ALL)
    return updateJoin { copy(asked = peer) }
        .deliver(Hop(peer, TreePart(TreeScope.ALL)), announcement, nowMillis)
        .andThen { it.sendSummary(peer, nowMillis) }
}

private fun ControlState.probe(stamp: Stamp): Transition {
    val liveMembers = membership.table.regions.values.sumOf { it.ring.entries.size }
    val waitMillis = stamp.spreadMillis("contact-wait", PROBE_MILLIS * maxOf(1, liveMembers / PROBING_MEMBERS))
    val address = contactAddresses.randomOrNull(stamp.random("contact-choice"))
    val next = updateJoin { copy(probed = address, nextContactMillis = stamp.nowMillis + waitMillis) }
    return if (address == null) next.withoutEffects() else next.with(Effect.ContactAddress(address))
}

/** Learns of a peer from its hello. */
internal fun ControlState.connected(record: MemberRecord, nowMillis: Long): Transition {
    val peer = record.node
    if (peer == identity.node) return withoutEffects()
    val wasKnown = membership.table[peer]?.isLive == true
    val merged = mergeRecords(listOf(MemberStatusRecord(record, MemberStatus.ALIVE)), nowMillis)
    val join = membership.join
    val isFound = join.joined && !wasKnown && record.peerAddress == join.probed
    return merged.transition
        .andThen { it.noteHeard(peer, nowMillis).withoutEffects() }
        .andThen { it.tellStatus(peer) }
        .andThenIf(!join.joined && join.asked == null && mayAsk(record)) { it.ask(peer, nowMillis) }
        .andThenIf(isFound) { it.sendSummary(peer, nowMillis) }
}

private fun ControlState.mayAsk(record: MemberRecord): Boolean =
    record.region == identity.region || membership.join.rounds > LOCAL_ROUNDS

/** Tells [peer] if it counts as suspect or dead, so that it refutes this. */
internal fun ControlState.tellStatus(peer: NodeId): Transition {
    val member = membership.table[peer] ?: return withoutEffects()
    return if (member.status == MemberStatus.ALIVE) withoutEffects() else sendRecords(peer, listOf(member))
}
