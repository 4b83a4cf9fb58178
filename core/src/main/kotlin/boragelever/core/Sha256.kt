package boragelever.core

import java.security.MessageDigest

private const val HEX_DIGITS = "0123456789abcdef"

/** Returns the SHA-256 digest of [parts], each terminated by a zero byte so that part boundaries affect the digest. */
public fun sha256(parts: Iterable<String>): Digest {
    val digest = MessageDigest.getInstance("SHA-256")
    parts.forEach { part ->
        digest.update(part.encodeToByteArray())
        digest.update(0)
    }
    return Digest(digest.digest().toHex())
}

/** Returns the SHA-256 digest of [bytes]. */
public fun sha256(bytes: ByteArray): Digest = Digest(MessageDigest.getInstance("SHA-256").digest(bytes).toHex())

private fun ByteArray.toHex(): String {
    val text = StringBuilder(size * 2)
    forEach { byte ->
        text.append(HEX_DIGITS[byte.toInt() shr 4 and 0xf])
        text.append(HEX_DIGITS[byte.toInt() and 0xf])
    }
    return text.toString()
}
