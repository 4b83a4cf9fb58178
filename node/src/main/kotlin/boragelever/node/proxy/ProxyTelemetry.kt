package boragelever.node.proxy

import boragelever.core.ConfigVersion
import boragelever.core.InstanceId
import boragelever.core.RouteName
import boragelever.core.ServiceName
import boragelever.core.call.Outcome
import boragelever.core.call.RefusalReason
import boragelever.core.routing.LocalityTier

/** Which part of a node carries a call. */
public enum class HopKind {
    /** The node that the caller sent the call to. */
    CALLING,

    /** The node beside the upstream. */
    LAST,
}

/** What is known of a call when its head has been read. */
public data class CallDescription(
    public val kind: HopKind,
    public val method: String,
    public val path: String,
    /** W3C `traceparent` as received, or `null`. */
    public val traceparent: String?,
)

/** What is known of a call when it has ended. */
public data class CallSummary(
    public val statusCode: Int,
    public val outcome: Outcome?,
    public val durationNanos: Long,
    public val attempts: Int,
    public val route: RouteName? = null,
    public val service: ServiceName? = null,
    public val tier: LocalityTier? = null,
    /** Identifier of the request in the caller's dialect, or `null`. */
    public val requestId: String? = null,
    /** Why this node refused the call, or `null` if it did not. */
    public val refusal: RefusalReason? = null,
    /** Instances to which attempts were sent, with their results, in order. */
    public val attemptResults: List<String> = emptyList(),
    /** Version of the configuration that decided the call, or `null` if there was none. */
    public val configVersion: ConfigVersion? = null,
    /** Time that the caller still gave at the arrival, or `null` if it set no deadline. */
    public val remainingMillis: Long? = null,
    /** False if the caller's connection was ended abnormally or the caller was gone. */
    public val complete: Boolean = true,
)

/** Records spans and metrics of calls. Called on traffic threads; must not block. */
public interface ProxyTelemetry {
    /** Starts the span of one hop. */
    public fun callStarted(call: CallDescription): CallTrace

    public companion object {
        /** Records nothing and carries a received `traceparent` on unchanged. */
        public val NONE: ProxyTelemetry = NoopTelemetry
    }
}

/** The span of one hop of a call. */
public interface CallTrace {
    /** Starts the span of one attempt. */
    public fun attemptStarted(number: Int, instance: InstanceId): AttemptTrace

    /** Ends the span and records the metrics of the call. */
    public fun ended(summary: CallSummary)
}

/** The span of one attempt. */
public interface AttemptTrace {
    /** W3C `traceparent` to send with the attempt, or `null`. */
    public val traceparent: String?

    /** Ends the span; [result] is the status code or the kind of failure. */
    public fun ended(result: String, outcome: Outcome?)
}

private object NoopTelemetry : ProxyTelemetry {
    override fun callStarted(call: CallDescription): CallTrace =
        object : CallTrace {
            override fun attemptStarted(number: Int, instance: InstanceId): AttemptTrace =
                object : AttemptTrace {
                    override val traceparent: String? = call.traceparent

                    override fun ended(result: String, outcome: Outcome?) = Unit
                }

            override fun ended(summary: CallSummary) = Unit
        }
}
