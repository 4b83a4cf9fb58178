package boragelever.node.admin

import kotlinx.serialization.Serializable

/** Answer of `GET /status`. */
@Serializable
public data class NodeStatus(
    public val node: String,
    public val region: String,
    public val zone: String,
    public val program: String,
    public val lifecycle: String,
    public val ready: Boolean,
    /** What is missing for readiness, or `null`. */
    public val notReady: String?,
    public val config: ConfigStatus?,
    public val publisher: PublisherStatus,
    public val store: StoreStatus,
    public val members: MembersStatus,
    public val upstreams: List<UpstreamStatus>,
    /** Fingerprints of refused requests with the time left. */
    public val quarantine: List<QuarantineStatus>,
    public val addresses: AddressStatus,
)

/** Configuration in force. */
@Serializable
public data class ConfigStatus(
    public val version: Long,
    public val digest: String,
    public val entries: Int,
    /** Time since it was applied on this node. */
    public val ageMs: Long?,
)

/** Publisher lease as this node sees it, and the last folder that this node rejected. */
@Serializable
public data class PublisherStatus(
    public val holdsLease: Boolean,
    /** Highest epoch of the lease that this node has seen, or `null` if it has not read the lease yet. */
    public val epoch: Long?,
    /** Errors of the last rejected folder; empty if the last folder was accepted. */
    public val folderErrors: List<String>,
)

/** View of the store. */
@Serializable
public data class StoreStatus(
    public val reachable: Boolean,
    /** Time since the store last answered this node, or `null` if it never did. */
    public val answerAgeMs: Long?,
    /** Last failure while the store is unreachable, with the remedy, or `null`. */
    public val failure: String?,
    public val reads: Long,
    public val writes: Long,
    public val failures: Long,
)

/** Members by status. */
@Serializable
public data class MembersStatus(
    public val alive: Int,
    public val suspect: Int,
    public val dead: Int,
    public val list: List<MemberStatusLine>,
)

/** One member as this node sees it. */
@Serializable
public data class MemberStatusLine(
    public val node: String,
    public val region: String,
    public val zone: String,
    public val status: String,
    public val upstreams: Int,
)

/** One upstream beside this node. */
@Serializable
public data class UpstreamStatus(
    public val service: String,
    public val instance: String,
    public val address: String,
    public val slots: Int,
    public val connections: Int,
    public val state: String,
)

/** One refused request. */
@Serializable
public data class QuarantineStatus(public val fingerprint: String, public val remainingMs: Long)

/** Where the node listens. */
@Serializable
public data class AddressStatus(
    public val proxy: String,
    public val hop: String,
    public val peer: String,
    public val admin: String,
)
