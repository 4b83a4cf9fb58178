package boragelever.core.control

import boragelever.core.ConfigVersion
import boragelever.core.Fingerprint
import boragelever.core.Incarnation
import boragelever.core.NodeId
import boragelever.core.config.ConfigDocument
import boragelever.core.config.ConfigId
import boragelever.core.config.DocumentDelta
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * A message between nodes. New fields need a default, so that adjacent program versions understand each other.
 *
 * Names on the wire are short, since a heartbeat is otherwise mostly names.
 */
@Serializable
public sealed interface PeerMessage {
    /** Asks the receiver for a sign of life and tells what the sender holds. */
    @Serializable
    @SerialName("hb")
    public data class Heartbeat(
        @SerialName("n") public val number: Long,
        @SerialName("c") public val config: ConfigId?,
        @SerialName("m") public val membersDigest: Long,
    ) : PeerMessage

    /** Answers a [Heartbeat] with the same [number]. */
    @Serializable
    @SerialName("hb-ack")
    public data class HeartbeatAck(
        @SerialName("n") public val number: Long,
        @SerialName("c") public val config: ConfigId?,
        @SerialName("m") public val membersDigest: Long,
    ) : PeerMessage

    /** Carries a configuration and the part of the tree that the receiver forwards it to. */
    @Serializable
    @SerialName("cfg")
    public data class ConfigPush(
        @SerialName("i") public val id: ConfigId,
        @SerialName("b") public val body: ConfigBody,
        @SerialName("s") public val scope: TreeScope,
        /** Part of the zone's ring that [TreeScope.ZONE] covers, or `null` for the whole zone. */
        @SerialName("r") public val range: RingRange? = null,
    ) : PeerMessage

    /** Tells which configuration the sender holds after a push. */
    @Serializable
    @SerialName("cfg-ack")
    public data class ConfigAck(
        @SerialName("h") public val applied: ConfigId?,
    ) : PeerMessage

    /** Asks for a newer configuration than [held]; answered by a [ConfigPush] with scope [TreeScope.SELF]. */
    @Serializable
    @SerialName("cfg-pull")
    public data class ConfigPull(
        @SerialName("h") public val applied: ConfigId?,
    ) : PeerMessage

    /** Tells members of the sender's region that it watches the configuration source, and what it holds. */
    @Serializable
    @SerialName("src")
    public data class SourceReport(
        @SerialName("c") public val config: ConfigId?,
    ) : PeerMessage

    /** Carries changed member records down the tree. */
    @Serializable
    @SerialName("mem")
    public data class MemberUpdate(
        @SerialName("n") public val number: Long,
        @SerialName("m") public val records: List<MemberStatusRecord>,
        @SerialName("s") public val scope: TreeScope,
        /** Part of the zone's ring that [TreeScope.ZONE] covers, or `null` for the whole zone. */
        @SerialName("r") public val range: RingRange? = null,
        /** True if the message answers a [MemberSummary] or [MemberPull] and is not part of a broadcast. */
        @SerialName("a") public val isReply: Boolean = false,
    ) : PeerMessage

    /** Acknowledges the [MemberUpdate] or [QuarantineUpdate] with the same [number]. */
    @Serializable
    @SerialName("mem-ack")
    public data class MemberAck(
        @SerialName("n") public val number: Long,
    ) : PeerMessage

    /** Lists what the sender knows, so that the receiver finds the differences. */
    @Serializable
    @SerialName("mem-sum")
    public data class MemberSummary(
        @SerialName("e") public val entries: List<MemberSummaryEntry>,
    ) : PeerMessage

    /** Asks for the records of [nodes]; answered by a [MemberUpdate] with scope [TreeScope.SELF]. */
    @Serializable
    @SerialName("mem-pull")
    public data class MemberPull(
        @SerialName("n") public val nodes: List<NodeId>,
    ) : PeerMessage

    /** Tells that requests with a fingerprint crashed upstreams. */
    @Serializable
    @SerialName("quar")
    public data class QuarantineUpdate(
        @SerialName("n") public val number: Long,
        @SerialName("d") public val deaths: List<FingerprintDeath>,
        @SerialName("s") public val scope: TreeScope,
        /** Part of the zone's ring that [TreeScope.ZONE] covers, or `null` for the whole zone. */
        @SerialName("r") public val range: RingRange? = null,
    ) : PeerMessage
}

/** A whole document or the change against one that the receiver holds. */
@Serializable
public sealed interface ConfigBody {
    @Serializable
    @SerialName("full")
    public data class Full(public val document: ConfigDocument) : ConfigBody

    @Serializable
    @SerialName("delta")
    public data class Delta(public val delta: DocumentDelta) : ConfigBody
}

/** Part of the dissemination tree below the receiver of a push. */
@Serializable
public enum class TreeScope {
    /** The receiver forwards to nobody. */
    @SerialName("self")
    SELF,

    /** The receiver forwards to its children in its zone. */
    @SerialName("zone")
    ZONE,

    /** The receiver forwards to the zone heads of its region. */
    @SerialName("region")
    REGION,

    /** The receiver forwards to all regions. */
    @SerialName("all")
    ALL,
}

/** Liveness of a member as seen by the nodes that watch it. */
@Serializable
public enum class MemberStatus {
    @SerialName("a")
    ALIVE,

    @SerialName("s")
    SUSPECT,

    @SerialName("d")
    DEAD,
}

/** A record with its status. At the same record version the worse status wins. */
@Serializable
public data class MemberStatusRecord(
    @SerialName("r") public val record: MemberRecord,
    @SerialName("s") public val status: MemberStatus,
)

/** What a node knows about one member, without the record itself. */
@Serializable
public data class MemberSummaryEntry(
    @SerialName("n") public val node: NodeId,
    @SerialName("i") public val incarnation: Incarnation,
    @SerialName("q") public val sequence: Long,
    @SerialName("s") public val status: MemberStatus,
)

/** One death of an upstream while it ran a request; counted once for each (fingerprint, node, number). */
@Serializable
public data class FingerprintDeath(
    public val fingerprint: Fingerprint,
    public val node: NodeId,
    public val number: Long,
    /** Time since the death when the message was sent, in milliseconds. */
    public val ageMillis: Long,
)

/** Lowest version that a configuration must exceed to be applied after [applied]. */
internal fun ConfigId?.versionOrNone(): ConfigVersion = this?.version ?: ConfigVersion.NONE
