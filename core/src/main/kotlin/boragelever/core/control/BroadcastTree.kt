package boragelever.core.control

import boragelever.core.NodeId

/** Largest number of children of a node of the tree within a zone. */
internal const val TREE_FAN_OUT: Int = 8

/** Part of the tree below one node; [range] narrows [TreeScope.ZONE] to a part of the zone's ring. */
public data class Subtree(public val scope: TreeScope, public val range: RingRange? = null)

/** One edge of the tree: [peer] is sent the message and forwards it to [part]. */
internal data class TreeEdge(val peer: NodeId, val subtree: Subtree)

/**
 * Returns to whom this node forwards so that [part] is covered.
 *
 * Ranges of ring positions stand for subtrees, so that nodes with slightly different member tables still cover every
 * member that one of them knows. Unreachable regions are left out; they catch up by anti-entropy.
 */
internal fun ControlState.treeEdges(part: Subtree): List<TreeEdge> =
    when (part.scope) {
        TreeScope.SELF -> emptyList()
        TreeScope.ZONE -> zoneEdges(part.range)
        TreeScope.REGION -> otherZoneEdges() + zoneEdges(null)
        TreeScope.ALL -> otherRegionEdges() + otherZoneEdges() + zoneEdges(null)
    }

private fun ControlState.otherRegionEdges(): List<TreeEdge> =
    members.table.regions.keys
        .filter { region -> region != identity.region && !isUnreachable(region) }
        .mapNotNull { region ->
            val relay = pickForwarder(members.table.region(region).ring.entries)
            relay?.let { TreeEdge(it, Subtree(TreeScope.REGION)) }
        }

private fun ControlState.otherZoneEdges(): List<TreeEdge> =
    members.table
        .region(identity.region)
        .zones
        .filterKeys { zone -> zone != identity.zone }
        .mapNotNull { (_, ring) -> pickForwarder(ring.entries)?.let { TreeEdge(it, Subtree(TreeScope.ZONE)) } }

private fun ControlState.zoneEdges(range: RingRange?): List<TreeEdge> {
    val ring = members.table.zone(identity.region, identity.zone)
    val below = ring.within(range).filter { entry -> entry.node != identity.node }
    if (below.isEmpty()) return emptyList()
    val whole = range ?: RingRange(0, Long.MAX_VALUE)
    val groups = below.splitEvenly(TREE_FAN_OUT)
    return groups.mapIndexedNotNull { index, group ->
        val from = if (index == 0) whole.from else group.first().position
        val until = groups.getOrNull(index + 1)?.first()?.position ?: whole.until
        groupEdge(group, RingRange(from, until))
    }
}

private fun ControlState.groupEdge(group: List<RingEntry>, range: RingRange): TreeEdge? {
    val leader = pickForwarder(group) ?: return null
    val part = if (group.size == 1) Subtree(TreeScope.SELF) else Subtree(TreeScope.ZONE, range)
    return TreeEdge(leader, part)
}

private fun ControlState.pickForwarder(candidates: List<RingEntry>): NodeId? {
    val forwarders = members.table.forwarders(candidates.asSequence().map { it.node })
    return (forwarders.firstOrNull { it != identity.node }) ?: candidates.firstOrNull()?.node
}

private fun <T> List<T>.splitEvenly(count: Int): List<List<T>> {
    val groups = minOf(count, size)
    return (0 until groups).map { index -> subList(index * size / groups, (index + 1) * size / groups) }
}

/** Returns who takes over the part that [hop] could not deliver, or `null` if nobody is left or needed. */
internal fun ControlState.failoverEdge(hop: TreeEdge): TreeEdge? {
    val record = members.table[hop.peer]?.record ?: return null
    return when (hop.subtree.scope) {
        TreeScope.SELF, TreeScope.ALL -> null
        TreeScope.REGION ->
            takeIf { !isUnreachable(record.region) }
                ?.forwarderAfter(hop.peer, members.table.region(record.region).ring)
                ?.let { TreeEdge(it, hop.subtree) }
        TreeScope.ZONE -> failoverEdgeInZone(hop, members.table.zone(record.region, record.zone))
    }
}

private fun ControlState.failoverEdgeInZone(hop: TreeEdge, ring: Ring): TreeEdge? {
    val range = hop.subtree.range ?: return forwarderAfter(hop.peer, ring)?.let { TreeEdge(it, hop.subtree) }
    val rest = RingRange(ringPosition(hop.peer) + 1, range.until)
    val candidates = ring.within(rest).map { it.node }.filter { it != identity.node }
    val next = members.table.forwarders(candidates.asSequence()).firstOrNull()
    return next?.let { TreeEdge(it, Subtree(TreeScope.ZONE, rest)) }
}

private fun ControlState.forwarderAfter(peer: NodeId, ring: Ring): NodeId? =
    members.table.forwarders(ring.after(peer)).firstOrNull { it != identity.node }
