package boragelever.node.proxy

import boragelever.core.NodeId
import boragelever.core.call.CallHeaderNames

/** Settings of the proxy of a node. Limits that operators change at run time are in the configuration. */
public data class ProxySettings(
    public val node: NodeId,
    /** IP address on which the ports listen. */
    public val bindHost: String = "0.0.0.0",
    /** Port for callers; 0 binds any free port. */
    public val proxyPort: Int = 0,
    /** Port for calls from other nodes, which end their last hop here; 0 binds any free port. */
    public val hopPort: Int = 0,
    /** Header names for callers and upstreams. */
    public val headerNames: CallHeaderNames = CallHeaderNames(),
    /** Ports on [bindHost] for requests of the platform and of the upstreams on this host. */
    public val localPorts: List<Int> = emptyList(),
    /** Number of traffic threads. */
    public val threads: Int = 2,
    /** Timeout for connecting to a node or an upstream. */
    public val connectTimeoutMillis: Long = 300,
    /** Longest time without a byte of a request body before the request is refused with status 408. */
    public val receiveTimeoutMillis: Long = 10_000,
    /** Time after which an idle connection from another node is closed. */
    public val hopIdleMillis: Long = 75_000,
    /** Time after which an idle connection to a node or an upstream is closed. */
    public val pooledIdleMillis: Long = 8_000,
    /** Age at which a connection to a node or an upstream is no longer reused. */
    public val connectionMaxAgeMillis: Long = 300_000,
    /** Largest number of idle connections kept for each node or upstream. */
    public val maxPooledPerTarget: Int = 32,
    /**
     * Largest number of connections from other nodes.
     *
     * Each node of a large fleet may open a few; the limit that operators configure applies to callers only.
     */
    public val maxHopConnections: Int = 4_096,
    /** Size up to which the response to a repeatable call is buffered before it is forwarded; most are shorter. */
    public val maxBufferedResponseBytes: Int = 262_144,
    /** Size up to which request bodies are buffered for digests and retries; larger ones are streamed. */
    public val maxBufferedRequestBytes: Int = 65_536,
)

/** Ports on which the proxy listens for callers and for other nodes. */
public data class ProxyPorts(public val proxy: Int, public val hop: Int)
