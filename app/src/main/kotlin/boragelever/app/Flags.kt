package boragelever.app

import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.Option

/** Flags of every command. These annotations are the source of the help texts and of the documented flag table. */
internal open class Flags {
    @Option(name = "--help", usage = "Shows this help.", help = true)
    var help: Boolean = false
}

/** Flags of the commands that run until they are stopped. */
internal open class ServiceFlags : Flags() {
    @Option(name = "--log-format", metaVar = "FORMAT", usage = "Format of log lines: text or json.")
    var logFormat: String = "text"

    @Option(name = "--log-level", metaVar = "LEVEL", usage = "Lowest level that is logged: debug, info, warn or error.")
    var logLevel: String = "info"
}

/** Flags of the commands that print a result. */
internal open class ResultFlags : Flags() {
    @Option(name = "--output", metaVar = "FORMAT", usage = "Format of the result: text or json.")
    var output: String = "text"
}

internal class NodeFlags : ServiceFlags() {
    @Option(name = "--node", metaVar = "ID", usage = "Name of the node, stable across restarts. Required.")
    var node: String? = null

    @Option(name = "--region", metaVar = "NAME", usage = "Region of the host. Required.")
    var region: String? = null

    @Option(name = "--zone", metaVar = "NAME", usage = "Availability zone of the host. Required.")
    var zone: String? = null

    @Option(name = "--platform", metaVar = "HOST:PORT", usage = "Address of the platform. Required.")
    var platform: String? = null

    @Option(name = "--host", metaVar = "IP", usage = "IP address at which callers and other nodes reach the node.")
    var host: String = "127.0.0.1"

    @Option(name = "--bind-host", metaVar = "IP", usage = "IP address to listen on; by default that of --host.")
    var bindHost: String? = null

    @Option(name = "--proxy-port", metaVar = "PORT", usage = "Port for callers; 0 picks a free one.")
    var proxyPort: String = "7000"

    @Option(name = "--hop-port", metaVar = "PORT", usage = "Port for calls from other nodes; 0 picks a free one.")
    var hopPort: String = "7001"

    @Option(name = "--peer-port", metaVar = "PORT", usage = "Port for control messages of nodes; 0 picks a free one.")
    var peerPort: String = "7002"

    @Option(name = "--admin-host", metaVar = "IP", usage = "IP address of the admin port; keep it on loopback.")
    var adminHost: String = "127.0.0.1"

    @Option(name = "--admin-port", metaVar = "PORT", usage = "Port for upstreams and operators; 0 picks a free one.")
    var adminPort: String = "7003"

    @Option(
        name = "--ready-port",
        metaVar = "PORT",
        usage = "Port for readiness checks of the platform.",
    )
    var readyPort: String? = null

    @Option(name = "--heartbeat-port", metaVar = "PORT", usage = "Port for heartbeats of the upstream on this host.")
    var heartbeatPort: String? = null

    @Option(
        name = "--heartbeat",
        metaVar = "TIME",
        usage = "Interval of the upstream's heartbeats, for example 1500ms.",
    )
    var heartbeat: String = "1500ms"

    @Option(name = "--service", metaVar = "NAME", usage = "Service of the upstream on this host.")
    var service: String? = null

    @Option(
        name = "--origin",
        metaVar = "ORIGIN",
        usage = "Source of configurations: folder, or operator for the platform's operator.",
    )
    var origin: String = "folder"

    @Option(
        name = "--dialect",
        metaVar = "NAME",
        usage = "Names of headers for callers and upstreams: own or platform.",
    )
    var dialect: String = "own"

    @Option(name = "--stop-grace", metaVar = "TIME", usage = "Time from the stop signal until the process is killed.")
    var stopGrace: String? = null

    @Option(name = "--retry-slack", metaVar = "N", usage = "Retries that all nodes together may make beyond the ratio.")
    var retrySlack: String? = null

