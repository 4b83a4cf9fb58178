package boragelever.core.control

import boragelever.core.Fingerprint
import boragelever.core.InstanceId
import boragelever.core.NodeId
import boragelever.core.config.QuarantineConfig
import boragelever.core.routing.Quarantine
import boragelever.core.routing.QuarantineTrial
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * Quarantine of fingerprints whose requests repeatedly crashed the upstreams that ran them.
 *
 * A request that also completes on instances is not the cause of the crashes at which it was running. The node beside
 * an instance remembers which requests complete there; only deaths of requests without such a run, and the first
 * completion of a quarantined one, are sent to other nodes.
 */
public data class QuarantineState(
    /** Deaths of each fingerprint that no completion explains. */
    public val deaths: PersistentMap<Fingerprint, PersistentMap<DeathId, Death>> = persistentMapOf(),
    /** Last known completion, in this node's monotonic time, of fingerprints that were quarantined. */
    public val completions: PersistentMap<Fingerprint, Long> = persistentMapOf(),
    /** Quarantined fingerprints. */
    public val quarantined: PersistentMap<Fingerprint, Quarantine> = persistentMapOf(),
    /** Fingerprints that the applied configuration releases and when this node first saw each of them listed. */
    public val lifted: PersistentMap<Fingerprint, Long> = persistentMapOf(),
    /** Number of the last death that this node reported. */
    public val lastDeath: Long = 0,
    public val nextCleanupMillis: Long = 0,
    /** Time from which a peer with other quarantined requests is sent the evidence again. */
    public val nextEvidenceMillis: Long = 0,
) {
    /** Digest of the quarantined fingerprints, 0 if there are none; peers whose digests differ exchange evidence. */
    internal val digest: Long get() = quarantined.keys.sumOf { it.value.hashCode().toLong() }
}

/** Identifies a death, the crash of an upstream while it ran a request, so that repeated messages count it once. */
public data class DeathId(public val node: NodeId, public val number: Long)

/** A crash of an upstream while it ran a request. */
public data class Death(
    /** When it happened, in this node's monotonic time. */
    public val atMillis: Long,
    /** The upstream, or `null` if the reporting node did not name it. */
    public val instance: InstanceId? = null,
    /** True if the request ran as a trial of its quarantine. */
    public val isTrial: Boolean = false,
)

/**
 * Time for which a completion shows that a request does not cause crashes, in milliseconds.
 *
 * It is bounded, because a new version of the instances may crash on a request that the previous one completed.
 */
internal const val COMPLETION_VALID_MILLIS: Long = 600_000

/**
 * Waits before the trials of a quarantined request, from its last death, in milliseconds.
 *
 * The first leaves time for runs in progress to complete and for a crashed instance to return. There are only two
 * trials, so that a request that does crash instances reaches few more of them.
 */
private val TRIAL_DELAYS_MILLIS = listOf(5_000L, 60_000L)

/** Returns the quarantine of a request with [deaths], or `null` if they are too few. */
internal fun QuarantineConfig.quarantineOf(deaths: Collection<Death>): Quarantine? {
    if (deaths.size < this.deaths) return null
    val lastMillis = deaths.maxOf { it.atMillis }
    val trials = deaths.count { it.isTrial }
    val trial = TRIAL_DELAYS_MILLIS.getOrNull(trials)?.let { QuarantineTrial(trials + 1, lastMillis + it) }
    return Quarantine(lastMillis + durationMillis, trial)
}

/** Returns whether a request that completed at [completedMillis] did not cause this death. */
internal fun Death.isExplainedBy(completedMillis: Long): Boolean = atMillis - completedMillis <= COMPLETION_VALID_MILLIS
