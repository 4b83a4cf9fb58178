package boragelever.core.control

import boragelever.core.InstanceId
import boragelever.core.NodeId
import boragelever.core.RegionName
import boragelever.core.ZoneName
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentMapOf

/** Entry of the member table: the latest record of a node and its status. */
public data class Member(
    public val record: MemberRecord,
    public val status: MemberStatus,
    /** Monotonic time of this node in milliseconds at which [status] was set. */
    public val sinceMillis: Long,
    /** Monotonic time in milliseconds at which each serving upstream was first seen serving. */
    public val servingSinceMillis: Map<InstanceId, Long> = emptyMap(),
)

/** Rings of the members of a region that are not dead: one of the whole region, and one of each zone. */
public data class RegionRings(
    public val ring: Ring = Ring(),
    public val zones: PersistentMap<ZoneName, Ring> = persistentMapOf(),
)

/**
 * All known members, with the rings that the broadcast tree and the failure detector use.
 *
 * Changed only by [put] and [remove], which keep the rings and the digest consistent with the members.
 */
public data class MemberTable(
    public val members: PersistentMap<NodeId, Member> = persistentHashMapOf(),
    public val regions: PersistentMap<RegionName, RegionRings> = persistentMapOf(),
    /**
     * Sum of a hash of each member that is not dead; independent of the order of changes.
     *
     * Dead members are excluded, since nodes remove them at different times.
     */
    public val digest: Long = 0,
)

internal val Member.isLive: Boolean get() = status != MemberStatus.DEAD

/** True if the member may forward messages to others: it is alive and not leaving. */
internal val Member.canForward: Boolean get() = status == MemberStatus.ALIVE && !record.leaving

internal operator fun MemberTable.get(node: NodeId): Member? = members[node]

internal fun MemberTable.region(region: RegionName): RegionRings = regions[region] ?: RegionRings()

internal fun MemberTable.zone(region: RegionName, zone: ZoneName): Ring = region(region).zones[zone] ?: Ring()

/** Returns the first [count] members of [region] that can forward. */
internal fun MemberTable.relays(region: RegionName, count: Int): List<NodeId> =
    forwarders(region(region).ring.entries.asSequence().map { it.node }).take(count).toList()

/** Returns the nodes of [candidates] that can forward, in the same order. */
internal fun MemberTable.forwarders(candidates: Sequence<NodeId>): Sequence<NodeId> =
    candidates.filter { node -> members[node]?.canForward == true }

/**
 * Returns the table with [update] merged, or `null` if it changes nothing.
 *
 * The higher record version wins; at the same version the worse status wins. An unknown member is not added as dead, so
 * that removed members are not restored.
 */
internal fun MemberTable.merge(update: MemberStatusRecord, nowMillis: Long): MemberTable? {
    val known = members[update.record.node]
    val isNewer = if (known == null) update.status != MemberStatus.DEAD else update.supersedes(known)
    if (!isNewer) return null
    val next = Member(update.record, update.status, nowMillis, servingSinceMillis(known, update.record, nowMillis))
    return put(next)
}

private fun MemberStatusRecord.supersedes(known: Member): Boolean {
    val order = record.version.compareTo(known.record.version)
    return order > 0 || (order == 0 && status > known.status)
}

private fun servingSinceMillis(known: Member?, record: MemberRecord, nowMillis: Long): Map<InstanceId, Long> =
    record.upstreams
        .filter { it.state == UpstreamState.SERVING }
        .associate { it.instance to (known?.servingSinceMillis?.get(it.instance) ?: nowMillis) }

/** Returns the table with [member] as the entry of its node. */
internal fun MemberTable.put(member: Member): MemberTable {
    val node = member.record.node
    val known = members[node]
    val affectsRings = known == null || known.location != member.location || known.isLive != member.isLive
    val updatedRegions = if (affectsRings) regions.without(known).with(member) else regions
    return MemberTable(members.put(node, member), updatedRegions, digest - known.digestTerm() + member.digestTerm())
}

/** Returns the table without [node]. */
internal fun MemberTable.remove(node: NodeId): MemberTable {
    val known = members[node] ?: return this
    return MemberTable(members.remove(node), regions.without(known), digest - known.digestTerm())
}

private val Member.location: Pair<RegionName, ZoneName> get() = record.region to record.zone

private fun Member?.digestTerm(): Long {
    if (this == null || !isLive) return 0
    val position = ringPosition(record.node)
    val version = mixBits(record.incarnation.value * 31 + record.sequence)
    return mixBits(position + version * 3 + status.ordinal)
}

private fun PersistentMap<RegionName, RegionRings>.with(member: Member): PersistentMap<RegionName, RegionRings> {
    if (!member.isLive) return this
    val record = member.record
    val rings = this[record.region] ?: RegionRings()
    val zone = (rings.zones[record.zone] ?: Ring()).plus(record.node)
    return put(record.region, RegionRings(rings.ring.plus(record.node), rings.zones.put(record.zone, zone)))
}

private fun PersistentMap<RegionName, RegionRings>.without(member: Member?): PersistentMap<RegionName, RegionRings> {
    val record = member?.record ?: return this
    val rings = this[record.region] ?: return this
    val zone = (rings.zones[record.zone] ?: Ring()).minus(record.node)
    val zones = if (zone.entries.isEmpty()) rings.zones.remove(record.zone) else rings.zones.put(record.zone, zone)
    return if (zones.isEmpty()) {
        remove(record.region)
    } else {
        put(record.region, RegionRings(rings.ring.minus(record.node), zones))
    }
}
