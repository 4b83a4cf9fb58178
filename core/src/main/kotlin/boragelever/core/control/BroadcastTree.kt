package boragelever.core.control

import boragelever.core.NodeId

/** Maximum number of children of a node of the broadcast tree within a zone. */
internal const val TREE_FAN_OUT: Int = 8

/** Subtree of the broadcast tree; [range] restricts [TreeScope.ZONE] to a range of the zone's ring. */
public data class Subtree(public val scope: TreeScope, public val range: RingRange? = null)

/** One edge of the broadcast tree: [peer] receives the message and forwards it to [subtree]. */
internal data class TreeEdge(val peer: NodeId, val subtree: Subtree)

/**
 * Returns the edges over which this node forwards a message so that it reaches all of [subtree].
 *
 * Subtrees are ranges of ring positions, so that nodes with slightly different member tables still reach every member
 * that one of them knows. Unreachable regions are skipped; anti-entropy updates them later.
 */
internal fun ControlState.treeEdges(subtree: Subtree): List<TreeEdge> =
    when (subtree.scope) {
        TreeScope.SELF -> emptyList()
        TreeScope.ZONE -> zoneEdges(subtree.range)
        TreeScope.REGION -> otherZoneEdges() + zoneEdges(null)
        TreeScope.ALL -> otherRegionEdges() + otherZoneEdges() + zoneEdges(null)
    }

private fun ControlState.otherRegionEdges(): List<TreeEdge> =
    membership.table.regions.keys
        .filter { region -> region != identity.region && !isUnreachable(region) }
        .mapNotNull { region ->
            val relay = pickForwarder(membership.table.region(region).ring.entries)
            relay?.let { TreeEdge(it, Subtree(TreeScope.REGION)) }
        }

private fun ControlState.otherZoneEdges(): List<TreeEdge> =
    membership.table
        .region(identity.region)
        .zones
        .filterKeys { zone -> zone != identity.zone }
        .mapNotNull { (_, ring) -> pickForwarder(ring.entries)?.let { TreeEdge(it, Subtree(TreeScope.ZONE)) } }

private fun ControlState.zoneEdges(range: RingRange?): List<TreeEdge> {
    val ring = membership.table.zone(identity.region, identity.zone)
    val descendants = ring.within(range).filter { entry -> entry.node != identity.node }
    if (descendants.isEmpty()) return emptyList()
    val fullRange = range ?: RingRange(0, Long.MAX_VALUE)
    val groups = descendants.splitEvenly(TREE_FAN_OUT)
    return groups.mapIndexedNotNull { index, group ->
        val from = if (index == 0) fullRange.from else group.first().position
        val until = groups.getOrNull(index + 1)?.first()?.position ?: fullRange.until
        groupEdge(group, RingRange(from, until))
    }
}

private fun ControlState.groupEdge(group: List<RingEntry>, range: RingRange): TreeEdge? {
    val forwarder = pickForwarder(group) ?: return null
    val subtree = if (group.size == 1) Subtree(TreeScope.SELF) else Subtree(TreeScope.ZONE, range)
    return TreeEdge(forwarder, subtree)
}

private fun ControlState.pickForwarder(candidates: List<RingEntry>): NodeId? {
    val forwarders = membership.table.forwarders(candidates.asSequence().map { it.node })
    return (forwarders.firstOrNull { it != identity.node }) ?: candidates.firstOrNull()?.node
}

private fun <T> List<T>.splitEvenly(count: Int): List<List<T>> {
    val groups = minOf(count, size)
    return (0 until groups).map { index -> subList(index * size / groups, (index + 1) * size / groups) }
}

/** Returns the edge that replaces [edge] after a failed delivery, or `null` if none is left or needed. */
internal fun ControlState.failoverEdge(edge: TreeEdge): TreeEdge? {
    val record = membership.table[edge.peer]?.record ?: return null
    return when (edge.subtree.scope) {
        TreeScope.SELF, TreeScope.ALL -> null
        TreeScope.REGION ->
            takeIf { !isUnreachable(record.region) }
                ?.forwarderAfter(edge.peer, membership.table.region(record.region).ring)
                ?.let { TreeEdge(it, edge.subtree) }
        TreeScope.ZONE -> failoverEdgeInZone(edge, membership.table.zone(record.region, record.zone))
    }
}

private fun ControlState.failoverEdgeInZone(edge: TreeEdge, ring: Ring): TreeEdge? {
    val range = edge.subtree.range ?: return forwarderAfter(edge.peer, ring)?.let { TreeEdge(it, edge.subtree) }
    val remainder = RingRange(ringPosition(edge.peer) + 1, range.until)
    val candidates = ring.within(remainder).map { it.node }.filter { it != identity.node }
    val next = membership.table.forwarders(candidates.asSequence()).firstOrNull()
    return next?.let { TreeEdge(it, Subtree(TreeScope.ZONE, remainder)) }
}

private fun ControlState.forwarderAfter(peer: NodeId, ring: Ring): NodeId? =
    membership.table.forwarders(ring.after(peer)).firstOrNull { it != identity.node }
