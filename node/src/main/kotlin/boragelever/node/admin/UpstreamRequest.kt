package boragelever.node.admin

import boragelever.core.InstanceId
import boragelever.core.NetworkAddress
import boragelever.core.ServiceName
import boragelever.core.control.UpstreamRecord
import boragelever.core.control.UpstreamState
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.binding
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.map
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.longOrNull

/** Time after which a registration expires unless renewed, if the request specifies none. */
public const val DEFAULT_TTL_MILLIS: Long = 5_000

private const val MIN_TTL_MILLIS = 1_000L
private const val MAX_TTL_MILLIS = 60_000L
private const val MAX_SLOTS = 100_000L
private const val MAX_PORT = 65_535

private val identifierPattern = Regex("[A-Za-z0-9][A-Za-z0-9._-]{0,127}")

/** Registration of an upstream, the request body of `POST /v1/upstreams`. */
internal data class UpstreamRequest(val upstream: UpstreamRecord, val ttlMillis: Long)

/** Reason for rejecting a field of a request. */
internal data class FieldError(val field: String, val problem: String, val remedy: String)

/** Decodes the JSON [text] of a registration, or returns the error of the first invalid field. */
internal fun decodeUpstreamRequest(text: String): Result<UpstreamRequest, FieldError> =
    parseObject(text).flatMap { UpstreamRequestDecoder(it).decode() }

private fun parseObject(text: String): Result<JsonObject, FieldError> {
    val element =
        try {
            Json.parseToJsonElement(text)
        } catch (e: SerializationException) {
            null
        }
    return if (element is JsonObject) {
        Ok(element)
    } else {
        Err(FieldError("body", "not a JSON object", "send an object with service, instance, address, slots, ..."))
    }
}

private class UpstreamRequestDecoder(private val fields: JsonObject) {
    fun decode(): Result<UpstreamRequest, FieldError> =
        binding {
            val upstream =
                UpstreamRecord(
                    service().bind(),
                    instance().bind(),
                    address().bind(),
                    slots = integer("slots", 1..MAX_SLOTS, null).bind().toInt(),
                    connections = integer("connections", 1..MAX_SLOTS, null).bind().toInt(),
                    state().bind(),
                )
            UpstreamRequest(upstream, integer("ttl_ms", MIN_TTL_MILLIS..MAX_TTL_MILLIS, DEFAULT_TTL_MILLIS).bind())
        }

    private fun service(): Result<ServiceName, FieldError> = identifier("service").map(::ServiceName)

    private fun instance(): Result<InstanceId, FieldError> = identifier("instance").map(::InstanceId)

    private fun identifier(field: String): Result<String, FieldError> {
        val value = text(field)
        return if (value != null && identifierPattern.matches(value)) {
            Ok(value)
        } else {
            Err(invalid(field, "use 1 to 128 letters, digits, dots, hyphens or underscores"))
        }
    }

    private fun address(): Result<NetworkAddress, FieldError> {
        val value = text("address").orEmpty()
        val port = value.substringAfterLast(':', "").toIntOrNull()
        val host = value.substringBeforeLast(':', "")
        return if (port != null && port in 1..MAX_PORT && host.isNotBlank()) {
            Ok(NetworkAddress(value))
        } else {
            Err(invalid("address", "use an IP address and a port, for example 127.0.0.1:8080"))
        }
    }

    private fun integer(field: String, range: LongRange, default: Long?): Result<Long, FieldError> {
        val value = if (field in fields) integerOrNull(field) else default
        return if (value != null && value in range) {
            Ok(value)
        } else {
            Err(invalid(field, "use an integer from ${range.first} to ${range.last}"))
        }
    }

    private fun integerOrNull(field: String): Long? =
        (fields[field] as? JsonPrimitive)?.takeUnless { it.isString }?.longOrNull

    private fun state(): Result<UpstreamState, FieldError> {
        val value = text("state")
        val state = UpstreamState.entries.firstOrNull { it.name.lowercase() == value }
        return if (state != null) {
            Ok(state)
        } else {
            Err(invalid("state", "use one of " + UpstreamState.entries.joinToString { it.name.lowercase() }))
        }
    }

    private fun text(field: String): String? = (fields[field] as? JsonPrimitive)?.takeIf { it.isString }?.content

    private fun invalid(field: String, remedy: String): FieldError =
        FieldError(field, fields[field]?.let { "invalid value $it" } ?: "field is missing", remedy)
}
