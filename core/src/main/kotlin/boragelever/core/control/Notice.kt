package boragelever.core.control

import boragelever.core.Epoch
import boragelever.core.Fingerprint
import boragelever.core.InstanceId
import boragelever.core.NodeId
import boragelever.core.config.ConfigId
import boragelever.core.store.StoreFailure

/** Something that operators may want to see in logs and metrics. */
public sealed interface Notice {
    public data class ConfigApplied(public val id: ConfigId) : Notice

    public data class ConfigRefused(public val id: ConfigId, public val errors: List<String>) : Notice

    public data class ConfigPublished(public val id: ConfigId, public val epoch: Epoch) : Notice

    public data class FolderRejected(public val errors: List<String>) : Notice

    public data class FolderUnreadable(public val message: String) : Notice

    public data class PublishSuperseded(public val epoch: Epoch) : Notice

    public data class LeaseAcquired(public val epoch: Epoch) : Notice

    public data class LeaseLost(public val epoch: Epoch) : Notice

    /** A stopping holder gave the lease back, so that another node takes it without waiting for its expiry. */
    public data class LeaseReleased(public val epoch: Epoch) : Notice

    public data class StoreUnreachable(public val failure: StoreFailure) : Notice

    public data object StoreReachable : Notice

    public data class StoreRefused(public val failure: StoreFailure.Invalid) : Notice

    public data class MemberChanged(public val node: NodeId, public val status: MemberStatus) : Notice

    public data class Quarantined(public val fingerprint: Fingerprint, public val deaths: Int) : Notice

    public data class ProcessResumed(public val pausedMillis: Long) : Notice

    public data object Draining : Notice

    public data class SettingsChanged(public val settings: ReloadableSettings) : Notice

    /** An upstream beside this node began, changed or ended its service. */
    public data class UpstreamChanged(public val instance: InstanceId, public val change: UpstreamChange) : Notice
}

/** What happened to an upstream beside a node. */
public enum class UpstreamChange {
    SERVING,
    STARTING,
    DRAINING,

    /** It took its announcement back. */
    WITHDRAWN,

    /** Its announcement was not renewed. */
    EXPIRED,

    /** It accepts no connections. */
    DIED,
}
