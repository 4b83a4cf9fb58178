package boragelever.node.telemetry

import boragelever.core.call.Outcome
import boragelever.node.proxy.CallDescription
import boragelever.node.proxy.CallSummary
import boragelever.platform.RateLimiter
import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.model.registry.PrometheusRegistry

private val log = KotlinLogging.logger {}

/** Limit of log lines per second for calls that were refused, retried, truncated or failed. */
private const val MAX_NOTABLE_LINES_PER_SECOND = 20.0

/** Limit of log lines per second for other calls, which are sampled. */
private const val MAX_ROUTINE_LINES_PER_SECOND = 2.0
private const val NANOS_PER_MILLI = 1_000_000
private const val SERVER_ERROR = 500

/** Writes one log line per call within rate limits; dropped lines are counted. */
internal class CallLog(registry: PrometheusRegistry) {
    private val notable = RateLimiter(MAX_NOTABLE_LINES_PER_SECOND)
    private val routine = RateLimiter(MAX_ROUTINE_LINES_PER_SECOND)
    private val dropped =
        Counter.builder()
            .name("boragelever_call_log_lines_dropped_total")
            .help("Lines about calls that were left out to bound the volume of the log.")
            .labelNames("kind")
            .register(registry)

    /** Writes the line of a call that has ended, unless its rate limit is exceeded. */
    fun write(call: CallDescription, summary: CallSummary) {
        val isNotable = summary.isNotable()
        val limiter = if (isNotable) notable else routine
        if (!limiter.tryAcquire()) {
            dropped.labelValues(if (isNotable) "notable" else "routine").inc()
            return
        }
        log.at(Level.INFO) {
            message = "[call] ${call.method} ${call.path} ended with ${summary.result()}"
            payload = fields(call, summary)
        }
    }

    private fun CallSummary.isNotable(): Boolean =
        !complete || attempts > 1 || refusal != null || outcome != Outcome.COMPLETED || statusCode >= SERVER_ERROR

    private fun CallSummary.result(): String = refusal?.let { "$statusCode ${it.text}" } ?: statusCode.toString()

    private fun fields(call: CallDescription, summary: CallSummary): Map<String, Any?> =
        mapOf(
            "request" to summary.requestId,
            "hop" to call.kind.label,
            "route" to summary.route?.value,
            "service" to summary.service?.value,
            "status" to summary.statusCode,
            "outcome" to summary.outcome?.text,
            "refusal" to summary.refusal?.text,
            "whole" to summary.complete,
            "tried" to summary.attemptResults.joinToString(", "),
            "config_version" to summary.configVersion?.value,
            "remaining_ms" to summary.remainingMillis,
            "duration_ms" to summary.durationNanos / NANOS_PER_MILLI,
        )
}
