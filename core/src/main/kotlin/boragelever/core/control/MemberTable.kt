package boragelever.core.control

import boragelever.core.InstanceId
import boragelever.core.NodeId
import boragelever.core.RegionName
import boragelever.core.ZoneName
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentMapOf

/** A member as this node knows it. */
public data class Member(
    public val record: MemberRecord,
    public val status: MemberStatus,
    /** Monotonic time of this node in milliseconds at which [status] was set. */
    public val sinceMillis: Long,
    /** Monotonic time in milliseconds at which each serving upstream was first seen serving. */
    public val servingSince: Map<InstanceId, Long> = emptyMap(),
)

/** Members of a region that are not dead, as a whole and by zone. */
public data class RegionView(
    public val ring: Ring = Ring(),
    public val zones: PersistentMap<ZoneName, Ring> = persistentMapOf(),
)

/** All known members with the views that the tree and the failure detector need. Changed only by whole entries. */
public data class MemberTable(
    public val members: PersistentMap<NodeId, Member> = persistentHashMapOf(),
    public val regions: PersistentMap<RegionName, RegionView> = persistentMapOf(),
    /**
     * Sum over the members that are not dead. It does not depend on the order of changes. Dead members are left out,
     * since nodes forget them at different times.
     */
    public val digest: Long = 0,
)

internal val Member.isLive: Boolean get() = status != MemberStatus.DEAD

/** True if the member may forward for others: it answers and is not about to leave. */
internal val Member.canForward: Boolean get() = status == MemberStatus.ALIVE && !record.leaving

internal operator fun MemberTable.get(node: NodeId): Member? = members[node]

internal fun MemberTable.region(region: RegionName): RegionView = regions[region] ?: RegionView()

internal fun MemberTable.zone(region: RegionName, zone: ZoneName): Ring = region(region).zones[zone] ?: Ring()

/** Returns the first [count] members of [region] that can forward. */
internal fun MemberTable.relays(region: RegionName, count: Int): List<NodeId> =
    forwarders(region(region).ring.entries.asSequence().map { it.node }).take(count).toList()

/** Returns the nodes of [candidates] that can forward, in their order. */
internal fun MemberTable.forwarders(candidates: Sequence<NodeId>): Sequence<NodeId> =
    candidates.filter { node -> members[node]?.canForward == true }

/**
 * Returns the table with [update] merged, or `null` if it brings nothing new.
 *
 * The higher record version wins; at the same version the worse status wins. A dead member that is not known is left
 * out, so that forgotten members do not come back.
 */
internal fun MemberTable.merge(update: MemberStatusRecord, nowMillis: Long): MemberTable? {
    val known = members[update.record.node]
    val isNews = if (known == null) update.status != MemberStatus.DEAD else update.supersedes(known)
    if (!isNews) return null
    val next = Member(update.record, update.status, nowMillis, servingSince(known, update.record, nowMillis))
    return put(next)
}

private fun MemberStatusRecord.supersedes(known: Member): Boolean {
    val order = record.version.compareTo(known.record.version)
    return order > 0 || (order == 0 && status > known.status)
}

private fun servingSince(known: Member?, record: MemberRecord, nowMillis: Long): Map<InstanceId, Long> =
    record.upstreams
        .filter { it.state == UpstreamState.SERVING }
        .associate { it.instance to (known?.servingSince?.get(it.instance) ?: nowMillis) }

/** Returns the table with [member] in place of what was known about its node. */
internal fun MemberTable.put(member: Member): MemberTable {
    val node = member.record.node
    val known = members[node]
    val moved = known == null || known.location != member.location || known.isLive != member.isLive
    val views = if (moved) regions.without(known).with(member) else regions
    return MemberTable(members.put(node, member), views, digest - known.digestTerm() + member.digestTerm())
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

private fun PersistentMap<RegionName, RegionView>.with(member: Member): PersistentMap<RegionName, RegionView> {
    if (!member.isLive) return this
    val record = member.record
    val view = this[record.region] ?: RegionView()
    val zone = (view.zones[record.zone] ?: Ring()).plus(record.node)
    return put(record.region, RegionView(view.ring.plus(record.node), view.zones.put(record.zone, zone)))
}

private fun PersistentMap<RegionName, RegionView>.without(member: Member?): PersistentMap<RegionName, RegionView> {
    val record = member?.record ?: return this
    val view = this[record.region] ?: return this
    val zone = (view.zones[record.zone] ?: Ring()).minus(record.node)
    val zones = if (zone.entries.isEmpty()) view.zones.remove(record.zone) else view.zones.put(record.zone, zone)
    return if (zones.isEmpty()) {
        remove(
            record.region,
        )
    } else {
        put(record.region, RegionView(view.ring.minus(record.node), zones))
    }
}
