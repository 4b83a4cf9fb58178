package boragelever.node

import boragelever.core.NetworkAddress
import boragelever.core.NodeId
import boragelever.core.RegionName
import boragelever.core.ZoneName
import boragelever.core.call.CallDialect
import boragelever.core.control.ConfigOrigin
import boragelever.core.control.ReloadableSettings
import boragelever.wire.SharedKey

/** Settings of one node; fixed for the life of the process. Ports of 0 take any free port. */
public data class NodeSettings(
    public val node: NodeId,
    public val region: RegionName,
    public val zone: ZoneName,
    /** IP number on which callers and other nodes reach this node. */
    public val host: String = "127.0.0.1",
    /** IP number to listen on. */
    public val bindHost: String = host,
    /** Port for callers. */
    public val proxyPort: Int = 0,
    /** Port for calls from other nodes. */
    public val hopPort: Int = 0,
    /** Port on which the platform asks whether the node is ready, or `null` for none. */
    public val readyPort: Int? = null,
    /** Port for heartbeats of the upstream beside this node, or `null` if it uses the admin port only. */
    public val heartbeatPort: Int? = null,
    /** Interval of the upstream's heartbeats; it counts as gone after [HEARTBEATS_MISSED] of them. */
    public val heartbeatMillis: Long = 1_500,
    /** Port for control messages from other nodes. */
    public val peerPort: Int = 0,
    /** IP number for the admin port; anyone who reaches it can register upstreams. */
    public val adminHost: String = "127.0.0.1",
    public val adminPort: Int = 0,
    /** Peers to contact when the store names none. */
    public val seeds: List<NetworkAddress> = emptyList(),
    /** Region of the platform's store, whose nodes publish first, or `null` if all regions are alike. */
    public val storeRegion: RegionName? = null,
    /** Where accepted configurations come from. */
    public val origin: ConfigOrigin = ConfigOrigin.Folder,
    /** Headers of callers and upstreams. */
    public val dialect: CallDialect = CallDialect(),
    /** Settings that may change while the node runs. */
    public val live: ReloadableSettings = ReloadableSettings(),
    /** Key that peers have to prove, or `null` to accept every peer. */
    public val sharedKey: SharedKey? = null,
    /** Threads that carry calls. */
    public val trafficThreads: Int = 2,
    /** OTLP endpoint that traces go to, or `null` for none. */
    public val otlpEndpoint: String? = null,
    /** Seed of all random choices. */
    public val seed: Long,
)

/** Heartbeats of an upstream that may be missed before it counts as gone. */
public const val HEARTBEATS_MISSED: Int = 3

/** Addresses at which a running node is reached. */
public data class NodeAddresses(
    public val proxy: NetworkAddress,
    public val hop: NetworkAddress,
    public val peer: NetworkAddress,
    public val admin: NetworkAddress,
)
