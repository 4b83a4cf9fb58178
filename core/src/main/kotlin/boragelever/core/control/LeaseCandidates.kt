package boragelever.core.control

import boragelever.core.EventContext
import boragelever.core.NodeId
import boragelever.core.RegionName

/**
 * Returns the rank of [node] among [members] for acquiring the publisher lease, starting at 0 and capped at
 * [LEASE_CANDIDATES].
 *
 * Members in the region of the store rank first, each group in rendezvous-hash order, so that nodes with equal member
 * tables agree. A node that is not in [members], or that knows no other member, has rank 0.
 */
internal fun leaseRank(node: NodeId, members: Sequence<MemberRecord>, storeRegion: RegionName?): Int {
    val ownRecord = members.firstOrNull { it.node == node } ?: return 0
    val order = compareBy<MemberRecord>({ storeRegion != null && it.region != storeRegion }, { leaseWeight(it.node) })
    return members.filter { !it.leaving && order.compare(it, ownRecord) < 0 }.take(LEASE_CANDIDATES).count()
}

/** True if this node is among the [LEASE_CANDIDATES] first-ranked members in its own member table. */
internal fun ControlState.isLeaseCandidate(): Boolean {
    val liveRecords = membership.table.members.values.asSequence().filter { it.isLive }.map { it.record }
    return leaseRank(identity.node, liveRecords, identity.storeRegion) < LEASE_CANDIDATES
}

/** Returns the time in milliseconds until the next read of the lease row. */
internal fun leaseReadMillis(context: EventContext, isCandidate: Boolean): Long =
    context.jitterAroundMillis("lease", if (isCandidate) CANDIDATE_INTERVAL_MILLIS else OTHER_INTERVAL_MILLIS)

/** Rendezvous weight: FNV-1a over the characters, with one round of the MurmurHash3 finalizer. */
private fun leaseWeight(node: NodeId): Long {
    val hash = node.value.fold(FNV_OFFSET_BASIS) { hash, char -> (hash xor char.code.toLong()) * FNV_PRIME }
    val mixed = (hash xor (hash ushr MURMUR3_SHIFT)) * MURMUR3_MULTIPLIER
    return mixed xor (mixed ushr MURMUR3_SHIFT)
}

/** Number of nodes that read the lease row often; three tolerate the loss of two at the same time. */
internal const val LEASE_CANDIDATES: Int = 3

/** Mean interval between reads of a candidate; with three candidates this is 1.5 reads per second. */
private const val CANDIDATE_INTERVAL_MILLIS = 2_000L

/** Mean interval between reads of other nodes, 11 per second with 1,000 nodes; matters if all candidates are lost. */
private const val OTHER_INTERVAL_MILLIS = 90_000L

private const val FNV_OFFSET_BASIS = -3750763034362895579L
private const val FNV_PRIME = 1099511628211L
private const val MURMUR3_MULTIPLIER = -49064778989728563L
private const val MURMUR3_SHIFT = 32
