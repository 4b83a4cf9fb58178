package boragelever.node.proxy

import boragelever.core.ConfigVersion
import boragelever.core.InstanceId
import boragelever.core.RouteName
import boragelever.core.ServiceName
import boragelever.core.call.Outcome
import boragelever.core.call.RefusalReason
import boragelever.core.routing.LocalityTier

/** The hop of a call that a node handles. */
public enum class HopKind {
    /** First hop: the node that received the call from the caller. */
    CALLING,

    /** Last hop: the node on the host of the upstream. */
    LAST,
}

/** What is known about a call when its head has been read. */
public data class CallDescription(
    public val kind: HopKind,
    public val method: String,
    public val path: String,
    /** W3C `traceparent` as received, or `null`. */
    public val traceparent: String?,
)

/** What is known about a call when it has ended. */
public data class CallSummary(
    /** Status of the response to the caller, or 0 if none was sent. */
    public val statusCode: Int,
    /** Outcome stated to the caller, or `null` if it is not known. */
    public val outcome: Outcome?,
    public val durationNanos: Long,
    /** Number of attempts started. */
    public val attempts: Int,
    public val route: RouteName? = null,
    public val service: ServiceName? = null,
    public val tier: LocalityTier? = null,
    /** Request id in the caller's header for it, or `null`. */
    public val requestId: String? = null,
    /** Why this node refused the call, or `null` if it did not. */
    public val refusal: RefusalReason? = null,
    /** Instance and result of each ended attempt, in order, separated by a space. */
    public val attemptResults: List<String> = emptyList(),
    /** Version of the configuration applied to the call, or `null` if there was none. */
    public val configVersion: ConfigVersion? = null,
    /** Time until the deadline of the caller at the arrival of the call, or `null` if it set none. */
    public val remainingMillis: Long? = null,
    /** False if the response was truncated or the caller disconnected before its end. */
    public val complete: Boolean = true,
)

/** Records spans and metrics of calls. Called on traffic threads, so it must not block. */
public interface ProxyTelemetry {
    /** Starts the span of one hop. */
    public fun callStarted(call: CallDescription): CallTrace

    public companion object {
        /** Records nothing and forwards a received `traceparent` unchanged. */
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

    /** Ends the span; [result] is the status code or the failure kind in lower case. */
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
