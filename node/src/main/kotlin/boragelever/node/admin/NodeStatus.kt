package boragelever.node.admin

import kotlinx.serialization.Serializable

/** Response body of `GET /status`. */
@Serializable
public data class NodeStatus(
    public val node: String,
    public val region: String,
    public val zone: String,
    public val program: String,
    public val lifecycle: String,
    public val ready: Boolean,
    /** Why the node is not ready, or `null` if it is ready. */
    public val notReady: String?,
    public val config: ConfigStatus?,
    public val publisher: PublisherStatus,
    public val store: StoreStatus,
    public val members: MembersStatus,
    public val upstreams: List<UpstreamStatus>,
    /** Quarantined fingerprints. */
    public val quarantine: List<QuarantineStatus>,
    public val addresses: AddressStatus,
)

/** Status of the configuration in force. */
@Serializable
public data class ConfigStatus(
    public val version: Long,
    public val digest: String,
    public val entries: Int,
    /** Time since this node applied it, or `null` if unknown. */
    public val ageMs: Long?,
)

/** Publisher lease as known to this node, and the last folder that it rejected. */
@Serializable
public data class PublisherStatus(
    public val holdsLease: Boolean,
    /** Epoch of the lease as last read by this node, or `null` if it has not read the lease yet. */
    public val epoch: Long?,
    /** Errors of the last rejected folder; empty if the last folder was accepted. */
    public val folderErrors: List<String>,
)

/** Reachability of the store and statistics of the commands of this node. */
@Serializable
public data class StoreStatus(
    public val reachable: Boolean,
    /** Time since the last response of the store to this node, or `null` if there was none. */
    public val answerAgeMs: Long?,
    /** Cause and remedy while the store is unreachable, otherwise `null`. */
    public val failure: String?,
    public val reads: Long,
    public val writes: Long,
    public val failures: Long,
)

/** Members of the mesh as known to this node. */
@Serializable
public data class MembersStatus(
    public val alive: Int,
    public val suspect: Int,
    public val dead: Int,
    public val list: List<MemberStatusLine>,
)

/** One member of the mesh. */
@Serializable
public data class MemberStatusLine(
    public val node: String,
    public val region: String,
    public val zone: String,
    public val status: String,
    public val upstreams: Int,
)

/** One upstream registered at this node. */
@Serializable
public data class UpstreamStatus(
    public val service: String,
    public val instance: String,
    public val address: String,
    public val slots: Int,
    public val connections: Int,
    public val state: String,
)

/** A quarantined fingerprint, whose requests are refused for [remainingMs] more milliseconds. */
@Serializable
public data class QuarantineStatus(public val fingerprint: String, public val remainingMs: Long)

/** Addresses on which the node listens. */
@Serializable
public data class AddressStatus(
    public val proxy: String,
    public val hop: String,
    public val peer: String,
    public val admin: String,
)
