package boragelever.app

import boragelever.core.NetworkAddress
import boragelever.platform.parseDurationMillis
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.SerializationException

private const val MAX_PORT = 65_535
private val name = Regex("[A-Za-z0-9][A-Za-z0-9._-]{0,127}")
private val ipAddress = Regex("[0-9]{1,3}(\\.[0-9]{1,3}){3}|[0-9a-fA-F:]*:[0-9a-fA-F:]*")

/** Parses and validates values of flags. Each error names the flag, the value and the remedy. */
internal object Values {
    fun name(flag: String, value: String?): Result<String, UsageError> =
        parseValue(flag, value, "a name of letters, digits, dots, dashes or underscores") { it.takeIf(name::matches) }

    fun optionalName(flag: String, value: String?): Result<String?, UsageError> =
        if (value == null) Ok(null) else name(flag, value)

    fun host(flag: String, value: String?): Result<String, UsageError> =
        parseValue(flag, value, "an IP address, for example 10.1.2.3") { it.takeIf(ipAddress::matches) }

    fun port(flag: String, value: String?): Result<Int, UsageError> =
        parseValue(flag, value, "a port from 0 to $MAX_PORT, or an address that ends with it") {
            it.substringAfterLast(':').toIntOrNull()?.takeIf { port -> port in 0..MAX_PORT }
        }

    fun optionalPort(flag: String, value: String?): Result<Int?, UsageError> =
        if (value.isNullOrEmpty()) Ok(null) else port(flag, value)

    /** Parses a duration such as `1500ms` or `2.5s` into milliseconds. */
    fun millis(flag: String, value: String?): Result<Long, UsageError> =
        parseValue(flag, value, "a duration, for example 1500ms or 2.5s") {
            try {
                parseDurationMillis(it)
            } catch (_: SerializationException) {
                null
            }
        }

    /** Parses a ratio from 0 to 1; an absent or empty value gives `null`. */
    fun optionalShare(flag: String, value: String?): Result<Double?, UsageError> =
        if (value.isNullOrEmpty()) {
            Ok(null)
        } else {
            parseValue(flag, value, "a share from 0 to 1, for example 0.2") {
                it.toDoubleOrNull()?.takeIf { share -> share in 0.0..1.0 }
            }
        }

    /** Parses a number that may have a fraction; an absent or empty value gives `null`. */
    fun optionalDecimal(flag: String, value: String?, range: IntRange): Result<Double?, UsageError> =
        if (value.isNullOrEmpty()) {
            Ok(null)
        } else {
            parseValue(flag, value, "a number from ${range.first} to ${range.last}") {
                it.toDoubleOrNull()?.takeIf { number -> number >= range.first && number <= range.last }
            }
        }

    fun optionalMillis(flag: String, value: String?): Result<Long?, UsageError> =
        if (value.isNullOrEmpty()) Ok(null) else millis(flag, value)

    fun number(flag: String, value: String?, range: LongRange): Result<Long, UsageError> =
        parseValue(flag, value, "an integer from ${range.first} to ${range.last}") {
            it.toLongOrNull()?.takeIf { number -> number in range }
        }

    fun optionalNumber(flag: String, value: String?, range: LongRange): Result<Long?, UsageError> =
        if (value == null) Ok(null) else number(flag, value, range)

    fun address(flag: String, value: String?): Result<NetworkAddress, UsageError> =
        parseValue(flag, value, "an IP address and a port, for example 10.1.2.3:7002", ::addressOrNull)

    fun addresses(flag: String, value: String): Result<List<NetworkAddress>, UsageError> =
        parseValue(flag, value, "addresses separated by commas, for example 10.1.2.3:7002,10.1.2.4:7002") { list ->
            val parts = list.split(',').map { it.trim() }.filter { it.isNotEmpty() }
            parts.mapNotNull(::addressOrNull).takeIf { it.size == parts.size }
        }

    fun text(flag: String, value: String?): Result<String, UsageError> =
        parseValue(flag, value, "a value") { it.ifEmpty { null } }

    inline fun <reified T : Enum<T>> choice(flag: String, value: String): Result<T, UsageError> {
        val choices = enumValues<T>()
        return parseValue(flag, value, "one of " + choices.joinToString { it.name.lowercase() }) { word ->
            choices.firstOrNull { it.name.lowercase() == word }
        }
    }

    fun <T : Any> parseValue(
        flag: String,
        value: String?,
        expected: String,
        parse: (String) -> T?,
    ): Result<T, UsageError> {
        if (value == null) return Err(UsageError("$flag is missing; give $expected"))
        val parsed = parse(value) ?: return Err(UsageError("$flag: '$value' is not allowed; give $expected"))
        return Ok(parsed)
    }

    private fun addressOrNull(value: String): NetworkAddress? {
        val host = value.substringBeforeLast(':', "").removeSurrounding("[", "]")
        val port = value.substringAfterLast(':', "").toIntOrNull()
        return NetworkAddress(value).takeIf { ipAddress.matches(host) && port != null && port in 0..MAX_PORT }
    }
}
