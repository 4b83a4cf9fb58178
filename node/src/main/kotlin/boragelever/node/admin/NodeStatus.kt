package boragelever.node.admin

import kotlinx.serialization.Serializable

/** Response body of `GET /status`. */
@Serializable
public data class NodeStatus(
    public val node: String,
    public val region: String,
    public val zone: String,
    /** Version of the program. */
    public val program: String,
    /** One of `starting`, `running` and `draining`. */
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
    /** Number of entries of the document. */
    public val entries: Int,
    /** Time since this node applied it, in milliseconds, or `null` if unknown. */
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
    /** Time since the last response of the store to this node, in milliseconds, or `null` if there was none. */
    public val answerAgeMs: Long?,
    /** Cause and remedy while the store is unreachable, otherwise `null`. */
    public val failure: String?,
    /** Read commands sent since the start. */
    public val reads: Long,
    /** Write commands sent since the start. */
    public val writes: Long,
    /** Commands since the start that failed or whose response was lost. */
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
    /** One of `alive`, `suspect`, `dead` and `leaving`. */
    public val status: String,
    /** Number of upstreams registered at the member. */
    public val upstreams: Int,
)

/** One upstream registered at this node. */
@Serializable
public data class UpstreamStatus(
    public val service: String,
    public val instance: String,
    public val address: String,
    /** Number of requests that the instance runs concurrently. */
    public val slots: Int,
    /** Number of connections that the instance accepts. */
    public val connections: Int,
    /** One of `starting`, `serving` and `draining`. */
    public val state: String,
)

/** A quarantined fingerprint, whose requests are refused for [remainingMs] more milliseconds. */
@Serializable
public data class QuarantineStatus(
    public val fingerprint: String,
    public val remainingMs: Long,
    /** Upstream crashes at which the request was running. */
    public val crashes: Int,
    /** Time until one call is admitted as a trial, or `null` if no further trial is allowed. */
    public val trialInMs: Long? = null,
)

/** Addresses on which the node listens. */
@Serializable
public data class AddressStatus(
    /** For calls from callers. */
    public val proxy: String,
    /** For calls from other nodes. */
    public val hop: String,
    /** For control messages from other nodes. */
    public val peer: String,
    /** For operators and upstreams. */
    public val admin: String,
)
