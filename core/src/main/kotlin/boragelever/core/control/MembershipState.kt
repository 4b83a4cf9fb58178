package boragelever.core.control

import boragelever.core.NetworkAddress
import boragelever.core.NodeId
import boragelever.core.RegionName
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/** Time between two heartbeats to the same peer. */
internal const val HEARTBEAT_MILLIS: Long = 1_000

/** Number of ring successors that a node watches; a member stays watched while two of its watchers fail together. */
internal const val WATCHED_SUCCESSORS: Int = 3

/** Silence after which a watched member is suspect. */
internal const val SUSPECT_AFTER_MILLIS: Long = 2_000

/** Time in which a suspect member can refute the suspicion. */
internal const val DEAD_AFTER_MILLIS: Long = 2_000

/** Gap between two ticks from which the process counts as paused; its peers may have declared it dead meanwhile. */
internal const val PAUSE_MILLIS: Long = 2_000

/** State of the membership concern. */
public data class MembershipState(
    /** What this node tells of itself, or `null` before the start. */
    public val own: MemberRecord? = null,
    public val table: MemberTable = MemberTable(),
    public val join: JoinState = JoinState(),
    public val detector: DetectorState = DetectorState(),
    public val exchange: ExchangeState = ExchangeState(),
    public val outbox: OutboxState = OutboxState(),
    public val rows: MemberRowsState = MemberRowsState(),
    /** Time of the last message of any peer, or `null` before the first. */
    public val lastContactMillis: Long? = null,
)

/** How far the node is with finding its peers. */
public data class JoinState(
    /** True once a peer has sent its member table. */
    public val joined: Boolean = false,
    /** Peer that was asked for its member table. */
    public val asked: NodeId? = null,
    /** Addresses found in the store's member rows. */
    public val found: List<NetworkAddress> = emptyList(),
    /** Number of contact rounds without success; lengthens the wait. */
    public val rounds: Int = 0,
    public val nextContactMillis: Long = 0,
    /** Address contacted to find nodes that no peer knows of. */
    public val probed: NetworkAddress? = null,
    /** Tables compared with further peers since the first one was received. */
    public val comparisons: Int = 0,
    public val nextComparisonMillis: Long = 0,
)

/** State of the failure detector. */
public data class DetectorState(
    public val lastNumber: Long = 0,
    public val nextHeartbeatMillis: Long = 0,
    public val watches: PersistentMap<NodeId, Watch> = persistentMapOf(),
    public val suspects: PersistentMap<NodeId, Suspicion> = persistentMapOf(),
    /** Dead members with the time since which they are dead. */
    public val dead: PersistentMap<NodeId, Long> = persistentMapOf(),
    public val nextDeadContactMillis: Long = 0,
    /** Time of the last message from each other region. */
    public val regionHeard: PersistentMap<RegionName, Long> = persistentMapOf(),
    /** Time since which this node is a relay of its region, or `null`. */
    public val relaySinceMillis: Long? = null,
)

/** A peer that this node sends heartbeats to. */
public data class Watch(
    /** Time of the last message of the peer, or of the start of the watch. */
    public val heardMillis: Long,
    /** Number of the last heartbeat sent. */
    public val sent: Long = 0,
    /** Number of the last heartbeat answered. */
    public val answered: Long = 0,
    /** Number of suspicions that the peer refuted shortly after each other. */
    public val refutations: Int = 0,
    /** Time of the last refutation, or `null`. */
    public val refutedMillis: Long? = null,
)

/** A suspect member. */
public data class Suspicion(
    public val sinceMillis: Long,
    /** True if this node raised the suspicion and so announces the end of it. */
    public val raisedHere: Boolean,
)

/** State of the comparison of member tables with peers. */
public data class ExchangeState(
    public val differences: PersistentMap<NodeId, TableDifference> = persistentMapOf(),
    public val lastSummaryMillis: Long? = null,
    public val serving: TokenBucket = TokenBucket(),
)

/** Consecutive heartbeats of a peer whose table digest differs from this node's. */
public data class TableDifference(
    public val theirs: Long,
    public val ours: Long,
    public val count: Int,
)

/** Deliveries of numbered messages over the broadcast tree. */
public data class OutboxState(
    public val lastNumber: Long = 0,
    /** Records to broadcast, by the part of the tree that they go to. */
    public val pending: PersistentMap<TreePart, PersistentMap<NodeId, MemberStatusRecord>> = persistentMapOf(),
    public val lastFlushMillis: Long? = null,
    public val deliveries: PersistentMap<Long, Delivery> = persistentMapOf(),
    public val received: PersistentMap<NodeId, ReceivedNumbers> = persistentMapOf(),
)

/** A message that was sent and not yet acknowledged. */
public data class Delivery(
    public val peer: NodeId,
    public val message: PeerMessage,
    public val part: TreePart,
    public val sentMillis: Long,
    public val attempts: Int = 1,
    public val handOvers: Int = 0,
)

/** Numbers received from one peer: the highest, and a bit for each of the 64 below it. */
public data class ReceivedNumbers(public val highest: Long, public val below: Long = 0)

/** State of the node's row in the store. */
public data class MemberRowsState(
    public val nextScanMillis: Long? = null,
    public val nextWriteMillis: Long? = null,
    public val scan: RequestId? = null,
    public val write: RequestId? = null,
    public val failures: Int = 0,
)

/** True if every relay of this node's region gets no answer from [region]. */
internal fun ControlState.isUnreachable(region: RegionName): Boolean {
    if (region == identity.region) return false
    val relays = membership.table.relays(identity.region, relaysPerRegion)
    return relays.isNotEmpty() &&
        relays.all { membership.table[it]?.record?.unreachableRegions.orEmpty().contains(region) }
}

/** Number of relays of each region. */
internal val ControlState.relaysPerRegion: Int
    get() = applied?.configuration?.dissemination?.relaysPerRegion ?: DEFAULT_RELAYS

/** True if another member is not dead. */
internal val ControlState.hasPeers: Boolean
    get() {
        val regions = membership.table.regions.values
        return regions.size > 1 || regions.any { it.ring.entries.size > 1 }
    }

private const val DEFAULT_RELAYS = 2
