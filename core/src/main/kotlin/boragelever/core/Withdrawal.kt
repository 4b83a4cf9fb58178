package boragelever.core

import kotlinx.serialization.Serializable

/**
 * Acknowledged announcement of an upstream that it is leaving.
 *
 * Registrations of [instance] from the same start with a sequence up to [sequence], and all from earlier starts, were
 * sent before the announcement and no longer hold.
 *
 * @property startedEpochMillis start of the instance on its own clock.
 * @property sequence sequence number of the announcement; [Long.MAX_VALUE] once the instance has deregistered.
 */
@Serializable
public data class Withdrawal(
    public val instance: InstanceId,
    public val startedEpochMillis: Long,
    public val sequence: Long,
)
