package boragelever.node

import boragelever.core.config.ConfigId
import boragelever.core.control.Notice
import java.util.concurrent.atomic.AtomicReference
import java.util.concurrent.atomic.LongAdder

/** A configuration and the monotonic time at which this node applied or published it. */
public data class ConfigTimestamp(public val id: ConfigId, public val atMillis: Long)

/** Counters derived from the notices of the control state, for status and metrics. */
internal class NoticeCounters(private val clock: Clock) {
    val applied = LongAdder()
    val refused = LongAdder()
    val rejectedFolders = LongAdder()
    val published = LongAdder()

    /** Requests that this node has started to refuse because of crashes. */
    val quarantined = LongAdder()

    /** Quarantines that a completion of the request has ended. */
    val quarantinesEnded = LongAdder()

    /** Requests that were running at a crash of a local upstream but had completed before. */
    val crashesUnrelated = LongAdder()

    /** Last configuration that this node published, or `null` if it has published none. */
    val lastPublished = AtomicReference<ConfigTimestamp?>(null)

    /** Last configuration that this node applied, or `null` if it has applied none. */
    val lastApplied = AtomicReference<ConfigTimestamp?>(null)

    fun record(notice: Notice) {
        when (notice) {
            is Notice.ConfigApplied -> {
                applied.increment()
                lastApplied.set(ConfigTimestamp(notice.id, clock.nowMillis()))
            }
            is Notice.ConfigRefused -> refused.increment()
            is Notice.ConfigPublished -> {
                published.increment()
                lastPublished.set(ConfigTimestamp(notice.id, clock.nowMillis()))
            }
            is Notice.FolderRejected -> rejectedFolders.increment()
            is Notice.Quarantined -> if (notice.isNew) quarantined.increment()
            is Notice.QuarantineEnded -> quarantinesEnded.increment()
            is Notice.CrashUnrelated -> crashesUnrelated.add(notice.fingerprints.size.toLong())
            is Notice.FolderUnreadable, is Notice.PublishSuperseded, is Notice.LeaseAcquired, is Notice.LeaseLost,
            is Notice.LeaseReleased, is Notice.StoreUnreachable,
            is Notice.StoreReachable, is Notice.StoreRefused, is Notice.MemberChanged,
            is Notice.ProcessResumed, is Notice.Draining,
            is Notice.SettingsChanged, is Notice.UpstreamChanged,
            -> Unit
        }
    }
}
