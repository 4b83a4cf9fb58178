package boragelever.core.control

import boragelever.core.Epoch
import boragelever.core.store.Revision
import boragelever.core.store.Row
import boragelever.core.store.RowValue
import boragelever.core.store.WriteId

/** State of the publisher lease as this node knows it. Times are monotonic times of this node. */
public sealed interface LeaseState {
    /** Another node may hold the lease; the row is read at [nextReadMillis], which the next tick draws if `null`. */
    public data class Observing(
        public val nextReadMillis: Long? = null,
        public val observed: ObservedLease? = null,
        /** True if [nextReadMillis] was drawn for a lease candidate, which reads the row more often than others. */
        public val isCandidate: Boolean = true,
    ) : LeaseState

    /** The lease row is being read. */
    public data class Reading(public val request: RequestId, public val observed: ObservedLease?) : LeaseState

    /** The transaction that acquires the lease is in flight. */
    public data class Acquiring(public val request: RequestId, public val attempt: LeaseAttempt) : LeaseState

    /** The outcome of the acquisition is unknown; the row is read back, by [request] or at [nextReadMillis]. */
    public data class ConfirmingAcquisition(
        public val attempt: LeaseAttempt,
        public val nextReadMillis: Long,
        public val request: RequestId? = null,
    ) : LeaseState

    /** This node holds the lease until [expiresMillis] unless a renewal is confirmed before. */
    public data class Held(
        public val epoch: Epoch,
        public val revision: Revision,
        public val expiresMillis: Long,
        public val nextRenewalMillis: Long,
        public val pendingWrite: PendingLeaseWrite = PendingLeaseWrite.None,
    ) : LeaseState
}

/** A lease row as last read, and when this node first read its revision. */
public data class ObservedLease(
    public val revision: Revision,
    public val epoch: Epoch,
    public val durationMillis: Long,
    public val firstSeenMillis: Long,
) {
    /** True if the holder has not renewed the lease for its duration, on this node's clock. */
    public fun isExpired(nowMillis: Long): Boolean = nowMillis - firstSeenMillis >= durationMillis
}

/** An attempt to acquire the lease. */
public data class LeaseAttempt(
    public val writeId: WriteId,
    public val epoch: Epoch,
    public val sentMillis: Long,
    public val observed: ObservedLease?,
)

/**
 * The write of the lease row that is in flight.
 *
 * There is at most one: each write is conditional on the revision of the row, so two would conflict with each other.
 */
public sealed interface PendingLeaseWrite {
    public data object None : PendingLeaseWrite

    /** A renewal is in flight. */
    public data class Renewing(
        public val request: RequestId,
        public val writeId: WriteId,
        public val sentMillis: Long,
    ) : PendingLeaseWrite

    /** The outcome of a renewal is unknown; the row is read back, by [request] or at [nextReadMillis]. */
    public data class Confirming(
        public val writeId: WriteId,
        public val sentMillis: Long,
        public val nextReadMillis: Long,
        public val request: RequestId? = null,
    ) : PendingLeaseWrite

    /** A transaction of the publisher renews the lease together with its own row writes. */
    public data class Publishing(public val writeId: WriteId) : PendingLeaseWrite

    /** The lease is being released. */
    public data class Releasing(public val request: RequestId) : PendingLeaseWrite
}

/** Duration of the publisher lease. */
internal const val LEASE_DURATION_MILLIS: Long = 6_000

/** Interval between two renewals; two consecutive renewals may fail before the lease expires. */
internal const val LEASE_RENEWAL_INTERVAL_MILLIS: Long = 2_000

/** Returns the lease in [row], or `null` without one; an unchanged revision keeps the first-seen time of [previous]. */
internal fun observedLease(row: Row?, previous: ObservedLease?, nowMillis: Long): ObservedLease? {
    val lease = row?.value as? RowValue.Lease ?: return null
    val firstSeenMillis = if (previous?.revision == row.revision) previous.firstSeenMillis else nowMillis
    return ObservedLease(row.revision, lease.epoch, lease.durationMillis, firstSeenMillis)
}

/** True if [row] is the lease of this node with [epoch]; an epoch is assigned once, so no other process has it. */
internal fun ControlState.isOwnLease(row: Row?, epoch: Epoch): Boolean {
    val lease = row?.value as? RowValue.Lease ?: return false
    return lease.holder == identity.node && lease.epoch == epoch
}

/** The held lease after a write of the row that was sent at [sentMillis] and is known to be committed. */
internal fun LeaseState.Held.renewed(revision: Revision, sentMillis: Long): LeaseState.Held =
    copy(
        revision = revision,
        expiresMillis = maxOf(expiresMillis, sentMillis + LEASE_DURATION_MILLIS),
        nextRenewalMillis = sentMillis + LEASE_RENEWAL_INTERVAL_MILLIS,
        pendingWrite = PendingLeaseWrite.None,
    )

/** The held lease as an observing node would see it. */
internal fun LeaseState.Held.asObserved(): ObservedLease =
    ObservedLease(revision, epoch, LEASE_DURATION_MILLIS, expiresMillis - LEASE_DURATION_MILLIS)
