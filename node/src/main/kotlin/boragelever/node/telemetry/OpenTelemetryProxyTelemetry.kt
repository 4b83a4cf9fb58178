package boragelever.node.telemetry

import boragelever.core.InstanceId
import boragelever.core.call.Outcome
import boragelever.core.routing.LocalityTier
import boragelever.node.proxy.AttemptTrace
import boragelever.node.proxy.CallDescription
import boragelever.node.proxy.CallSummary
import boragelever.node.proxy.CallTrace
import boragelever.node.proxy.HopKind
import boragelever.node.proxy.ProxyTelemetry
import io.opentelemetry.api.OpenTelemetry
import io.opentelemetry.api.trace.Span
import io.opentelemetry.api.trace.SpanKind
import io.opentelemetry.api.trace.StatusCode
import io.opentelemetry.api.trace.Tracer
import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator
import io.opentelemetry.context.Context
import io.opentelemetry.context.propagation.TextMapGetter
import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.model.registry.PrometheusRegistry

private const val TRACEPARENT_HEADER = "traceparent"
private const val NANOS_PER_SECOND = 1e9
private const val SERVER_ERROR = 500

/** Label value of calls that ended before their service, status, outcome or tier was known. */
private const val NO_VALUE = "none"

/** Upper bounds of the buckets; the small ones show the latency that a hop adds, whose target is below 0.74 ms. */
private val LATENCY_BUCKETS_SECONDS =
    doubleArrayOf(
        0.00025,
        0.0005,
        0.00075,
        0.001,
        0.0025,
        0.005,
        0.01,
        0.025,
        0.05,
        0.1,
        0.25,
        0.5,
        1.0,
        2.5,
        5.0,
        10.0,
    )

/**
 * Creates a [ProxyTelemetry] that records spans with [openTelemetry] and metrics in [registry].
 *
 * The calling code configures the exporter. Each hop is one span, and each attempt is a child span of it. Without a
 * recording sampler, a received `traceparent` is forwarded unchanged.
 */
public fun ProxyTelemetry(openTelemetry: OpenTelemetry, registry: PrometheusRegistry): ProxyTelemetry {
    val calls = CallRecorder(CallMetrics(registry), CallLog(registry))
    val isTraced = openTelemetry !== OpenTelemetry.noop()
    return if (isTraced) TracedTelemetry(openTelemetry.getTracer("boragelever"), calls) else UntracedTelemetry(calls)
}

private class CallMetrics(registry: PrometheusRegistry) {
    val calls: Counter =
        Counter.builder()
            .name("boragelever_calls_total")
            .help("Calls by hop, service, status class, outcome and whether the caller got the complete response.")
            .labelNames("hop", "service", "status", "outcome", "whole")
            .register(registry)
    val latency: Histogram =
        Histogram.builder()
            .name("boragelever_call_duration_seconds")
            .help("Time from the request head to the end of the response.")
            .labelNames("hop", "service", "tier")
            .classicOnly()
            .classicUpperBounds(*LATENCY_BUCKETS_SECONDS)
            .register(registry)
    val attempts: Counter =
        Counter.builder()
            .name("boragelever_call_attempts_total")
            .help("Attempts by hop and service; exceeds the number of calls by the number of retries.")
            .labelNames("hop", "service")
            .register(registry)
}

/** Presents a single `traceparent` value as the header carrier of the propagator. */
private val SINGLE_HEADER = TextMapGetter<String> { carrier, key -> carrier.takeIf { key == TRACEPARENT_HEADER } }

/** Records the metrics and the log line of each call that has ended. */
private class CallRecorder(private val metrics: CallMetrics, private val log: CallLog) {
    fun ended(call: CallDescription, summary: CallSummary) {
        val hop = call.kind.label
        val service = summary.service?.value ?: NO_VALUE
        val status = if (summary.statusCode == 0) NO_VALUE else "${summary.statusCode / 100}xx"
        metrics.calls.labelValues(hop, service, status, summary.outcomeLabel, summary.complete.toString()).inc()
        metrics.attempts.labelValues(hop, service).inc(summary.attempts.toDouble())
        metrics.latency.labelValues(hop, service, summary.tier?.label ?: NO_VALUE)
            .observe(summary.durationNanos / NANOS_PER_SECOND)
        log.write(call, summary)
    }
}

private val CallSummary.outcomeLabel: String get() = outcome?.text ?: NO_VALUE

private val LocalityTier.label: String
    get() = when (this) {
        LocalityTier.SAME_ZONE -> "same_zone"
        LocalityTier.SAME_REGION -> "same_region"
        LocalityTier.OTHER_REGION -> "other_region"
    }

/** Records no spans, since there is no exporter, and forwards a received `traceparent` unchanged. */
private class UntracedTelemetry(private val recorder: CallRecorder) : ProxyTelemetry {
    override fun callStarted(call: CallDescription): CallTrace =
        object : CallTrace by ProxyTelemetry.NONE.callStarted(call) {
            override fun ended(summary: CallSummary) = recorder.ended(call, summary)
        }
}

/** Records a span for each hop and each attempt. */
private class TracedTelemetry(private val tracer: Tracer, private val recorder: CallRecorder) : ProxyTelemetry {
    override fun callStarted(call: CallDescription): CallTrace {
        val parent = call.traceparent?.let { W3C.extract(Context.root(), it, SINGLE_HEADER) } ?: Context.root()
        val span = tracer.spanBuilder("${call.kind.label} ${call.method}")
            .setParent(parent)
            .setSpanKind(SpanKind.SERVER)
            .setAttribute("http.request.method", call.method)
            .setAttribute("url.path", call.path)
            .startSpan()
        return TracedCall(tracer, recorder, call, span)
    }
}

private val W3C = W3CTraceContextPropagator.getInstance()

internal val HopKind.label: String
    get() = when (this) {
        HopKind.CALLING -> "calling"
        HopKind.LAST -> "last"
    }

private class TracedCall(
    private val tracer: Tracer,
    private val recorder: CallRecorder,
    private val call: CallDescription,
    private val span: Span,
) : CallTrace {
    override fun attemptStarted(number: Int, instance: InstanceId): AttemptTrace {
        val context = Context.root().with(span)
        val attempt = tracer.spanBuilder("attempt")
            .setParent(context)
            .setSpanKind(SpanKind.CLIENT)
            .setAttribute("boragelever.attempt", number.toLong())
            .setAttribute("boragelever.instance", instance.value)
            .startSpan()
        return TracedAttempt(attempt)
    }

    override fun ended(summary: CallSummary) {
        span.setAttribute("http.response.status_code", summary.statusCode.toLong())
        span.setAttribute("boragelever.service", summary.service?.value ?: NO_VALUE)
        span.setAttribute("boragelever.outcome", summary.outcomeLabel)
        span.setAttribute("boragelever.attempts", summary.attempts.toLong())
        summary.route?.let { span.setAttribute("http.route", it.value) }
        if (!summary.complete || summary.statusCode >= SERVER_ERROR) span.setStatus(StatusCode.ERROR)
        span.end()
        recorder.ended(call, summary)
    }
}

private class TracedAttempt(private val span: Span) : AttemptTrace {
    override val traceparent: String? = traceparentOf(span)

    override fun ended(result: String, outcome: Outcome?) {
        span.setAttribute("boragelever.result", result)
        outcome?.let { span.setAttribute("boragelever.outcome", it.text) }
        span.end()
    }
}

private fun traceparentOf(span: Span): String? {
    var value: String? = null
    W3C.inject(Context.root().with(span), Unit) { _, key, header -> if (key == TRACEPARENT_HEADER) value = header }
    return value
}
