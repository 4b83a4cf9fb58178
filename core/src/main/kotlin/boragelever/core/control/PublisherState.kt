package boragelever.core.control

import boragelever.core.Digest
import boragelever.core.FileName
import boragelever.core.config.ConfigDocument
import boragelever.core.sha256
import boragelever.core.store.ObjectKey
import boragelever.core.store.Row
import boragelever.core.store.RowValue
import boragelever.core.store.WriteId

/** State of the publisher. Only the lease holder leaves [PublisherPhase.Inactive]. */
public data class PublisherState(
    public val phase: PublisherPhase = PublisherPhase.Inactive,
    /** Head row as last read or written by this lease holder. */
    public val head: Row? = null,
    /** Value of the status row as last read or written by this lease holder. */
    public val status: RowValue.Status? = null,
    /** Files as last read, so that only changed files are read again. */
    public val files: Map<FileName, FolderFile> = emptyMap(),
    /** The last merge of the folder, or `null`. */
    public val lastMerge: FolderMerge? = null,
    /** End of the batch window for edits, or `null` if none is open. */
    public val batchUntilMillis: Long? = null,
    /** Number of consecutive failures; each lengthens the wait before the next scan. */
    public val failures: Int = 0,
    /** Why the last read of the folder failed, or `null` if it succeeded. */
    public val readError: String? = null,
)

/** Why the folder, as last scanned by this node, is not published; empty if it is, or if another node publishes. */
public val PublisherState.folderErrors: List<String>
    get() = when (val outcome = lastMerge?.outcome) {
        is MergeOutcome.Rejected -> listOfNotNull(readError) + outcome.errors
        is MergeOutcome.Merged, null -> listOfNotNull(readError)
    }

/** The outcome of merging and validating the folder with the files [entries]. */
public data class FolderMerge(public val entries: List<FolderEntry>, public val outcome: MergeOutcome) {
    /** Digest of the names and entity tags of the files. */
    public val digest: Digest get() = sha256(entries.flatMap { listOf(it.name.value, it.entityTag.value) })
}

/** What the publisher waits for. */
public sealed interface PublisherPhase {
    /** This node does not hold the lease. */
    public data object Inactive : PublisherPhase

    /** Waits for the next scan at [nextScanMillis], which first reads the shared rows if [reload] is set. */
    public data class Waiting(public val nextScanMillis: Long, public val reload: Boolean = false) : PublisherPhase

    /** Head, status and lease rows are being read. */
    public data class ReadingRows(public val request: RequestId) : PublisherPhase

    /** The folder is being listed at the start of a scan. */
    public data class Listing(public val request: RequestId) : PublisherPhase

    /** The changed files of [entries] are being read. */
    public data class ReadingFiles(
        public val request: RequestId,
        public val entries: List<FolderEntry>,
    ) : PublisherPhase

    /** The folder is being listed again to check that it still equals [entries] after the files were read. */
    public data class ListingAgain(
        public val request: RequestId,
        public val entries: List<FolderEntry>,
    ) : PublisherPhase

    /** The files of [entries] are being merged and validated. */
    public data class Merging(
        public val request: RequestId,
        public val entries: List<FolderEntry>,
    ) : PublisherPhase

    /** The document object is being written. */
    public data class WritingDocument(public val request: RequestId, public val plan: PublishPlan) : PublisherPhase

    /** The transaction is ready, but another write of the lease row is in flight. */
    public data class AwaitingLeaseWrite(public val plan: PublishPlan) : PublisherPhase

    /** The transaction is in flight. */
    public data class Committing(
        public val request: RequestId,
        public val plan: PublishPlan,
        public val writeId: WriteId,
        public val sentMillis: Long,
    ) : PublisherPhase

    /** The outcome of the transaction is unknown; the rows are read back, by [request] or at [nextReadMillis]. */
    public data class Confirming(
        public val committing: Committing,
        public val nextReadMillis: Long,
        public val request: RequestId? = null,
    ) : PublisherPhase

    /** The documents are being listed to find old ones. */
    public data class ListingDocuments(public val request: RequestId) : PublisherPhase

    /** Old documents are being deleted one by one; [remaining] follow. */
    public data class DeletingDocuments(
        public val request: RequestId,
        public val remaining: List<ObjectKey>,
    ) : PublisherPhase
}

/** Rows that the publisher is about to write. */
public data class PublishPlan(
    /** New head with its document, or `null` if only the status changes. */
    public val head: PlannedHead?,
    /** New status row, or `null` if it does not change. */
    public val status: RowValue.Status?,
)

/** A head to be written and the document that it names. */
public data class PlannedHead(public val value: RowValue.Head, public val document: ConfigDocument)
