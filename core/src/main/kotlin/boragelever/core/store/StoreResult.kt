package boragelever.core.store

import boragelever.core.ConfigVersion
import boragelever.core.config.ConfigDocument
import kotlinx.serialization.Serializable

/** Name, entity tag and size of a stored object. */
@Serializable
public data class ObjectEntry(
    public val key: ObjectKey,
    public val entityTag: EntityTag,
    public val sizeBytes: Long,
)

/** Result of a [StoreCommand]. */
public sealed interface StoreResult {
    /** Result of [StoreCommand.ReadRows] and [StoreCommand.ScanRows]. */
    public data class RowsRead(public val rows: List<Row>) : StoreResult

    /** The transaction committed; [rows] are the written rows with their new revisions. */
    public data class Committed(public val rows: List<Row>) : StoreResult

    /** A condition was not met and nothing was written; [rows] are the current rows of all conditions. */
    public data class Conflict(public val rows: List<Row>) : StoreResult

    /** Result of [StoreCommand.ListObjects]. */
    public data class ObjectsListed(public val entries: List<ObjectEntry>) : StoreResult

    /** Result of [StoreCommand.GetObject]. */
    public data class ObjectRead(public val bytes: ImmutableBytes, public val entityTag: EntityTag) : StoreResult

    /** Result of [StoreCommand.GetDocument]. */
    public data class DocumentRead(public val document: ConfigDocument) : StoreResult

    /** Result of [StoreCommand.PutObject] and [StoreCommand.PutDocument]. */
    public data class ObjectWritten(public val entityTag: EntityTag) : StoreResult

    /** Result of [StoreCommand.DeleteObject]. */
    public data object ObjectDeleted : StoreResult

    /**
     * Result of [StoreCommand.ReadConfigSource] and [StoreCommand.AwaitConfigSource].
     *
     * @property revision store revision up to which changes are included.
     * @property config the latest configuration, or `null` if there is none or it did not change.
     */
    public data class ConfigSourceRead(
        public val revision: Revision,
        public val config: ConfigSourceSnapshot?,
    ) : StoreResult

    /** The store no longer has the requested change history; the configuration source must be read in full. */
    public data object ConfigSourceHistoryLost : StoreResult

    /** The object does not exist. */
    public data object ObjectMissing : StoreResult

    /** The command failed; [failure] tells whether it may have taken effect. */
    public data class StoreFailed(public val failure: StoreFailure) : StoreResult
}

/** Why a store command failed. */
public sealed interface StoreFailure {
    /** Cause and remedy, for operators. */
    public val message: String

    /** The store was unreachable or refused the command, which did not take effect. */
    public data class Unavailable(override val message: String) : StoreFailure

    /** The response was lost or late, so the command may have taken effect. Read the data back before a retry. */
    public data class OutcomeUnknown(override val message: String) : StoreFailure

    /** The stored data or the command is malformed; a retry does not help. */
    public data class Invalid(override val message: String) : StoreFailure
}

/** A complete configuration that the platform's operator accepted. */
public data class ConfigSourceSnapshot(public val version: ConfigVersion, public val document: ConfigDocument)
