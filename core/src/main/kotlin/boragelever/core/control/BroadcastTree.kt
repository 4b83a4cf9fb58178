package boragelever.core.control

import boragelever.core.NodeId

/** Largest number of children of a node of the tree within a zone. */
internal const val TREE_FAN_OUT: Int = 8

/** Part of the tree below one node; [range] narrows [TreeScope.ZONE] to a part of the zone's ring. */
public data class TreePart(public val scope: TreeScope, public val range: RingRange? = null)

/** One edge of the tree: [peer] is sent the message and forwards it to [part]. */
internal data class Hop(val peer: NodeId, val part: TreePart)

/**
 * Returns to whom this node forwards so that [part] is covered.
 *
 * Ranges of ring positions stand for subtrees, so that nodes with slightly different member tables still cover every
 * member that one of them knows. Unreachable regions are left out; they catch up by anti-entropy.
 */
internal fun ControlState.hops(part: TreePart): List<Hop> =
    when (part.scope) {
        TreeScope.SELF -> emptyList()
        TreeScope.ZONE -> zoneHops(part.range)
        TreeScope.REGION -> regionHops() + zoneHops(null)
        TreeScope.ALL -> otherRegionHops() + regionHops() + zoneHops(null)
    }

private fun ControlState.otherRegionHops(): List<Hop> =
    membership.table.regions.keys
        .filter { region -> region != identity.region && !isUnreachable(region) }
        .mapNotNull { region ->
            val relay = leader(membership.table.region(region).ring.entries)
            relay?.let { Hop(it, TreePart(TreeScope.REGION)) }
        }

private fun ControlState.regionHops(): List<Hop> =
    membership.table
        .region(identity.region)
        .zones
        .filterKeys { zone -> zone != identity.zone }
        .mapNotNull { (_, ring) -> leader(ring.entries)?.let { Hop(it, TreePart(TreeScope.ZONE)) } }

private fun ControlState.zoneHops(range: RingRange?): List<Hop> {
    val ring = membership.table.zone(identity.region, identity.zone)
    val below = ring.within(range).filter { entry -> entry.node != identity.node }
    if (below.isEmpty()) return emptyList()
    val whole = range ?: RingRange(0, Long.MAX_VALUE)
    val groups = below.splitInto(TREE_FAN_OUT)
    return groups.mapIndexedNotNull { index, group ->
        val from = if (index == 0) whole.from else group.first().position
        val until = groups.getOrNull(index + 1)?.first()?.position ?: whole.until
        groupHop(group, RingRange(from, until))
    }
}

private fun ControlState.groupHop(group: List<RingEntry>, range: RingRange): Hop? {
    val leader = leader(group) ?: return null
    val part = if (group.size == 1) TreePart(TreeScope.SELF) else TreePart(TreeScope.ZONE, range)
    return Hop(leader, part)
}

private fun ControlState.leader(candidates: List<RingEntry>): NodeId? {
    val forwarders = membership.table.forwarders(candidates.asSequence().map { it.node })
    return (forwarders.firstOrNull { it != identity.node }) ?: candidates.firstOrNull()?.node
}

private fun <T> List<T>.splitInto(count: Int): List<List<T>> {
    val groups = minOf(count, size)
    return (0 until groups).map { index -> subList(index * size / groups, (index + 1) * size / groups) }
}

/** Returns who takes over the part that [hop] could not deliver, or `null` if nobody is left or needed. */
internal fun ControlState.nextHop(hop: Hop): Hop? {
    val record = membership.table[hop.peer]?.record ?: return null
    return when (hop.part.scope) {
        TreeScope.SELF, TreeScope.ALL -> null
        TreeScope.REGION ->
            takeIf { !isUnreachable(record.region) }
                ?.forwarderAfter(hop.peer, membership.table.region(record.region).ring)
                ?.let { Hop(it, hop.part) }
        TreeScope.ZONE -> nextInZone(hop, membership.table.zone(record.region, record.zone))
    }
}

private fun ControlState.nextInZone(hop: Hop, ring: Ring): Hop? {
    val range = hop.part.range ?: return forwarderAfter(hop.peer, ring)?.let { Hop(it, hop.part) }
    val rest = RingRange(ringPosition(hop.peer) + 1, range.until)
    val candidates = ring.within(rest).map { it.node }.filter { it != identity.node }
    val next = membership.table.forwarders(candidates.asSequence()).firstOrNull()
    return next?.let { Hop(it, TreePart(TreeScope.ZONE, rest)) }
}

private fun ControlState.forwarderAfter(peer: NodeId, ring: Ring): NodeId? =
    membership.table.forwarders(ring.after(peer)).firstOrNull { it != identity.node }
