package boragelever.core.control

import boragelever.core.store.ObjectKey
import boragelever.core.store.Row
import boragelever.core.store.RowKey

/** Progress of the sweeps that delete expired claims. */
public data class ClaimCleanupState(
    public val phase: ClaimCleanupPhase = ClaimCleanupPhase.Inactive,
    /** Key of the last claim row of the last page, or `null` if the next page starts a new sweep. */
    public val cursor: RowKey? = null,
)

/** What the claim cleanup waits for. */
public sealed interface ClaimCleanupPhase {
    /** This node does not hold the publisher lease, or it is draining. */
    public data object Inactive : ClaimCleanupPhase

    /** The next page is read at [nextPageMillis], a monotonic time. */
    public data class Waiting(public val nextPageMillis: Long) : ClaimCleanupPhase

    /** A page of claim rows is being read. */
    public data class Scanning(public val request: RequestId) : ClaimCleanupPhase

    /** A recorded response of an expired claim is being deleted; [remainingResponses] and then [rows] follow. */
    public data class DeletingResponse(
        public val request: RequestId,
        public val rows: List<Row>,
        public val remainingResponses: List<ObjectKey>,
    ) : ClaimCleanupPhase

    /** [rows], the expired claims of a page, are being deleted. */
    public data class DeletingRows(public val request: RequestId, public val rows: List<Row>) : ClaimCleanupPhase
}
