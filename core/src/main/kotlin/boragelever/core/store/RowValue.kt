package boragelever.core.store

import boragelever.core.ConfigVersion
import boragelever.core.Digest
import boragelever.core.Epoch
import boragelever.core.Incarnation
import boragelever.core.NetworkAddress
import boragelever.core.NodeId
import boragelever.core.RecordedDeath
import boragelever.core.RegionName
import boragelever.core.Withdrawal
import boragelever.core.ZoneName
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Typed content of a row. */
@Serializable
public sealed interface RowValue {
    /** Row `config/head`: names the accepted configuration. */
    @Serializable
    @SerialName("head")
    public data class Head(
        public val version: ConfigVersion,
        public val epoch: Epoch,
        public val digest: Digest,
        public val document: ObjectKey,
        public val publishedBy: NodeId,
    ) : RowValue

    /**
     * Row `config/lease`: the publisher lease.
     *
     * The row holds a duration instead of an expiry time, so that clocks of different hosts are never compared:
     * a candidate waits until it has seen no new revision for [durationMillis] on its own clock.
     */
    @Serializable
    @SerialName("lease")
    public data class Lease(
        public val holder: NodeId,
        public val epoch: Epoch,
        public val durationMillis: Long,
        /** Number of the last request of the holder before the write; 0 when the lease is acquired. */
        public val renewals: Long = 0,
    ) : RowValue

    /** Row `config/status`: errors of the last configuration folder; empty if it was accepted. */
    @Serializable
    @SerialName("status")
    public data class Status(
        public val folderDigest: Digest,
        public val errors: List<String>,
        public val version: ConfigVersion,
        public val reportedBy: NodeId,
    ) : RowValue

    /** Row `member/<node>`: address at which other nodes first contact a node. */
    @Serializable
    @SerialName("member")
    public data class Member(
        public val node: NodeId,
        public val incarnation: Incarnation,
        public val region: RegionName,
        public val zone: ZoneName,
        public val peerAddress: NetworkAddress,
        public val renewedAtEpochMillis: Long,
        /** Upstreams that announced to the node that they leave. */
        public val withdrawals: List<Withdrawal> = emptyList(),
        /** Crashes of the node's upstreams that quarantine a request. */
        public val deaths: List<RecordedDeath> = emptyList(),
    ) : RowValue

    /** Row `claim/<key>`: reserves the only execution of a non-idempotent call. */
    @Serializable
    @SerialName("claim")
    public data class Claim(
        public val requestDigest: Digest,
        public val claimedBy: NodeId,
        public val claimedAtEpochMillis: Long,
        public val answer: RecordedResponse? = null,
    ) : RowValue
}

/** Recorded response of a claimed call; [body] is the key of its body, or `null` if it was too large to store. */
@Serializable
public data class RecordedResponse(
    public val statusCode: Int,
    public val contentType: String? = null,
    public val body: ObjectKey? = null,
    public val bodySizeBytes: Long = 0,
)