    @Option(name = "--retry-ratio", metaVar = "SHARE", usage = "Retries of all nodes together as a share of the calls.")
    var retryRatio: String? = null

    @Option(
        name = "--seeds",
        metaVar = "HOST:PORT,...",
        usage = "Peer ports to contact when the store lists no members.",
    )
    var seeds: String? = null

    @Option(
        name = "--store-region",
        metaVar = "NAME",
        usage = "Region of the platform's store; its nodes are preferred as publisher.",
    )
    var storeRegion: String? = null

    @Option(
        name = "--shared-key-file",
        metaVar = "FILE",
        usage = "File with the shared key that authenticates nodes to each other.",
    )
    var sharedKeyFile: String? = null

    @Option(name = "--folder-prefix", metaVar = "PREFIX", usage = "Prefix of the folder's objects in the object store.")
    var folderPrefix: String = "folder/"

    @Option(
        name = "--folder",
        metaVar = "DIR",
        usage = "Directory to use instead of the object store, for development.",
    )
    var folder: String? = null

    @Option(name = "--traffic-threads", metaVar = "N", usage = "Number of threads that handle calls, from 1 to 64.")
    var trafficThreads: String = "2"

    @Option(
        name = "--otlp-endpoint",
        metaVar = "URL",
        usage = "OTLP endpoint for traces; by default none are sent.",
    )
    var otlpEndpoint: String? = null
}

internal class CheckFlags : ResultFlags() {
    @Option(name = "--quiet", usage = "Prints a one-line summary instead of the merged configuration.")
    var quiet: Boolean = false

    @Argument(metaVar = "FOLDER", usage = "Folder of configuration files.")
    var arguments: MutableList<String> = mutableListOf()
}

internal class DiffFlags : ResultFlags() {
    @Argument(metaVar = "FOLDER FOLDER", usage = "Folder before and folder after the change.")
    var arguments: MutableList<String> = mutableListOf()
}

internal class StatusFlags : ResultFlags() {
    @Option(name = "--admin", metaVar = "HOST:PORT", usage = "Admin port of the node.")
    var admin: String = "127.0.0.1:7003"
}

/** Flags of the commands that accept a time limit. */
internal open class BoundedFlags : ServiceFlags() {
    @Option(
        name = "--for-seconds",
        metaVar = "N",
        usage = "Stops after this time; by default it runs until it is stopped.",
    )
    var forSeconds: String? = null
}

internal class DevFlags : BoundedFlags() {
    @Option(name = "--folder", metaVar = "DIR", usage = "Folder of configuration files to run. Required.")
    var folder: String? = null

    @Option(
        name = "--sample-calls",
        metaVar = "N",
        usage = "Calls per route after each applied version, whose results are printed; by default none.",
    )
    var sampleCalls: String? = null
}

internal class PlatformFlags : BoundedFlags() {
    @Option(name = "--listen", metaVar = "HOST:PORT", usage = "Address to listen on; port 0 picks a free one.")
    var listen: String = "127.0.0.1:7100"
}

internal class UpstreamFlags : BoundedFlags() {
    @Option(name = "--service", metaVar = "NAME", usage = "Service of the upstream. Required.")
    var service: String? = null

    @Option(name = "--instance", metaVar = "ID", usage = "Name of the upstream. Required.")
    var instance: String? = null

    @Option(name = "--listen", metaVar = "HOST:PORT", usage = "Address to listen on; port 0 picks a free one.")
    var listen: String = "127.0.0.1:0"

    @Option(name = "--admin", metaVar = "HOST:PORT", usage = "Admin port of the node to register with.")
    var admin: String = "127.0.0.1:7003"

    @Option(name = "--slots", metaVar = "N", usage = "Number of requests that the upstream runs concurrently.")
    var slots: String = "9"

    @Option(name = "--connections", metaVar = "N", usage = "Number of connections that the upstream accepts.")
    var connections: String = "130"
}
