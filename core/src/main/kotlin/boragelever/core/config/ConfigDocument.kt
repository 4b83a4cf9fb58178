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
 * A whole merged configuration in the form in which it is stored and sent: entries with their canonical JSON texts.
 *
 * The texts are opaque here, so that a node forwards entries that a newer program version wrote.
 */
@Serializable
public data class ConfigDocument(public val entries: Map<EntryKey, String>) {
    /** Digest over all entries in the order of their keys. */
    public fun digest(): Digest = sha256(entries.toSortedMap().flatMap { (key, text) -> listOf(key.value, text) })
}

/** Identity of an accepted configuration as exchanged between nodes. */
@Serializable
public data class ConfigId(
    @SerialName("v") public val version: ConfigVersion,
    @SerialName("d") public val digest: Digest,
)

/** What turns one document into another. */
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

/** Returns this document with [delta] applied. The caller compares the digest before it uses the result. */
public fun ConfigDocument.applyDelta(delta: DocumentDelta): ConfigDocument =
    ConfigDocument(entries - delta.removed + delta.changed)
