package boragelever.node

import boragelever.core.NetworkAddress
import boragelever.core.NodeId
import boragelever.core.RegionName
import boragelever.core.ZoneName
import boragelever.core.call.CallHeaderNames
import boragelever.core.control.ConfigOrigin
import boragelever.core.control.ReloadableSettings
import boragelever.wire.SharedKey

/** Settings of one node, fixed for the lifetime of the process. Port 0 selects any free port. */
public data class NodeSettings(
    public val node: NodeId,
    public val region: RegionName,
    public val zone: ZoneName,
    /** IP address at which callers and other nodes reach this node. */
    public val host: String = "127.0.0.1",
    /** IP address to listen on. */
    public val bindHost: String = host,
    /** Port for calls from callers. */
    public val proxyPort: Int = 0,
    /** Port for calls from other nodes. */
    public val hopPort: Int = 0,
    /** Port for readiness requests of the platform, or `null` for none. */
    public val readyPort: Int? = null,
    /** Port for heartbeats of the local upstream, or `null` if it registers at the admin port only. */
    public val heartbeatPort: Int? = null,
    /** Heartbeat interval of the upstream; its registration expires after [MAX_MISSED_HEARTBEATS] intervals. */
    public val heartbeatMillis: Long = 1_500,
    /** Port for control messages from other nodes. */
    public val peerPort: Int = 0,
    /** IP address to listen on for the admin port. Any client that reaches it can register upstreams. */
    public val adminHost: String = "127.0.0.1",
    /** Port of the admin server, for operators and upstreams. */
    public val adminPort: Int = 0,
    /** Addresses of peers to contact if the store lists no members. */
    public val seeds: List<NetworkAddress> = emptyList(),
    /** Region of the platform's store, whose nodes are preferred as publisher, or `null` for no preference. */
    public val storeRegion: RegionName? = null,
    /** Source of the configuration. */
    public val origin: ConfigOrigin = ConfigOrigin.Folder,
    /** Names of the headers exchanged with callers and upstreams. */
    public val headerNames: CallHeaderNames = CallHeaderNames(),
    /** Settings that can be reloaded while the node runs. */
    public val live: ReloadableSettings = ReloadableSettings(),
    /** Shared key that peers must prove to hold, or `null` to accept every peer. */
    public val sharedKey: SharedKey? = null,
    /** Number of threads that handle calls. */
    public val trafficThreads: Int = 2,
    /** OTLP endpoint to which traces are exported, or `null` for none. */
    public val otlpEndpoint: String? = null,
    /** Seed of all random number generators. */
    public val seed: Long,
)

/** Number of heartbeat intervals without a heartbeat after which the registration of an upstream expires. */
public const val MAX_MISSED_HEARTBEATS: Int = 3

/** Addresses of a running node. */
public data class NodeAddresses(
    /** For calls from callers. */
    public val proxy: NetworkAddress,
    /** For calls from other nodes. */
    public val hop: NetworkAddress,
    /** For control messages from other nodes. */
    public val peer: NetworkAddress,
    /** For operators and upstreams. */
    public val admin: NetworkAddress,
)
