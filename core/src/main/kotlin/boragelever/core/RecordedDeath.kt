package boragelever.core

import kotlinx.serialization.Serializable

/**
 * Crash of an upstream while it ran a request that is quarantined, as recorded in the store by the upstream's node.
 *
 * @property number number of the crash at that node.
 * @property instance the upstream, or `null` if it is not known.
 * @property isTrial true if the request ran as a trial of its quarantine.
 */
@Serializable
public data class RecordedDeath(
    public val fingerprint: Fingerprint,
    public val number: Long,
    public val atEpochMillis: Long,
    public val instance: InstanceId? = null,
    public val isTrial: Boolean = false,
)
