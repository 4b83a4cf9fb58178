package boragelever.node.telemetry

import boragelever.core.InstanceId
import boragelever.core.ServiceName
import boragelever.core.call.Outcome
import boragelever.node.proxy.CallDescription
import boragelever.node.proxy.CallSummary
import boragelever.node.proxy.HopKind
import io.opentelemetry.api.OpenTelemetry
import io.opentelemetry.sdk.OpenTelemetrySdk
import io.opentelemetry.sdk.testing.exporter.InMemorySpanExporter
import io.opentelemetry.sdk.trace.SdkTracerProvider
import io.opentelemetry.sdk.trace.export.SimpleSpanProcessor
import io.prometheus.metrics.model.registry.PrometheusRegistry
import io.prometheus.metrics.model.snapshots.CounterSnapshot
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

private const val TRACE = "0af7651916cd43dd8448eb211c80319c"

/** Guards against traces that break between hops and against calls that are not counted. */
class ProxyTelemetryTest {
    internal class Case(
        val failure: String,
        val received: String?,
        /** Trace of the two spans, or `null` for one that begins here. */
        val trace: String?,
        val recording: Boolean = true,
    ) {
        override fun toString() = failure
    }

    @ParameterizedTest
    @MethodSource("cases")
    internal fun `a call is one trace across its hops`(case: Case) {
        val exporter = InMemorySpanExporter.create()
        val provider = SdkTracerProvider.builder().addSpanProcessor(SimpleSpanProcessor.create(exporter)).build()
        val sdk = OpenTelemetrySdk.builder().setTracerProvider(provider).build()
        val registry = PrometheusRegistry()
        val telemetry = ProxyTelemetry(if (case.recording) sdk else OpenTelemetry.noop(), registry)
        val call = telemetry.callStarted(CallDescription(HopKind.CALLING, "GET", "/scan", case.received))
        val attempt = call.attemptStarted(1, InstanceId("i"))
        val carried = attempt.traceparent
        attempt.ended("200", Outcome.COMPLETED)
        call.ended(CallSummary(200, Outcome.COMPLETED, 1_000, attempts = 1, service = ServiceName("scanhub")))

        val spans = exporter.finishedSpanItems
        if (case.recording) {
            val trace = case.trace ?: spans.last().traceId
            assertEquals(listOf(trace, trace), spans.map { it.traceId })
            // The flags are left out: a generated identifier also sets the flag for randomness.
            assertEquals("00-$trace-${spans.first().spanId}", carried?.substringBeforeLast('-'))
            assertEquals(spans.last().spanId, spans.first().parentSpanId)
        } else {
            assertEquals(case.received, carried)
        }
        val calls = registry.scrape { it == "boragelever_calls" }.single() as CounterSnapshot
        assertEquals(listOf(1.0), calls.dataPoints.map { it.value })
    }

    private companion object {
        @JvmStatic
        fun cases(): List<Case> = listOf(
            Case("a caller's trace is not continued", "00-$TRACE-b7ad6b7169203331-01", TRACE),
            Case("a call without a trace is not traced", null, null),
            Case("a malformed header breaks the call", "00-zz", null),
            Case(
                "a node that records nothing cuts the trace",
                "00-$TRACE-b7ad6b7169203331-01",
                TRACE,
                recording = false,
            ),
        )
    }
}
