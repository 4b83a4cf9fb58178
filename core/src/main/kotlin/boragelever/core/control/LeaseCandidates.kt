package boragelever.core.control

import boragelever.core.NodeId
import boragelever.core.RegionName
import boragelever.core.Stamp

/**
 * Returns the position of [node] among [members] for the publisher lease, 0 first, or [LEASE_CANDIDATES] if it is
 * that or greater.
 *
 * Members in the region of the store come first, each group in rendezvous order, so that nodes with the same view of
 * the members agree. A node that knows no other member takes itself for the first.
 */
internal fun leaseRank(node: NodeId, members: Sequence<MemberRecord>, storeRegion: RegionName?): Int {
    val own = members.firstOrNull { it.node == node } ?: return 0
    val order = compareBy<MemberRecord>({ storeRegion != null && it.region != storeRegion }, { leaseWeight(it.node) })
    return members.filter { !it.leaving && order.compare(it, own) < 0 }.take(LEASE_CANDIDATES).count()
}

/** True if this node is one of the few that should compete for the lease, as far as it knows the members. */
internal fun ControlState.isLeaseCandidate(): Boolean {
    val live = membership.table.members.values.asSequence().filter { it.isLive }.map { it.record }
    return leaseRank(identity.node, live, identity.storeRegion) < LEASE_CANDIDATES
}

/** Returns the wait until the next read of the lease row. */
internal fun leaseReadMillis(stamp: Stamp, isCandidate: Boolean): Long =
    stamp.spreadMillis("lease", if (isCandidate) CANDIDATE_READ_MILLIS else OTHER_READ_MILLIS)

private fun leaseWeight(node: NodeId): Long {
    val hash = node.value.fold(HASH_OFFSET) { hash, char -> (hash xor char.code.toLong()) * HASH_PRIME }
    val mixed = (hash xor (hash ushr HASH_SHIFT)) * HASH_MIX
    return mixed xor (mixed ushr HASH_SHIFT)
}

/** Nodes that read the lease row often; three survive the loss of two at the same time. */
internal const val LEASE_CANDIDATES: Int = 3

/** With three candidates this is 1.5 reads a second. */
private const val CANDIDATE_READ_MILLIS = 2_000L

/** With 1,000 nodes this is 11 reads a second; it only matters if all candidates are lost or cut off. */
private const val OTHER_READ_MILLIS = 90_000L

private const val HASH_OFFSET = -3750763034362895579L
private const val HASH_PRIME = 1099511628211L
private const val HASH_MIX = -49064778989728563L
private const val HASH_SHIFT = 32
