package boragelever.node.proxy

import boragelever.core.Fingerprint
import boragelever.core.InstanceId
import boragelever.core.control.InterruptedRequest
import boragelever.core.routing.RoutingSnapshot

/** Provides the snapshot in force to the traffic threads. */
public fun interface SnapshotSource {
    /** Returns the snapshot in force, or `null` before the first configuration. Called once for each call. */
    public fun current(): RoutingSnapshot?
}

/** An event on a traffic thread that the control state needs to know. */
public sealed interface ProxyObservation {
    /** A local upstream refused or reset its connections while the requests [running] were in flight. */
    public data class UpstreamCrashed(
        public val instance: InstanceId,
        public val running: List<InterruptedRequest>,
    ) : ProxyObservation

    /** A local upstream completed a request that [ProxyServer.watchCompletions] lists. */
    public data class RequestCompleted(
        public val instance: InstanceId,
        public val fingerprint: Fingerprint,
    ) : ProxyObservation
}

/** Receives observations. Called on traffic threads, so it must not block. */
public fun interface ProxyObserver {
    /** Called for each observation. */
    public fun onObservation(observation: ProxyObservation)
}
