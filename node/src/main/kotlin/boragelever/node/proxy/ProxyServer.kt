package boragelever.node.proxy

/** The traffic side of a node: takes calls from callers and, as the last hop, from other nodes. */
public interface ProxyServer {
    /** Calls that are being carried, on both ports. */
    public val callsInFlight: Int

    /** Opens both ports. Fails with an exception if a port is taken. */
    public suspend fun start(): ProxyPorts

    /** Refuses new calls as not run from now on; calls in flight go on. */
    public fun beginDrain()

    /** Ends all connections, in flight or not, and frees the ports. */
    public suspend fun close()
}
