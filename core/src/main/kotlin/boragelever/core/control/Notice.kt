package boragelever.core.control

import boragelever.core.Epoch
import boragelever.core.Fingerprint
import boragelever.core.InstanceId
import boragelever.core.NodeId
import boragelever.core.config.ConfigId
import boragelever.core.store.StoreFailure

/** An occurrence that is logged and counted for operators. */
public sealed interface Notice {
    /** This node routes by the configuration [id] from now on. */
    public data class ConfigApplied(public val id: ConfigId) : Notice

    /** The document of [id] does not match its digest or cannot be compiled by this program version. */
    public data class ConfigRefused(public val id: ConfigId, public val errors: List<String>) : Notice

    /** This node, as the lease holder with [epoch], published the configuration [id]. */
    public data class ConfigPublished(public val id: ConfigId, public val epoch: Epoch) : Notice

    /** The operators' folder is invalid; the published configuration stays. */
    public data class FolderRejected(public val errors: List<String>) : Notice

    /** The operators' folder could not be read; [message] states the cause and the remedy. */
    public data class FolderUnreadable(public val message: String) : Notice

    /** A publish with [epoch] was not committed because another node holds the lease. */
    public data class PublishSuperseded(public val epoch: Epoch) : Notice

    /** This node acquired the publisher lease with [epoch]. */
    public data class LeaseAcquired(public val epoch: Epoch) : Notice

    /** The publisher lease of this node with [epoch] expired, or another node acquired it. */
    public data class LeaseLost(public val epoch: Epoch) : Notice

    /** A draining lease holder released the lease, so that another node acquires it without waiting for its expiry. */
    public data class LeaseReleased(public val epoch: Epoch) : Notice

    /** Several consecutive store commands failed. */
    public data class StoreUnreachable(public val failure: StoreFailure) : Notice

    /** The store responds to commands again after an outage. */
    public data object StoreReachable : Notice

    /** A command or the data that the store returned is malformed; retrying does not help. */
    public data class StoreRefused(public val failure: StoreFailure.Invalid) : Notice

    /** The status of a member changed in the member table of this node. */
    public data class MemberChanged(public val node: NodeId, public val status: MemberStatus) : Notice

    /** Requests with [fingerprint] are refused after [deaths], since no completion of them is known. */
    public data class Quarantined(
        public val fingerprint: Fingerprint,
        public val deaths: List<Death>,
        /** False if the requests were refused before and the last death prolongs that. */
        public val isNew: Boolean,
    ) : Notice

    /** The quarantine of [fingerprint] ended, since it was completed on [instance], beside [node], despite [deaths]. */
    public data class QuarantineEnded(
        public val fingerprint: Fingerprint,
        public val deaths: List<Death>,
        public val node: NodeId,
        /** The upstream that completed the request, or `null` if the report does not name it. */
        public val instance: InstanceId?,
    ) : Notice

    /** The requests [fingerprints] were running when [instance] crashed, but have completed recently. */
    public data class CrashUnrelated(
        public val instance: InstanceId,
        public val fingerprints: List<Fingerprint>,
    ) : Notice

    /** The process runs again after a pause of [pausedMillis]. */
    public data class ProcessResumed(public val pausedMillis: Long) : Notice

    /** The process was asked to stop. */
    public data object Draining : Notice

    /** The reloadable settings changed to [settings]. */
    public data class SettingsChanged(public val settings: ReloadableSettings) : Notice

    /** A local upstream registered, changed its state or is no longer registered. */
    public data class UpstreamChanged(public val instance: InstanceId, public val change: UpstreamChange) : Notice
}

/** What happened to a local upstream. */
public enum class UpstreamChange {
    SERVING,
    STARTING,
    DRAINING,

    /** It deregistered. */
    WITHDRAWN,

    /** Its registration was not renewed in time. */
    EXPIRED,

    /** It crashed: it closed or refused connections while it ran calls. */
    DIED,
}
