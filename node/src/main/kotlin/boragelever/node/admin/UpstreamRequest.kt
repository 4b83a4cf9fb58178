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

/** Time after which a registration ends that is not renewed, if the request gives none. */
public const val DEFAULT_TTL_MILLIS: Long = 5_000

private const val MIN_TTL_MILLIS = 1_000L
private const val MAX_TTL_MILLIS = 60_000L
private const val MAX_SLOTS = 100_000L
private const val MAX_PORT = 65_535

private val name = Regex("[A-Za-z0-9][A-Za-z0-9._-]{0,127}")

/** An upstream's registration as sent to `POST /v1/upstreams`. */
internal data class UpstreamRequest(val upstream: UpstreamRecord, val ttlMillis: Long)

/** Why a request to the admin port is refused. */
internal data class FieldError(val field: String, val problem: String, val remedy: String)

/** Decodes the JSON [text] of a registration. The first wrong field is reported. */
internal fun decodeUpstreamRequest(text: String): Result<UpstreamRequest, FieldError> =
    parseObject(text).flatMap { UpstreamFields(it).decode() }

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
        Err(FieldError("body", "it is not a JSON object", "send an object with service, instance, address, slots, ..."))
    }
}

private class UpstreamFields(private val fields: JsonObject) {
    fun decode(): Result<UpstreamRequest, FieldError> =
        binding {
            val upstream =
                UpstreamRecord(
                    service().bind(),
                    instance().bind(),
                    address().bind(),
                    slots = number("slots", 1..MAX_SLOTS, null).bind().toInt(),
                    connections = number("connections", 1..MAX_SLOTS, null).bind().toInt(),
                    state().bind(),
                )
            UpstreamRequest(upstream, number("ttl_ms", MIN_TTL_MILLIS..MAX_TTL_MILLIS, DEFAULT_TTL_MILLIS).bind())
        }

    private fun service(): Result<ServiceName, FieldError> = token("service").map(::ServiceName)

    private fun instance(): Result<InstanceId, FieldError> = token("instance").map(::InstanceId)

    private fun token(field: String): Result<String, FieldError> {
        val value = text(field)
        return if (value != null && name.matches(value)) {
            Ok(value)
        } else {
            Err(wrong(field, "write a name of up to 128 letters, digits, dots, dashes or underscores"))
        }
    }

    private fun address(): Result<NetworkAddress, FieldError> {
        val value = text("address").orEmpty()
        val port = value.substringAfterLast(':', "").toIntOrNull()
        val host = value.substringBeforeLast(':', "")
        return if (port != null && port in 1..MAX_PORT && host.isNotBlank()) {
            Ok(NetworkAddress(value))
        } else {
            Err(wrong("address", "write an IP number and a port, for example 127.0.0.1:8080"))
        }
    }

    private fun number(field: String, range: LongRange, default: Long?): Result<Long, FieldError> {
        val value = if (field in fields) wholeNumber(field) else default
        return if (value != null && value in range) {
            Ok(value)
        } else {
            Err(wrong(field, "write a whole number from ${range.first} to ${range.last}"))
        }
    }

    private fun wholeNumber(field: String): Long? =
        (fields[field] as? JsonPrimitive)?.takeUnless { it.isString }?.longOrNull

    private fun state(): Result<UpstreamState, FieldError> {
        val value = text("state")
        val state = UpstreamState.entries.firstOrNull { it.name.lowercase() == value }
        return if (state != null) {
            Ok(state)
        } else {
            Err(wrong("state", "write one of " + UpstreamState.entries.joinToString { it.name.lowercase() }))
        }
    }

    private fun text(field: String): String? = (fields[field] as? JsonPrimitive)?.takeIf { it.isString }?.content

    private fun wrong(field: String, remedy: String): FieldError =
        FieldError(field, fields[field]?.let { "$it is not allowed" } ?: "it is missing", remedy)
}
