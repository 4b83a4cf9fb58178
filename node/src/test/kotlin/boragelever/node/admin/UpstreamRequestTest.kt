package boragelever.node.admin

import boragelever.core.InstanceId
import boragelever.core.NetworkAddress
import boragelever.core.ServiceName
import boragelever.core.control.UpstreamRecord
import boragelever.core.control.UpstreamState
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource

/** Guards against registrations with invalid values that would reach the routing snapshots of all nodes. */
class UpstreamRequestTest {
    @ParameterizedTest
    @CsvSource(
        quoteCharacter = '`',
        value = [
            "slots,       9,                    ",
            "ttl_ms,      60000,                ",
            "state,       \"draining\",         ",
            "slots,       0,                    slots",
            "slots,       \"9\",                slots",
            "slots,       1.5,                  slots",
            "slots,       100001,               slots",
            "connections, null,                 connections",
            "ttl_ms,      999,                  ttl_ms",
            "state,       \"gone\",             state",
            "address,     \"127.0.0.1\",        address",
            "address,     \":80\",              address",
            "address,     \"127.0.0.1:65536\",  address",
            "service,     \"\",                 service",
            "service,     \"a/b\",              service",
            "instance,    7,                    instance",
            "body,        ,                     body",
        ],
    )
    fun `an invalid request is rejected with its field`(field: String, value: String?, invalidField: String?) {
        val fields =
            mapOf(
                "service" to "\"fitbook\"",
                "instance" to "\"fitbook-1\"",
                "address" to "\"127.0.0.1:80\"",
                "slots" to "9",
                "connections" to "130",
                "state" to "\"serving\"",
            ) + (field to value)
        val text = if (value == null) {
            "[]"
        } else {
            fields.entries.joinToString(prefix = "{", postfix = "}") { (k, v) -> "\"$k\":$v" }
        }

        val outcome = decodeUpstreamRequest(text)

        assertEquals(invalidField, outcome.getError()?.field)
        assertEquals(if (invalidField == null) expected(fields) else null, outcome.get())
    }

    private fun expected(fields: Map<String, String?>) =
        UpstreamRequest(
            UpstreamRecord(
                ServiceName("fitbook"),
                InstanceId("fitbook-1"),
                NetworkAddress("127.0.0.1:80"),
                9,
                130,
                UpstreamState.valueOf(fields.getValue("state")!!.trim('"').uppercase()),
            ),
            fields["ttl_ms"]?.toLong() ?: DEFAULT_TTL_MILLIS,
        )
}
