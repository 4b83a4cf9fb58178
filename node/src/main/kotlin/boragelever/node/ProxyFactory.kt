package boragelever.node

import boragelever.node.proxy.ProxyServer
import boragelever.node.proxy.ProxySettings
import boragelever.node.proxy.SnapshotSource
import boragelever.node.proxy.TrafficObserver
import boragelever.platform.Platform
import io.prometheus.metrics.model.registry.PrometheusRegistry

/** What the traffic side of a node is built from. */
public class ProxyParts(
    public val settings: ProxySettings,
    public val snapshots: SnapshotSource,
    public val observer: TrafficObserver,
    /** Store for the claims of non-idempotent calls. */
    public val store: Platform,
    public val clock: Clock,
    /** Where the traffic side registers its metrics. */
    public val registry: PrometheusRegistry,
    /** OTLP endpoint that traces go to, or `null` for none. */
    public val otlpEndpoint: String?,
)

/** Builds the traffic side of a node. */
public fun interface ProxyFactory {
    /** Returns a proxy that is not started yet. */
    public fun create(parts: ProxyParts): ProxyServer
}
