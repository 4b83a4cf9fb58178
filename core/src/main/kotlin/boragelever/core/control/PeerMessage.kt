package boragelever.core.control

import boragelever.core.ConfigVersion
import boragelever.core.Fingerprint
import boragelever.core.Incarnation
import boragelever.core.InstanceId
import boragelever.core.NodeId
import boragelever.core.config.ConfigDocument
import boragelever.core.config.ConfigId
import boragelever.core.config.DocumentDelta
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * A message between nodes. A new field needs a default value, so that adjacent program versions can decode each other's
 * messages.
 *
 * Serial names are short, since field names would otherwise make up most of a heartbeat.
 */
@Serializable
public sealed interface PeerMessage {
    /**
     * Requests a [HeartbeatAck]; contains the sender's applied configuration and the digests of its member table and of
     * its quarantined requests.
     */
    @Serializable
    @SerialName("hb")
    public data class Heartbeat(
        @SerialName("n") public val number: Long,
        @SerialName("c") public val config: ConfigId?,
        @SerialName("m") public val membersDigest: Long,
        @SerialName("q") public val quarantineDigest: Long = 0,
    ) : PeerMessage

    /** Reply to a [Heartbeat] with the same [number]. */
    @Serializable
    @SerialName("hb-ack")
    public data class HeartbeatAck(
        @SerialName("n") public val number: Long,
        @SerialName("c") public val config: ConfigId?,
        @SerialName("m") public val membersDigest: Long,
        @SerialName("q") public val quarantineDigest: Long = 0,
    ) : PeerMessage

    /** Carries a configuration and the subtree to which the receiver forwards it. */
    @Serializable
    @SerialName("cfg")
    public data class ConfigPush(
        @SerialName("i") public val id: ConfigId,
        @SerialName("b") public val body: ConfigBody,
        @SerialName("s") public val scope: TreeScope,
        /** Part of the zone's ring that [TreeScope.ZONE] covers, or `null` for the whole zone. */
        @SerialName("r") public val range: RingRange? = null,
    ) : PeerMessage

    /** Reply to a [ConfigPush] with the configuration that the sender has applied after it. */
    @Serializable
    @SerialName("cfg-ack")
    public data class ConfigAck(
        @SerialName("h") public val applied: ConfigId?,
    ) : PeerMessage

    /** Requests a newer configuration than [applied]; the reply is a [ConfigPush] with scope [TreeScope.SELF]. */
    @Serializable
    @SerialName("cfg-pull")
    public data class ConfigPull(
        @SerialName("h") public val applied: ConfigId?,
    ) : PeerMessage

    /** Reports to a region that the sender watches the configuration source, and the sender's applied configuration. */
    @Serializable
    @SerialName("src")
    public data class SourceReport(
        @SerialName("c") public val config: ConfigId?,
    ) : PeerMessage

    /** Carries changed member records over the broadcast tree. */
    @Serializable
    @SerialName("mem")
    public data class MemberUpdate(
        @SerialName("n") public val number: Long,
        @SerialName("m") public val records: List<MemberStatusRecord>,
        @SerialName("s") public val scope: TreeScope,
        /** Part of the zone's ring that [TreeScope.ZONE] covers, or `null` for the whole zone. */
        @SerialName("r") public val range: RingRange? = null,
        /** True if the message is the reply to a [MemberSummary] or [MemberPull] and not part of a broadcast. */
        @SerialName("a") public val isReply: Boolean = false,
    ) : PeerMessage

    /** Acknowledges the [MemberUpdate] or [QuarantineUpdate] with the same [number]. */
    @Serializable
    @SerialName("mem-ack")
    public data class MemberAck(
        @SerialName("n") public val number: Long,
    ) : PeerMessage

    /** Lists the versions of all records of the sender, so that the receiver finds the differences. */
    @Serializable
    @SerialName("mem-sum")
    public data class MemberSummary(
        @SerialName("e") public val entries: List<MemberSummaryEntry>,
    ) : PeerMessage

    /** Requests the records of [nodes]; the reply is a [MemberUpdate] with scope [TreeScope.SELF]. */
    @Serializable
    @SerialName("mem-pull")
    public data class MemberPull(
        @SerialName("n") public val nodes: List<NodeId>,
    ) : PeerMessage

    /** Reports requests, by fingerprint, that crashed upstreams, and quarantined ones that were completed. */
    @Serializable
    @SerialName("quar")
    public data class QuarantineUpdate(
        @SerialName("n") public val number: Long,
        @SerialName("d") public val deaths: List<FingerprintDeath>,
        @SerialName("s") public val scope: TreeScope,
        /** Part of the zone's ring that [TreeScope.ZONE] covers, or `null` for the whole zone. */
        @SerialName("r") public val range: RingRange? = null,
        @SerialName("c") public val completions: List<FingerprintCompletion> = emptyList(),
    ) : PeerMessage
}

/** A full document, or a delta against one that the receiver has applied. */
@Serializable
public sealed interface ConfigBody {
    @Serializable
    @SerialName("full")
    public data class Full(public val document: ConfigDocument) : ConfigBody

    @Serializable
    @SerialName("delta")
    public data class Delta(public val delta: DocumentDelta) : ConfigBody
}

/** Scope of the broadcast tree that the receiver of a message forwards it to. */
@Serializable
public enum class TreeScope {
    /** The receiver does not forward. */
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

/** Liveness of a member as determined by the nodes that monitor it. */
@Serializable
public enum class MemberStatus {
    @SerialName("a")
    ALIVE,

    @SerialName("s")
    SUSPECT,

    @SerialName("d")
    DEAD,
}

/** A member record and its status. At the same record version the worse status wins. */
@Serializable
public data class MemberStatusRecord(
    @SerialName("r") public val record: MemberRecord,
    @SerialName("s") public val status: MemberStatus,
)

/** Version and status of one entry of the sender's member table, without the record itself. */
@Serializable
public data class MemberSummaryEntry(
    @SerialName("n") public val node: NodeId,
    @SerialName("i") public val incarnation: Incarnation,
    @SerialName("q") public val sequence: Long,
    @SerialName("s") public val status: MemberStatus,
)

/** One crash of an upstream while it ran a request; counted once for each (fingerprint, node, number). */
@Serializable
public data class FingerprintDeath(
    public val fingerprint: Fingerprint,
    public val node: NodeId,
    public val number: Long,
    /** Time between the crash and the sending of the message, in milliseconds. */
    public val ageMillis: Long,
    /** The upstream that crashed, or `null` if the sender does not name it. */
    public val instance: InstanceId? = null,
    /** True if the request ran as a trial of its quarantine. */
    public val isTrial: Boolean = false,
)

/** A completion of a quarantined request by an upstream beside [node]. */
@Serializable
public data class FingerprintCompletion(
    public val fingerprint: Fingerprint,
    public val node: NodeId,
    /** The upstream that completed the request, or `null` if the sender only passes on that one did. */
    public val instance: InstanceId?,
    /** Time between the completion and the sending of the message, in milliseconds. */
    public val ageMillis: Long,
)

/** Returns the version of this configuration, or [ConfigVersion.NONE] if there is none. */
internal fun ConfigId?.versionOrNone(): ConfigVersion = this?.version ?: ConfigVersion.NONE
