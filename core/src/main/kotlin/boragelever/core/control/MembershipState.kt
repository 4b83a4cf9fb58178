package boragelever.core.control

import boragelever.core.NetworkAddress
import boragelever.core.NodeId
import boragelever.core.RecordedDeath
import boragelever.core.RegionName
import boragelever.core.Withdrawal
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/** Interval between two heartbeats to the same peer. */
internal const val HEARTBEAT_INTERVAL_MILLIS: Long = 1_000

/** Number of ring successors that a node monitors; a member stays monitored if two of its monitors fail together. */
internal const val MONITORED_SUCCESSORS: Int = 3

/** Time without a message after which a monitored member is suspect. */
internal const val SUSPECT_AFTER_MILLIS: Long = 2_000

/** Time in which a suspect member can refute the suspicion before it is declared dead. */
internal const val DEAD_AFTER_MILLIS: Long = 2_000

/** Gap between two ticks above which the process counts as paused; its peers may have declared it dead meanwhile. */
internal const val PAUSE_THRESHOLD_MILLIS: Long = 2_000

/** State of the membership protocol. */
public data class MembershipState(
    /** This node's own record, or `null` before the start. */
    public val localRecord: MemberRecord? = null,
    public val table: MemberTable = MemberTable(),
    public val join: JoinState = JoinState(),
    public val detector: DetectorState = DetectorState(),
    public val exchange: ExchangeState = ExchangeState(),
    public val outbox: OutboxState = OutboxState(),
    public val rows: MemberRowsState = MemberRowsState(),
    /** Time of the last message from any peer, or `null` before the first. */
    public val lastContactMillis: Long? = null,
)

/** State of the join: how this node finds its first peers. */
public data class JoinState(
    /** True once a peer has sent its member table. */
    public val hasJoined: Boolean = false,
    /** Peer whose member table was requested, or `null`. */
    public val tableRequestedFrom: NodeId? = null,
    /** Peer addresses from the member rows in the store. */
    public val storedAddresses: List<NetworkAddress> = emptyList(),
    /** Number of contact rounds since the last member table was received; the wait grows with it. */
    public val failedRounds: Int = 0,
    public val nextContactAtMillis: Long = 0,
    /** Address of the last probe for nodes that no peer knows, or `null`. */
    public val probedAddress: NetworkAddress? = null,
    /** Number of table synchronizations with further peers since the first table was received. */
    public val initialSyncs: Int = 0,
    public val nextInitialSyncAtMillis: Long = 0,
)

/** State of the failure detector. */
public data class DetectorState(
    /** Number of the last heartbeat sent. */
    public val lastNumber: Long = 0,
    public val nextHeartbeatAtMillis: Long = 0,
    public val monitored: PersistentMap<NodeId, MonitoredPeer> = persistentMapOf(),
    /** Suspect members and the suspicion against each. */
    public val suspects: PersistentMap<NodeId, Suspicion> = persistentMapOf(),
    /** Dead members and the time at which each was declared dead. */
    public val deadSinceMillis: PersistentMap<NodeId, Long> = persistentMapOf(),
    public val nextDeadContactAtMillis: Long = 0,
    /** Time of the last message from each region. */
    public val regionLastHeardMillis: PersistentMap<RegionName, Long> = persistentMapOf(),
    /** Time since which this node is a relay of its region, or `null`. */
    public val relaySinceMillis: Long? = null,
)

/** A peer that this node sends heartbeats to. */
public data class MonitoredPeer(
    /** Time of the last message from the peer, or of the start of monitoring. */
    public val lastHeardMillis: Long,
    /** Number of the last heartbeat sent. */
    public val lastSentNumber: Long = 0,
    /** Number of the last heartbeat that the peer acknowledged. */
    public val lastAckedNumber: Long = 0,
    /** Number of suspicions that the peer refuted in a row. */
    public val refutations: Int = 0,
    /** Time of the last refutation, or `null`. */
    public val lastRefutedMillis: Long? = null,
)

/** Suspicion that a member has failed. */
public data class Suspicion(
    public val sinceMillis: Long,
    /** True if this node raised the suspicion; only then does it broadcast the death. */
    public val raisedLocally: Boolean,
)

