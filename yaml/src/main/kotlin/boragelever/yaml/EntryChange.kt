package boragelever.yaml

import boragelever.core.config.ConfigDocument
import boragelever.core.config.EntryKey

/** Difference in one entry between two documents; the texts are canonical JSON. */
public sealed interface EntryChange {
    public val key: EntryKey

    /** The entry exists only in the new document. */
    public data class Added(override val key: EntryKey, public val text: String) : EntryChange

    /** The entry exists only in the old document. */
    public data class Removed(override val key: EntryKey, public val text: String) : EntryChange

    /** The entry differs between the documents. */
    public data class Changed(
        override val key: EntryKey,
        public val from: String,
        public val to: String,
    ) : EntryChange
}

/** Returns the differences between [from] and [to], ordered by key. */
public fun diffDocuments(from: ConfigDocument, to: ConfigDocument): List<EntryChange> =
    (from.entries.keys + to.entries.keys).sorted().mapNotNull { key ->
        entryChange(key, from.entries[key], to.entries[key])
    }

private fun entryChange(key: EntryKey, from: String?, to: String?): EntryChange? =
    when {
        from == to -> null
        from == null -> to?.let { EntryChange.Added(key, it) }
        to == null -> EntryChange.Removed(key, from)
        else -> EntryChange.Changed(key, from, to)
    }
