package boragelever.core.routing

import boragelever.core.Fingerprint
import boragelever.core.InstanceId
import boragelever.core.ServiceName
import boragelever.core.sha256

/** Refusal of a request that was running at several crashes of upstreams and has not completed on any. */
public data class Quarantine(
    /** Monotonic time in milliseconds at which the quarantine ends. */
    public val endMillis: Long,
    /** The next trial, or `null` if no further one is allowed. */
    public val trial: QuarantineTrial? = null,
)

/** A trial of a quarantined request: one run on one instance, which shows whether the request crashes it. */
public data class QuarantineTrial(
    /** Number of the trial, starting with 1. */
    public val number: Int,
    /** Monotonic time in milliseconds from which the trial may start. */
    public val startMillis: Long,
)

/** Identifies a trial on the nodes of the mesh. */
public data class TrialId(public val fingerprint: Fingerprint, public val number: Int)

/** What the quarantine decides about a call. */
public sealed interface QuarantineDecision {
    /** The request is not quarantined. */
    public data object Admit : QuarantineDecision

    /** The request is refused. */
    public data object Refuse : QuarantineDecision

    /** The request is refused except for one call, the trial, on [instance]. */
    public data class Try(public val id: TrialId, public val instance: InstanceId) : QuarantineDecision
}

/**
 * Decides whether a call with [fingerprint] to [service] may run at [nowMillis].
 *
 * First and last hop both decide. Nodes with the same members choose the same instance for a trial, so that its node
 * can admit a single call without coordination.
 */
public fun RoutingSnapshot.quarantineDecision(
    fingerprint: Fingerprint,
    service: ServiceName,
    nowMillis: Long,
): QuarantineDecision {
    val quarantine = quarantined[fingerprint]?.takeIf { nowMillis < it.endMillis } ?: return QuarantineDecision.Admit
    val id = quarantine.trial?.takeIf { it.startMillis <= nowMillis }?.let { TrialId(fingerprint, it.number) }
    val instance = id?.let { trialInstance(it, service) }
    return if (instance == null) QuarantineDecision.Refuse else QuarantineDecision.Try(id, instance)
}

/** Chooses the instance by rendezvous hashing; suspect nodes are a last resort, as for other calls. */
private fun RoutingSnapshot.trialInstance(id: TrialId, service: ServiceName): InstanceId? {
    val endpoints = services[service]?.endpoints.orEmpty()
    return endpoints.filter { it.trusted }.ifEmpty { endpoints }
        .maxByOrNull { sha256(listOf(id.fingerprint.value, id.number.toString(), it.instance.value)).value }
        ?.instance
}
