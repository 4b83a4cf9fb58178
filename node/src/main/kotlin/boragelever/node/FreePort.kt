package boragelever.node

import java.io.IOException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket

/**
 * Checks that [port] of [host] can be opened; port 0 always can.
 *
 * Ktor's HTTP server reports a taken port on a thread of its own, where nobody can act on it.
 *
 * @throws IOException if the port is taken or the address is not one of this host.
 */
public fun requireFreePort(host: String, port: Int) {
    if (port == 0) return
    ServerSocket().use { probe ->
        // As the servers do; otherwise connections of an earlier run that linger would make the port look taken.
        probe.reuseAddress = true
        probe.bind(InetSocketAddress(InetAddress.getByName(host), port))
    }
}
