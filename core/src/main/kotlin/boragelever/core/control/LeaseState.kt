package boragelever.core.control

import boragelever.core.Epoch
import boragelever.core.store.Revision
import boragelever.core.store.Row
import boragelever.core.store.RowValue
import boragelever.core.store.WriteId

/** State of the publisher lease as this node knows it. Times are monotonic times of this node. */
public sealed interface LeaseState {
    /** Another node may hold the lease; the row is read at [nextReadMillis], or as soon as that is drawn. */
    public data class Observing(
        public val nextReadMillis: Long? = null,
        public val observed: ObservedLease? = null,
        /** True if the time was drawn for one of the few nodes that read the row often. */
        public val isCandidate: Boolean = true,
    ) : LeaseState

    /** The lease row is being read. */
    public data class Reading(public val request: RequestId, public val observed: ObservedLease?) : LeaseState

    /** The transaction that acquires the lease is on its way. */
    public data class Acquiring(public val request: RequestId, public val attempt: LeaseAttempt) : LeaseState

    /** The answer of the acquisition was lost; the row is read back, by [request] or at [nextReadMillis]. */
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
        public val writer: PendingLeaseWrite = PendingLeaseWrite.Idle,
    ) : LeaseState
}

/** A lease row and when this node first saw its revision. */
public data class ObservedLease(
    public val revision: Revision,
    public val epoch: Epoch,
    public val durationMillis: Long,
    public val firstSeenMillis: Long,
) {
    /** True if the holder has not renewed the lease for its duration, on this node's clock. */
    public fun isExpired(nowMillis: Long): Boolean = nowMillis - firstSeenMillis >= durationMillis
}

/** One try to acquire the lease. */
public data class LeaseAttempt(
    public val writeId: WriteId,
    public val epoch: Epoch,
    public val sentMillis: Long,
    public val observed: ObservedLease?,
)

/**
 * What writes the lease row at the moment.
 *
 * At most one write is on its way: each is conditional on the row's revision, so two would conflict with each other.
 */
public sealed interface PendingLeaseWrite {
    public data object Idle : PendingLeaseWrite

    /** A renewal is on its way. */
    public data class Renewing(
        public val request: RequestId,
        public val writeId: WriteId,
        public val sentMillis: Long,
    ) : PendingLeaseWrite

    /** The answer of a renewal was lost; the row is read back, by [request] or at [nextReadMillis]. */
    public data class Confirming(
        public val writeId: WriteId,
        public val sentMillis: Long,
        public val nextReadMillis: Long,
        public val request: RequestId? = null,
    ) : PendingLeaseWrite

    /** A transaction of the publisher renews the lease together with its own rows. */
    public data class Publishing(public val writeId: WriteId) : PendingLeaseWrite

    /** The lease is being given up. */
    public data class Releasing(public val request: RequestId) : PendingLeaseWrite
}

/** Duration of the publisher lease. */
internal const val LEASE_DURATION_MILLIS: Long = 6_000

/** Time between two renewals; two renewals in a row may fail before the lease expires. */
internal const val LEASE_RENEWAL_MILLIS: Long = 2_000

/** The lease row in [rows] as seen now, keeping the first sight of an unchanged revision. */
internal fun observedLease(row: Row?, before: ObservedLease?, nowMillis: Long): ObservedLease? {
    val lease = row?.value as? RowValue.Lease ?: return null
    val firstSeenMillis = if (before?.revision == row.revision) before.firstSeenMillis else nowMillis
    return ObservedLease(row.revision, lease.epoch, lease.durationMillis, firstSeenMillis)
}

/** True if [row] is the lease of this node with [epoch]; an epoch is given out once, so no other process has it. */
internal fun ControlState.isOwnLease(row: Row?, epoch: Epoch): Boolean {
    val lease = row?.value as? RowValue.Lease ?: return false
    return lease.holder == identity.node && lease.epoch == epoch
}

/** The held lease after a write of the row that was sent at [sentMillis] and is known to have taken effect. */
internal fun LeaseState.Held.renewed(revision: Revision, sentMillis: Long): LeaseState.Held =
    copy(
        revision = revision,
        expiresMillis = maxOf(expiresMillis, sentMillis + LEASE_DURATION_MILLIS),
        nextRenewalMillis = sentMillis + LEASE_RENEWAL_MILLIS,
        writer = PendingLeaseWrite.Idle,
    )

/** The held lease as seen by a node that no longer relies on it. */
internal fun LeaseState.Held.asSeen(): ObservedLease =
    ObservedLease(revision, epoch, LEASE_DURATION_MILLIS, expiresMillis - LEASE_DURATION_MILLIS)
