package boragelever.core.store

import boragelever.core.config.ConfigDocument
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Key of a row in the platform's table service. */
@Serializable
@JvmInline
public value class RowKey(public val value: String) {
    override fun toString(): String = value
}

/** Key of an object in the platform's object store. */
@Serializable
@JvmInline
public value class ObjectKey(public val value: String) {
    override fun toString(): String = value
}

/** Entity tag of a stored object; changes whenever its content changes. */
@Serializable
@JvmInline
public value class EntityTag(public val value: String) {
    override fun toString(): String = value
}

/** Identifies one write, so that a writer that got no response can find out whether the write took effect. */
@Serializable
@JvmInline
public value class WriteId(public val value: String) {
    override fun toString(): String = value
}

/** Revision of a row; the table service increments it with each write of the row. */
@Serializable
@JvmInline
public value class Revision(public val value: Long) {
    override fun toString(): String = "r$value"
}

/** A row read from the table service. */
@Serializable
public data class Row(
    public val key: RowKey,
    public val value: RowValue,
    public val revision: Revision,
    public val writeId: WriteId,
)

/** A condition that must be met for a transaction to commit. */
@Serializable
public sealed interface RowCondition {
    /** Key of the row that is checked. */
    public val key: RowKey

    /** The row does not exist. */
    @Serializable
    @SerialName("absent")
    public data class Absent(override val key: RowKey) : RowCondition

    /** The row exists with exactly this revision. */
    @Serializable
    @SerialName("revision_is")
    public data class RevisionIs(override val key: RowKey, public val revision: Revision) : RowCondition
}

/** One write of a transaction. */
@Serializable
public sealed interface RowWrite {
    /** Key of the row that is written. */
    public val key: RowKey

    /** Inserts or replaces the row. */
    @Serializable
    @SerialName("put")
    public data class Put(override val key: RowKey, public val value: RowValue) : RowWrite

    /** Deletes the row; deleting an absent row is not an error. */
    @Serializable
    @SerialName("delete")
    public data class Delete(override val key: RowKey) : RowWrite
}

/** A request to the platform's table service or object store. */
public sealed interface StoreCommand {
    /** Reads rows by key; absent rows are omitted from the result. */
    public data class ReadRows(public val keys: List<RowKey>) : StoreCommand

    /** Reads at most [limit] rows whose key starts with [prefix] and is greater than [after], in key order. */
    public data class ScanRows(
        public val prefix: String,
        public val limit: Int,
        public val after: RowKey? = null,
    ) : StoreCommand

    /** Applies all [writes] atomically if all [conditions] are met, otherwise none. */
    public data class Transact(
        public val writeId: WriteId,
        public val conditions: List<RowCondition>,
        public val writes: List<RowWrite>,
    ) : StoreCommand

    /** Lists objects whose key starts with [prefix], in key order. */
    public data class ListObjects(public val prefix: String) : StoreCommand

    /** Reads an object. */
    public data class GetObject(public val key: ObjectKey) : StoreCommand

    /** Writes an object, replacing an existing one. */
    public data class PutObject(public val key: ObjectKey, public val bytes: ImmutableBytes) : StoreCommand

    /** Reads a configuration document. */
    public data class GetDocument(public val key: ObjectKey) : StoreCommand

    /** Writes a configuration document, replacing an existing one. */
    public data class PutDocument(public val key: ObjectKey, public val document: ConfigDocument) : StoreCommand

    /** Reads the configuration that the platform's operator maintains in the store. */
    public data object ReadConfigSource : StoreCommand

    /** Waits up to [waitMillis] for a change of the configuration source later than revision [after]. */
    public data class AwaitConfigSource(public val after: Revision, public val waitMillis: Long) : StoreCommand

    /** Deletes an object; deleting an absent object is not an error. */
    public data class DeleteObject(public val key: ObjectKey) : StoreCommand
}
