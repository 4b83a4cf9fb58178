package boragelever.node.proxy

import boragelever.core.Fingerprint
import boragelever.core.InstanceId
import boragelever.core.routing.RoutingSnapshot

/** Gives the traffic threads the snapshot in force. */
public fun interface SnapshotSource {
    /** Returns the snapshot in force, or `null` before the first configuration. Called once for each call. */
    public fun current(): RoutingSnapshot?
}

/** Something that traffic threads saw and that the control state must know. */
public sealed interface ProxyObservation {
    /** A local upstream refused or reset its connections; [running] were in flight in it. */
    public data class UpstreamDied(
        public val instance: InstanceId,
        public val running: List<Fingerprint>,
    ) : ProxyObservation
}

/** Receives observations. Called on traffic threads; must not block. */
public fun interface ProxyObserver {
    /** Takes one observation. */
    public fun onObservation(observation: ProxyObservation)
}
