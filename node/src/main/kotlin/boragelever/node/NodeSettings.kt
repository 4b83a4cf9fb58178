package boragelever.node

import boragelever.core.NetworkAddress
import boragelever.core.NodeId
import boragelever.core.RegionName
import boragelever.core.ZoneName
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
    /** Port for control messages from other nodes. */
    public val peerPort: Int = 0,
    /** IP number for the admin port; anyone who reaches it can register upstreams. */
    public val adminHost: String = "127.0.0.1",
    public val adminPort: Int = 0,
    /** Peers to contact when the store names none. */
    public val seeds: List<NetworkAddress> = emptyList(),
    /** Region of the platform's store, whose nodes publish first, or `null` if all regions are alike. */
    public val storeRegion: RegionName? = null,
    /** Key that peers have to prove, or `null` to accept every peer. */
    public val sharedKey: SharedKey? = null,
    /** Threads that carry calls. */
    public val trafficThreads: Int = 2,
    /** OTLP endpoint that traces go to, or `null` for none. */
    public val otlpEndpoint: String? = null,
    /** Seed of all random choices. */
    public val seed: Long,
)

/** Addresses at which a running node is reached. */
public data class NodeAddresses(
    public val proxy: NetworkAddress,
    public val hop: NetworkAddress,
    public val peer: NetworkAddress,
    public val admin: NetworkAddress,
)
