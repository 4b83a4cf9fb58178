package boragelever.node

import java.io.IOException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket

/**
 * Verifies that [port] can be bound on [host]; port 0 always passes.
 *
 * Ktor's HTTP server reports a bind failure on one of its internal threads, where the caller cannot handle it.
 *
 * @throws IOException if the port is in use or [host] is not an address of this machine.
 */
public fun requireFreePort(host: String, port: Int) {
    if (port == 0) return
    ServerSocket().use { probe ->
        // Like the servers: without it, connections of an earlier run in TIME_WAIT make the port appear to be in use.
        probe.reuseAddress = true
        probe.bind(InetSocketAddress(InetAddress.getByName(host), port))
    }
}
