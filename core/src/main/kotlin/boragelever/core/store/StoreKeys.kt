package boragelever.core.store

import boragelever.core.ConfigVersion
import boragelever.core.Digest

/** Keys of the rows and objects that all nodes share. */
public object StoreKeys {
    /** Row that identifies the accepted configuration. */
    public val HEAD: RowKey = RowKey("config/head")

    /** Row of the publisher lease. */
    public val LEASE: RowKey = RowKey("config/lease")

    /** Row that reports to operators whether the last configuration folder was accepted. */
    public val STATUS: RowKey = RowKey("config/status")

    /** Prefix of the immutable configuration documents. */
    public const val DOCUMENT_PREFIX: String = "documents/"

    private const val VERSION_DIGITS = 12

    /**
     * Returns the key of the document with [version] and [digest].
     *
     * The digest prevents two publishers that prepare the same version from overwriting each other's document. The
     * version is zero-padded so that keys sort by age.
     */
    public fun document(version: ConfigVersion, digest: Digest): ObjectKey =
        ObjectKey("$DOCUMENT_PREFIX${version.value.toString().padStart(VERSION_DIGITS, '0')}-$digest")

    /** Returns the version encoded in a document's key, or `null` if [key] contains none. */
    public fun documentVersion(key: ObjectKey): ConfigVersion? =
        key.value
            .removePrefix(DOCUMENT_PREFIX)
            .substringBefore('-')
            .toLongOrNull()
            ?.let(::ConfigVersion)
}
