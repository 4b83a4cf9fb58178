package boragelever.core.control

import boragelever.core.Incarnation
import boragelever.core.NetworkAddress
import boragelever.core.NodeId
import boragelever.core.RegionName
import boragelever.core.ServiceName
import boragelever.core.ZoneName
import boragelever.core.config.ConfigDocument
import boragelever.core.config.ConfigId
import boragelever.core.config.Configuration
import boragelever.core.routing.RouteTable
import boragelever.core.routing.RoutingSnapshot

/** Settings of a node that the control state needs; fixed for the life of the process. */
public data class NodeIdentity(
    public val node: NodeId,
    public val region: RegionName,
    public val zone: ZoneName,
    public val peerAddress: NetworkAddress,
    public val callAddress: NetworkAddress,
    /** Incarnation at start; wall-clock seconds make it grow over restarts. */
    public val incarnation: Incarnation,
    /** Addresses to contact when the store cannot name any peer. */
    public val seeds: List<NetworkAddress> = emptyList(),
    /** Wall-clock time minus monotonic time, used only for times that operators read and row ages. */
    public val epochOffsetMillis: Long = 0,
    /** Region of the platform's store, whose members publish first, or `null` if all regions are alike. */
    public val storeRegion: RegionName? = null,
    public val origin: ConfigOrigin = ConfigOrigin.Folder,
    public val reloadable: ReloadableSettings = ReloadableSettings(),
)

/** Settings that may change while the node runs. */
public data class ReloadableSettings(
    /** Service of the upstream beside this node, which upstreams are told as the caller; `null` if it is not known. */
    public val callingService: ServiceName? = null,
    /** Time after which the platform ends a process that was asked to stop, or `null` if it waits. */
    public val stopGraceMillis: Long? = null,
    /** Retries that all nodes together may make beside their share of the calls, or `null` for no common bound. */
    public val sharedRetrySlack: Int? = null,
    /** Repeats of all nodes together as a share of the calls to a service, or `null` for the budget of each route. */
    public val sharedRetryRatio: Double? = null,
)

/** A configuration in force. */
public data class AppliedConfig(
    public val id: ConfigId,
    public val document: ConfigDocument,
    public val configuration: Configuration,
) {
    /** Routes of the configuration, longest prefix first. */
    internal val routes: RouteTable by lazy(LazyThreadSafetyMode.NONE) { compileRoutes(configuration) }
}

/** Whole control state of a node. Owned by the control thread. */
public data class ControlState(
    public val identity: NodeIdentity,
    public val lifecycle: LifecycleState = LifecycleState.Starting,
    public val applied: AppliedConfig? = null,
    /** The configuration that is being compiled, or `null` if none is. */
    public val pendingConfig: PendingConfig? = null,
    /** The last configuration that this program version cannot apply. */
    public val refusedConfig: ConfigId? = null,
    public val headRead: HeadRead = HeadRead.Idle(),
    public val store: StoreState = StoreState(),
    public val lease: LeaseState = LeaseState.Observing(),
    public val publisher: PublisherState = PublisherState(),
    public val membership: MembershipState = MembershipState(),
    public val source: SourceState = SourceState(),
    public val discovery: DiscoveryState = DiscoveryState(),
    public val dissemination: DisseminationState = DisseminationState(),
    public val quarantine: QuarantineState = QuarantineState(),
    public val snapshot: RoutingSnapshot? = null,
    /** Number of the last request issued. */
    public val lastRequest: Long = 0,
    /** Time of the last tick, or `null` before the first; a gap tells that the process was paused. */
    public val lastTickMillis: Long? = null,
    /** Time for which the process did not run before the current event, or `null` if it was not paused. */
    public val pausedMillis: Long? = null,
    /** What [snapshot] was built from. */
    public val snapshotInputs: SnapshotInputs? = null,
    public val claimCleanup: ClaimCleanupState = ClaimCleanupState(),
)

/** Life of the process. */
public sealed interface LifecycleState {
    public data object Starting : LifecycleState

    public data object Running : LifecycleState

    /**
     * The node is not ready any more and, after a notice, refuses new calls; it exits once no call is in flight.
     *
     * The node announces its end at [leaveAnnouncedMillis], shortly before it exits.
     */
    public data class Draining(
        public val sinceMillis: Long,
        public val callsFinished: Boolean = false,
        public val leaveAnnouncedMillis: Long? = null,
        /** True once callers had time to notice the end; new calls are refused from then on. */
        public val refusesCalls: Boolean = false,
    ) : LifecycleState
}

/** Returns the state with a fresh request id for [owner]. */
internal fun ControlState.nextRequest(owner: RequestOwner): Pair<ControlState, RequestId> {
    val request = RequestId(owner, lastRequest + 1)
    return copy(lastRequest = request.number) to request
}
