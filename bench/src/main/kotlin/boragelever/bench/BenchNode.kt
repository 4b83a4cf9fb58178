package boragelever.bench

import boragelever.core.control.ControlState
import boragelever.core.control.LeaseState
import boragelever.core.control.MemberStatus
import boragelever.core.control.NodeIdentity

/** Simulated node process with its control state and usage counters. */
internal class BenchNode(val number: Int, val host: Int, val identity: NodeIdentity) {
    var state: ControlState = ControlState(identity)
    var isRunning: Boolean = false

    /** True once the host has failed without closing its connections; messages to it are dropped. */
    var isUnreachable: Boolean = false

    /** Numbers of the nodes that this node has a connection with. */
    val peerNumbers: MutableSet<Int> = linkedSetOf()
    var stats: NodeStats = NodeStats()
}

/** Resource usage of a node since the start of a phase. */
internal data class NodeStats(
    var sentBytes: Long = 0,
    var receivedBytes: Long = 0,
    var sentMessages: Long = 0,
    var reduceNanos: Long = 0,
    var events: Long = 0,
)

/** Role of a node in the dissemination of a version. */
internal enum class Role {
    PUBLISHER,
    RELAY,
    ZONE_HEAD,
    PLAIN,
}

/** Role of this node according to its own member table. */
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
