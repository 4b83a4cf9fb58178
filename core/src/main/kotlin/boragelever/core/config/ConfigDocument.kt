package boragelever.core.config

import boragelever.core.ConfigVersion
import boragelever.core.Digest
import boragelever.core.sha256
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Path of an entry in a document: section and name, for example `services/fitbook`. */
@Serializable
@JvmInline
public value class EntryKey(public val value: String) : Comparable<EntryKey> {
    override fun compareTo(other: EntryKey): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/**
 * A complete merged configuration in the form that is stored and sent: entries with their canonical JSON text.
 *
 * The JSON is not interpreted here, so that a node can forward entries written by a newer program version.
 */
@Serializable
public data class ConfigDocument(public val entries: Map<EntryKey, String>) {
    /** Returns the digest of all entries in the order of their keys. */
    public fun digest(): Digest = sha256(entries.toSortedMap().flatMap { (key, text) -> listOf(key.value, text) })
}

/** Identifies an accepted configuration in messages between nodes. */
@Serializable
public data class ConfigId(
    @SerialName("v") public val version: ConfigVersion,
    @SerialName("d") public val digest: Digest,
)

/** Difference between two documents: entries to add or replace, and entries to remove. */
@Serializable
public data class DocumentDelta(
    public val base: ConfigId,
    public val changed: Map<EntryKey, String>,
    public val removed: Set<EntryKey>,
)

/** Returns the delta that turns [from] into [to]. */
public fun documentDelta(base: ConfigId, from: ConfigDocument, to: ConfigDocument): DocumentDelta =
    DocumentDelta(
        base = base,
        changed = to.entries.filter { (key, text) -> from.entries[key] != text },
        removed = from.entries.keys - to.entries.keys,
    )

/** Returns this document with [delta] applied. The caller must check the digest of the result before using it. */
public fun ConfigDocument.applyDelta(delta: DocumentDelta): ConfigDocument =
    ConfigDocument(entries - delta.removed + delta.changed)