/** State of the anti-entropy exchange of member tables with peers. */
public data class ExchangeState(
    /** Mismatches of table digests since the last summary, by peer. */
    public val digestMismatches: PersistentMap<NodeId, DigestMismatch> = persistentMapOf(),
    /** Time of the last summary sent, or `null` before the first. */
    public val lastSummaryMillis: Long? = null,
    /** Limits the replies to summaries and pulls. */
    public val replyLimiter: TokenBucket = TokenBucket(),
)

/** Number of consecutive heartbeats and acks of a peer with a table digest that differs from the local one. */
public data class DigestMismatch(
    public val remoteDigest: Long,
    public val localDigest: Long,
    public val count: Int,
)

/** State of the delivery of numbered messages over the broadcast tree. */
public data class OutboxState(
    /** Number of the last message sent. */
    public val lastNumber: Long = 0,
    /** Records that wait for the next batch, by the subtree to which they are broadcast. */
    public val pendingUpdates: PersistentMap<Subtree, PersistentMap<NodeId, MemberStatusRecord>> = persistentMapOf(),
    /** Time of the last batch, or `null` before the first. */
    public val lastFlushMillis: Long? = null,
    /** Sent messages that are not yet acknowledged, by message number. */
    public val deliveries: PersistentMap<Long, Delivery> = persistentMapOf(),
    /** Message numbers received from each peer, which identify duplicates. */
    public val received: PersistentMap<NodeId, ReceivedNumbers> = persistentMapOf(),
)

/** A sent message that is not yet acknowledged. */
public data class Delivery(
    public val peer: NodeId,
    public val message: PeerMessage,
    public val subtree: Subtree,
    public val sentMillis: Long,
    public val attempts: Int = 1,
    public val failovers: Int = 0,
)

/** Message numbers received from one peer: the highest, and a bitmap of the 64 numbers below it. */
public data class ReceivedNumbers(public val highest: Long, public val receivedBelow: Long = 0)

/** State of the reads and writes of member rows in the store. */
public data class MemberRowsState(
    /** Time of the next scan, or `null` if none is scheduled. */
    public val nextScanAtMillis: Long? = null,
    /** Time of the next write of this node's row, or `null` if none is scheduled. */
    public val nextWriteAtMillis: Long? = null,
    /** Request of the scan in flight, or `null`. */
    public val scanRequest: RequestId? = null,
    /** Request of the write in flight, or `null`. */
    public val writeRequest: RequestId? = null,
    /** What the write in flight contains for the next process of this node. */
    public val writing: DurableState = DurableState(),
    /** What the row in the store contains for the next process of this node. */
    public val persisted: DurableState = DurableState(),
    /** Number of failed scans and writes in a row; the wait after a failure grows with it. */
    public val failures: Int = 0,
)

/** The part of the control state that outlasts the processes of all nodes, in the rows of the members. */
public data class DurableState(
    public val withdrawals: List<Withdrawal> = emptyList(),
    /** Deaths that this node reported and that quarantine a request. */
    public val deaths: List<RecordedDeath> = emptyList(),
) {
    /** Returns whether [other] contains everything in this state. */
    internal fun isIn(other: DurableState): Boolean =
        withdrawals.all { it in other.withdrawals } && deaths.all { it in other.deaths }
}

/** True if every relay of the local region reports [region] as unreachable. */
internal fun ControlState.isUnreachable(region: RegionName): Boolean {
    if (region == identity.region) return false
    val relays = membership.table.relays(identity.region, relaysPerRegion)
    return relays.isNotEmpty() &&
        relays.all { membership.table[it]?.record?.unreachableRegions.orEmpty().contains(region) }
}

/** Number of relays in each region. */
internal val ControlState.relaysPerRegion: Int
    get() = applied?.configuration?.dissemination?.relaysPerRegion ?: DEFAULT_RELAYS

/** True if the table has another member that is not dead. */
internal val ControlState.hasPeers: Boolean
    get() {
        val regions = membership.table.regions.values
        return regions.size > 1 || regions.any { it.ring.entries.size > 1 }
    }

private const val DEFAULT_RELAYS = 2
