package boragelever.core.control

import boragelever.core.Incarnation
import boragelever.core.NetworkAddress
import boragelever.core.NodeId
import boragelever.core.RegionName
import boragelever.core.ZoneName

/**
 * Creates the control state of a node before its first event.
 *
 * ```
 * var state = ControlState {
 *     node = NodeId("khomas-1")
 *     region = RegionName("khomas")
 *     zone = ZoneName("a")
 *     peerAddress = NetworkAddress("10.0.0.1:7002")
 *     callAddress = NetworkAddress("10.0.0.1:7001")
 * }
 * val transition = reduce(state, Event.Started(EventContext(nowMillis = 0, seed = 1)))
 * state = transition.state
 * transition.effects.forEach(::start)
 * ```
 *
 * @throws IllegalArgumentException if a property without a default is not set; the message names it.
 * @see reduce
 */
public fun ControlState(build: ControlStateBuilder.() -> Unit): ControlState =
    ControlStateBuilder().apply(build).toControlState()

/** Settings of the function [ControlState]. */
public class ControlStateBuilder internal constructor() {
    /** Name of the node, unique in the mesh. Has no default. */
    public var node: NodeId? = null

    /** Region of the host. Has no default. */
    public var region: RegionName? = null

    /** Availability zone of the host. Has no default. */
    public var zone: ZoneName? = null

    /** Address at which other nodes open control connections. Has no default. */
    public var peerAddress: NetworkAddress? = null

    /** Address to which other nodes send calls for the upstreams of this node. Has no default. */
    public var callAddress: NetworkAddress? = null

    /** Incarnation at start; it must grow with each restart of the node. 1 by default. */
    public var incarnation: Incarnation = Incarnation(1)

    /** Addresses to contact if the store returns no peer. Empty by default. */
    public var seeds: List<NetworkAddress> = emptyList()

    /** Region of the store, whose members are preferred as publisher. None by default. */
    public var storeRegion: RegionName? = null

    /** Wall-clock time minus the monotonic time of the events, in milliseconds. 0 by default. */
    public var epochOffsetMillis: Long = 0

    internal fun toControlState(): ControlState =
        ControlState(
            NodeIdentity(
                node = required(node, "node"),
                region = required(region, "region"),
                zone = required(zone, "zone"),
                peerAddress = required(peerAddress, "peerAddress"),
                callAddress = required(callAddress, "callAddress"),
                incarnation = incarnation,
                seeds = seeds,
                epochOffsetMillis = epochOffsetMillis,
                storeRegion = storeRegion,
            ),
        )

    private fun <T : Any> required(value: T?, property: String): T =
        requireNotNull(value) { "Required property '$property' of the control state is not set; set it in the builder" }
}
