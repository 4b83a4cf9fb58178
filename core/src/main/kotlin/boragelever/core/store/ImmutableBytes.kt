package boragelever.core.store

/** Immutable byte sequence compared by content. The wrapped array must not be modified afterwards. */
public class ImmutableBytes(private val bytes: ByteArray) {
    /** Length in bytes. */
    public val sizeBytes: Int get() = bytes.size

    /** Returns a copy of the bytes. */
    public fun toByteArray(): ByteArray = bytes.copyOf()

    /** Decodes the bytes as UTF-8; malformed input becomes replacement characters. */
    public fun decodeToString(): String = bytes.decodeToString()

    override fun equals(other: Any?): Boolean = other is ImmutableBytes && bytes.contentEquals(other.bytes)

    override fun hashCode(): Int = bytes.contentHashCode()

    override fun toString(): String = "ImmutableBytes($sizeBytes bytes)"
}
