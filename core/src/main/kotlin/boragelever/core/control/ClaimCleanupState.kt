package boragelever.core.control

import boragelever.core.store.ObjectKey
import boragelever.core.store.Row
import boragelever.core.store.RowKey

/** Progress of the removal of claims that are no longer kept. */
public data class ClaimCleanupState(
    public val phase: ClaimCleanupPhase = ClaimCleanupPhase.Inactive,
    /** Key of the last claim row of the last page, or `null` if the next page begins a new walk over the table. */
    public val after: RowKey? = null,
)

/** What the removal of claims waits for. */
public sealed interface ClaimCleanupPhase {
    /** This node does not hold the publisher lease, or it is draining. */
    public data object Inactive : ClaimCleanupPhase

    /** The next page is read at [nextPageMillis], in monotonic time. */
    public data class Waiting(public val nextPageMillis: Long) : ClaimCleanupPhase

    /** A page of claim rows is being read. */
    public data class Scanning(public val request: RequestId) : ClaimCleanupPhase

    /** The recorded answer of an expired claim is being deleted; those of [answersLeft] and then [rows] follow. */
    public data class DeletingAnswer(
        public val request: RequestId,
        public val rows: List<Row>,
        public val answersLeft: List<ObjectKey>,
    ) : ClaimCleanupPhase

    /** The expired claims of a page, [rows], are being deleted. */
    public data class DeletingRows(public val request: RequestId, public val rows: List<Row>) : ClaimCleanupPhase
}
