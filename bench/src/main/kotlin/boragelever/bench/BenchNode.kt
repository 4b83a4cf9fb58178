package boragelever.bench

import boragelever.core.control.ControlState
import boragelever.core.control.LeaseState
import boragelever.core.control.MemberStatus
import boragelever.core.control.NodeIdentity

/** One node process with its figures. */
internal class BenchNode(val number: Int, val host: Int, val identity: NodeIdentity) {
    var state: ControlState = ControlState(identity)
    var isUp: Boolean = false

    /** True once the host is gone without closing its connections. */
    var isSilent: Boolean = false
    val connected: MutableSet<Int> = linkedSetOf()
    var load: NodeLoad = NodeLoad()
}

/** What a node used since the start of a phase. */
internal data class NodeLoad(
    var sentBytes: Long = 0,
    var receivedBytes: Long = 0,
    var sentMessages: Long = 0,
    var reduceNanos: Long = 0,
    var events: Long = 0,
)

/** Part that a node plays in the distribution of a version. */
internal enum class Role {
    PUBLISHER,
    RELAY,
    ZONE_HEAD,
    PLAIN,
}

/** Role of this node by its own member table. */
internal fun BenchNode.role(): Role {
    val region = state.membership.table.regions[identity.region] ?: return Role.PLAIN
    val members = state.membership.table.members
    val relays = region.ring.entries.map { it.node }.filter { members[it]?.status == MemberStatus.ALIVE }.take(2)
    val head = region.zones[identity.zone]?.entries?.firstOrNull()?.node
    return when {
        state.lease is LeaseState.Held -> Role.PUBLISHER
        identity.node in relays -> Role.RELAY
        identity.node == head -> Role.ZONE_HEAD
        else -> Role.PLAIN
    }
}
