package boragelever.node.proxy

import boragelever.core.NodeId
import boragelever.core.call.CallHeaderNames

/** Settings of the traffic side of a node. Limits that operators change at run time are in the configuration. */
public data class ProxySettings(
    public val node: NodeId,
    /** IP number on which both ports listen. */
    public val bindHost: String = "0.0.0.0",
    /** Port for callers; 0 takes any free port. */
    public val proxyPort: Int = 0,
    /** Port for the last hop of calls from other nodes; 0 takes any free port. */
    public val hopPort: Int = 0,
    /** Headers of callers and upstreams. */
    public val dialect: CallHeaderNames = CallHeaderNames(),
    /** Ports on [bindHost] for requests of the platform and of the upstream beside this node. */
    public val localPorts: List<Int> = emptyList(),
    /** Threads that carry calls. */
    public val threads: Int = 2,
    /** Time for a new connection to a node or an upstream. */
    public val connectTimeoutMillis: Long = 300,
    /** Time in which a sender has to deliver the head of a message, and each further part of its body. */
    public val receiveTimeoutMillis: Long = 10_000,
    /** Time after which an unused connection from another node is closed. */
    public val hopIdleMillis: Long = 75_000,
    /** Time after which an unused connection to a node or an upstream is closed. */
    public val pooledIdleMillis: Long = 8_000,
    /** Age at which a connection to a node or an upstream is no longer reused. */
    public val connectionMaxAgeMillis: Long = 300_000,
    /** Largest number of unused connections kept for each node or upstream. */
    public val maxPooledPerTarget: Int = 32,
    /**
     * Largest number of connections from other nodes.
     *
     * Each node of a large fleet may hold a few; the limit that operators set concerns connections of callers.
     */
    public val maxHopConnections: Int = 4_096,
    /** Part of a response that may be repeated which is read before it is passed on; most responses are shorter. */
    public val maxBufferedResponseBytes: Int = 262_144,
    /** Request bodies up to this size are held for digests and retries. */
    public val maxBufferedRequestBytes: Int = 65_536,
)

/** Ports on which the proxy listens. */
public data class ProxyPorts(public val proxy: Int, public val hop: Int)
