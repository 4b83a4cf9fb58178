package boragelever.core.control

import boragelever.core.NodeId
import boragelever.core.RegionName
import boragelever.core.Stamp

/**
 * Returns the position of [node] among the nodes that should hold the publisher lease, 0 first.
 *
 * Members in the region of the store come first, each group in rendezvous order, so that nodes with the same view of
 * the members agree. A node that knows no other member takes itself for the first.
 */
internal fun leaseRank(node: NodeId, members: List<MemberRecord>, storeRegion: RegionName?): Int {
    val order =
        members
            .filterNot { it.leaving }
            .sortedWith(compareBy({ storeRegion != null && it.region != storeRegion }, { leaseWeight(it.node) }))
    return order.indexOfFirst { it.node == node }.coerceAtLeast(0)
}

/** Returns the wait until the next read of the lease row. */
internal fun leaseReadMillis(stamp: Stamp, rank: Int): Long {
    val meanMillis = if (rank < LEASE_CANDIDATES) CANDIDATE_READ_MILLIS else OTHER_READ_MILLIS
    return stamp.spreadMillis("lease", meanMillis)
}

/** Members that compete for the lease by [leaseRank]. */
internal fun ControlState.leaseRank(): Int = leaseRank(identity.node, leaseMembers(), identity.storeRegion)

/** Live members as known to this node; empty as long as it knows none. */
private fun ControlState.leaseMembers(): List<MemberRecord> =
    members.table.members.values.filter { it.isLive }.map { it.record }

private fun leaseWeight(node: NodeId): Long {
    val hash = node.value.fold(HASH_OFFSET) { hash, char -> (hash xor char.code.toLong()) * HASH_PRIME }
    val mixed = (hash xor (hash ushr HASH_SHIFT)) * HASH_MIX
    return mixed xor (mixed ushr HASH_SHIFT)
}

/** Nodes that read the lease row often; three survive the loss of two at the same time. */
private const val LEASE_CANDIDATES = 3

/** With three candidates this is 1.5 reads a second. */
private const val CANDIDATE_READ_MILLIS = 2_000L

/** With 1,000 nodes this is 11 reads a second; it only matters if all candidates are lost or cut off. */
private const val OTHER_READ_MILLIS = 90_000L

private const val HASH_OFFSET = -3750763034362895579L
private const val HASH_PRIME = 1099511628211L
private const val HASH_MIX = -49064778989728563L
private const val HASH_SHIFT = 32
