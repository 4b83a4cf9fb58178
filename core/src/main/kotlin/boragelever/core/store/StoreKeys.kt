package boragelever.core.store

import boragelever.core.ConfigVersion
import boragelever.core.Digest

/** Keys of the rows and objects that nodes share. */
public object StoreKeys {
    /** Row that names the accepted configuration. */
    public val HEAD: RowKey = RowKey("config/head")

    /** Row of the publisher lease. */
    public val LEASE: RowKey = RowKey("config/lease")

    /** Row that tells operators about the last rejected folder. */
    public val STATUS: RowKey = RowKey("config/status")

    /** Prefix of the immutable configuration documents. */
    public const val DOCUMENT_PREFIX: String = "documents/"

    private const val VERSION_DIGITS = 12

    /**
     * Returns the key of the document with [version] and [digest].
     *
     * The digest keeps two publishers that prepare the same version from overwriting each other's document; the padded
     * version makes keys sort by age.
     */
    public fun document(version: ConfigVersion, digest: Digest): ObjectKey =
        ObjectKey("$DOCUMENT_PREFIX${version.value.toString().padStart(VERSION_DIGITS, '0')}-$digest")

    /** Returns the version in a document's key, or `null` if the key has another form. */
    public fun documentVersion(key: ObjectKey): ConfigVersion? =
        key.value
            .removePrefix(DOCUMENT_PREFIX)
            .substringBefore('-')
            .toLongOrNull()
            ?.let(::ConfigVersion)
}
