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

private const val TRACE_ID = "0af7651916cd43dd8448eb211c80319c"

/** Guards against traces that are interrupted between hops and calls that are not counted. */
class ProxyTelemetryTest {
    internal class Case(
        val name: String,
        val received: String?,
        /** Trace id of both spans, or `null` if the trace starts at this node. */
        val traceId: String?,
        val isRecording: Boolean = true,
    ) {
        override fun toString() = name
    }

    @ParameterizedTest
    @MethodSource("cases")
    internal fun `the spans of a call belong to one trace`(case: Case) {
        val exporter = InMemorySpanExporter.create()
        val provider = SdkTracerProvider.builder().addSpanProcessor(SimpleSpanProcessor.create(exporter)).build()
        val sdk = OpenTelemetrySdk.builder().setTracerProvider(provider).build()
        val registry = PrometheusRegistry()
        val telemetry = ProxyTelemetry(if (case.isRecording) sdk else OpenTelemetry.noop(), registry)
        val call = telemetry.callStarted(CallDescription(HopKind.CALLING, "GET", "/scan", case.received))
        val attempt = call.attemptStarted(1, InstanceId("i"))
        val forwarded = attempt.traceparent
        attempt.ended("200", Outcome.COMPLETED)
        call.ended(CallSummary(200, Outcome.COMPLETED, 1_000, attempts = 1, service = ServiceName("scanhub")))

        val spans = exporter.finishedSpanItems
        if (case.isRecording) {
            val traceId = case.traceId ?: spans.last().traceId
            assertEquals(listOf(traceId, traceId), spans.map { it.traceId })
            // The flags are not compared: a generated trace id also sets the random flag.
            assertEquals("00-$traceId-${spans.first().spanId}", forwarded?.substringBeforeLast('-'))
            assertEquals(spans.last().spanId, spans.first().parentSpanId)
        } else {
            assertEquals(case.received, forwarded)
        }
        val calls = registry.scrape { it == "boragelever_calls" }.single() as CounterSnapshot
        assertEquals(listOf(1.0), calls.dataPoints.map { it.value })
    }

    private companion object {
        @JvmStatic
        fun cases(): List<Case> = listOf(
            Case("the trace of the caller is continued", "00-$TRACE_ID-b7ad6b7169203331-01", TRACE_ID),
            Case("a call without a trace starts a new one", null, null),
            Case("a malformed traceparent starts a new trace", "00-zz", null),
            Case(
                "a node that records nothing forwards the received traceparent",
                "00-$TRACE_ID-b7ad6b7169203331-01",
                TRACE_ID,
                isRecording = false,
            ),
        )
    }
}
