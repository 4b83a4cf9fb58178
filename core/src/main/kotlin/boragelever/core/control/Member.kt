package boragelever.core.control

import boragelever.core.Incarnation
import boragelever.core.InstanceId
import boragelever.core.NetworkAddress
import boragelever.core.NodeId
import boragelever.core.RegionName
import boragelever.core.ServiceName
import boragelever.core.Withdrawal
import boragelever.core.ZoneName
import kotlinx.serialization.EncodeDefault
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Record that a node publishes about itself and its upstreams. The higher (incarnation, sequence) wins. */
@Serializable
public data class MemberRecord(
    @SerialName("n") public val node: NodeId,
    @SerialName("i") public val incarnation: Incarnation,
    @SerialName("q") public val sequence: Long,
    @SerialName("r") public val region: RegionName,
    @SerialName("z") public val zone: ZoneName,
    /** Address at which other nodes open control connections. */
    @SerialName("p") public val peerAddress: NetworkAddress,
    /** Address to which other nodes send calls for this node's upstreams. */
    @SerialName("c") public val callAddress: NetworkAddress,
    @SerialName("u") public val upstreams: List<UpstreamRecord> = emptyList(),
    /** True once the node is stopping; it accepts no new calls. */
    @SerialName("l") public val leaving: Boolean = false,
    /** Regions from which this node, as a relay, gets no reply. */
    @SerialName("x") public val unreachableRegions: Set<RegionName> = emptySet(),
    /** Upstreams that announced to this node that they leave; a restarted process of the node needs them. */
    @OptIn(ExperimentalSerializationApi::class)
    @EncodeDefault(EncodeDefault.Mode.NEVER)
    @SerialName("w")
    public val withdrawals: List<Withdrawal> = emptyList(),
)

/** One upstream that is co-located with a node. */
@Serializable
public data class UpstreamRecord(
    public val service: ServiceName,
    public val instance: InstanceId,
    /** Address at which the co-located node reaches the upstream. */
    public val address: NetworkAddress,
    /** Number of requests that the instance processes concurrently. */
    public val slots: Int,
    /** Number of concurrent connections that the instance accepts. */
    public val connections: Int,
    public val state: UpstreamState,
    /** False while the instance warms up after its start. */
    @OptIn(ExperimentalSerializationApi::class)
    @EncodeDefault(EncodeDefault.Mode.NEVER)
    public val warm: Boolean = true,
)

/** State that an upstream reports in its registration. */
@Serializable
public enum class UpstreamState {
    @SerialName("starting")
    STARTING,

    @SerialName("serving")
    SERVING,

    @SerialName("draining")
    DRAINING,
}

/** Version of a member record; a record with a higher version replaces one of the same node with a lower version. */
@Serializable
public data class RecordVersion(public val incarnation: Incarnation, public val sequence: Long) :
    Comparable<RecordVersion> {
    override fun compareTo(other: RecordVersion): Int =
        compareValuesBy(this, other, RecordVersion::incarnation, RecordVersion::sequence)
}

/** Version of this record. */
public val MemberRecord.version: RecordVersion get() = RecordVersion(incarnation, sequence)
