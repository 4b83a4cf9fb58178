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

/** Settings of a node that the control state needs; all but [reloadable] are fixed for the lifetime of the process. */
public data class NodeIdentity(
    public val node: NodeId,
    public val region: RegionName,
    public val zone: ZoneName,
    public val peerAddress: NetworkAddress,
    public val callAddress: NetworkAddress,
    /** Incarnation at start, taken from wall-clock seconds so that it grows over restarts. */
    public val incarnation: Incarnation,
    /** Addresses to contact when the store cannot name any peer. */
    public val seeds: List<NetworkAddress> = emptyList(),
    /** Wall-clock time minus monotonic time; used only for times that operators read and for the age of rows. */
    public val epochOffsetMillis: Long = 0,
    /** Region of the platform's store, whose members are preferred as publisher, or `null` for no preference. */
    public val storeRegion: RegionName? = null,
    public val origin: ConfigOrigin = ConfigOrigin.Folder,
    public val reloadable: ReloadableSettings = ReloadableSettings(),
)

/** Settings that may change while the node runs. */
public data class ReloadableSettings(
    /** Service of the local upstream, sent to called upstreams as the caller, or `null` if it is not known. */
    public val callingService: ServiceName? = null,
    /** Time after which the platform kills a process that was asked to stop, or `null` if it waits indefinitely. */
    public val stopGraceMillis: Long? = null,
    /** Retries that all nodes together may make in addition to [sharedRetryRatio], or `null` for no common bound. */
    public val sharedRetrySlack: Double? = null,
    /** Retries of all nodes together as a share of the calls to a service, or `null` for the budget of each route. */
    public val sharedRetryRatio: Double? = null,
)

/** The configuration by which this node routes calls. */
public data class AppliedConfig(
    public val id: ConfigId,
    public val document: ConfigDocument,
    public val configuration: Configuration,
) {
    /** Routes of the configuration in matching order. */
    internal val routes: RouteTable by lazy(LazyThreadSafetyMode.NONE) { compileRoutes(configuration) }
}

/** The complete control state of a node. Only the control thread uses it. */
public data class ControlState(
    public val identity: NodeIdentity,
    public val lifecycle: LifecycleState = LifecycleState.Starting,
    public val applied: AppliedConfig? = null,
    /** The configuration that is being compiled, or `null`. */
    public val pendingConfig: PendingConfig? = null,
    /** The last configuration that this program version could not compile, or `null`. */
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
    /** Number of the last [RequestId] issued. */
    public val lastRequest: Long = 0,
    /** Time of the last tick, or `null` before the first; a large gap means that the process was paused. */
    public val lastTickMillis: Long? = null,
    /** Duration of the pause of the process that ended with the current event, or `null` if there was none. */
    public val pausedMillis: Long? = null,
    /** Inputs from which [snapshot] was built. */
    public val snapshotInputs: SnapshotInputs? = null,
    public val claimCleanup: ClaimCleanupState = ClaimCleanupState(),
)

/** Lifecycle of the process. */
public sealed interface LifecycleState {
    public data object Starting : LifecycleState

    public data object Running : LifecycleState

    /**
     * The node is no longer ready and, after [DEREGISTRATION_DELAY_MILLIS], refuses new calls. It exits once no call is
     * in flight.
     *
     * @property leaveAnnouncedMillis when the node announced its leave, shortly before it exits, or `null` before that.
     */
    public data class Draining(
        public val sinceMillis: Long,
        public val callsFinished: Boolean = false,
        public val leaveAnnouncedMillis: Long? = null,
        /** True once callers had time to see that the node is not ready; new calls are refused from then on. */
        public val refusesCalls: Boolean = false,
        /** Monotonic time at which the process exits even with calls in flight, or `null` if it waits for them. */
        public val exitMillis: Long? = null,
    ) : LifecycleState
}

/** Returns a new request id for [owner] and the state that counts it. */
internal fun ControlState.nextRequest(owner: RequestOwner): Pair<ControlState, RequestId> {
    val request = RequestId(owner, lastRequest + 1)
    return copy(lastRequest = request.number) to request
}
