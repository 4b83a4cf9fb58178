package boragelever.node

import boragelever.core.config.ConfigId
import boragelever.core.control.Notice
import java.util.concurrent.atomic.AtomicReference
import java.util.concurrent.atomic.LongAdder

/** A configuration and the monotonic time in milliseconds at which this node applied or published it. */
public data class ConfigMoment(public val id: ConfigId, public val atMillis: Long)

/** What the notices of the control state add up to; read by status and metrics. */
internal class NoticeCounts(private val clock: Clock) {
    val applied = LongAdder()
    val refused = LongAdder()
    val rejectedFolders = LongAdder()
    val published = LongAdder()

    /** The last configuration that this node published, or `null`. */
    val lastPublished = AtomicReference<ConfigMoment?>(null)

    /** The last applied configuration, or `null` before the first. */
    val lastApplied = AtomicReference<ConfigMoment?>(null)

    fun count(notice: Notice) {
        when (notice) {
            is Notice.ConfigApplied -> {
                applied.increment()
                lastApplied.set(ConfigMoment(notice.id, clock.nowMillis()))
            }
            is Notice.ConfigRefused -> refused.increment()
            is Notice.ConfigPublished -> {
                published.increment()
                lastPublished.set(ConfigMoment(notice.id, clock.nowMillis()))
            }
            is Notice.FolderRejected -> rejectedFolders.increment()
            is Notice.FolderUnreadable, is Notice.PublishSuperseded, is Notice.LeaseAcquired, is Notice.LeaseLost,
            is Notice.LeaseReleased, is Notice.StoreUnreachable,
            is Notice.StoreReachable, is Notice.StoreRefused, is Notice.MemberChanged, is Notice.Quarantined,
            is Notice.ProcessResumed, is Notice.Draining,
            is Notice.SettingsChanged, is Notice.UpstreamChanged,
            -> Unit
        }
    }
}
