package boragelever.core.call

import boragelever.core.EventContext
import boragelever.core.routing.Endpoint
import boragelever.core.routing.RoutingSnapshot
import boragelever.core.store.RecordedResponse

/** Event of a call. */
public sealed interface CallEvent {
    /** Time and random seed for reducing the event. */
    public val context: EventContext

    /**
     * The head of the request has been read and its body is buffered or ready to be streamed.
     *
     * Delivered again as the result of [CallEffect.AwaitRouting].
     */
    public data class Arrived(
        override val context: EventContext,
        /** Current snapshot, or `null` before the first configuration is applied. */
        public val snapshot: RoutingSnapshot?,
        /** Calls in flight on this port, including this one. */
        public val callsInFlight: Int,
        /** Time since this node started. */
        public val uptimeMillis: Long = Long.MAX_VALUE,
    ) : CallEvent

    /** The attempt to acquire the claim completed. */
    public data class ClaimCompleted(override val context: EventContext, public val outcome: ClaimOutcome) : CallEvent

    /** An endpoint was chosen for the next attempt. */
    public data class EndpointSelected(override val context: EventContext, public val endpoint: Endpoint) : CallEvent

    /** No endpoint is available for the next attempt, or the retry budget is spent. */
    public data class SelectionFailed(override val context: EventContext, public val reason: RefusalReason) : CallEvent

    /** A slot of the local upstream was granted. */
    public data class SlotGranted(override val context: EventContext) : CallEvent

    /** No slot of the local upstream was granted in time, or another call is the trial. */
    public data class SlotDenied(
        override val context: EventContext,
        public val reason: RefusalReason = RefusalReason.SHED,
    ) : CallEvent

    /** The response head of an attempt has been read. */
    public data class ResponseStarted(
        override val context: EventContext,
        public val attempt: Int,
        public val response: ResponseInfo,
    ) : CallEvent

    /** An attempt failed without a response. */
    public data class AttemptFailed(
        override val context: EventContext,
        public val attempt: Int,
        public val failure: AttemptFailure,
    ) : CallEvent

    /** The response body of an attempt has been forwarded completely. */
    public data class BodyCompleted(override val context: EventContext, public val attempt: Int) : CallEvent

    /** The response body of an attempt was truncated, malformed or stalled, or could not be forwarded. */
    public data class BodyFailed(
        override val context: EventContext,
        public val attempt: Int,
        /** Bytes of the body that this attempt has sent to the caller. */
        public val sentBytes: Long,
        public val failure: BodyFailure,
    ) : CallEvent

    /** The delay after which a hedged request is sent has passed. */
    public data class HedgeTimerFired(override val context: EventContext) : CallEvent

    /** The deadline of the call passed before its response started. */
    public data class DeadlinePassed(override val context: EventContext) : CallEvent

    /** The caller closed its connection. */
    public data class CallerDisconnected(override val context: EventContext) : CallEvent
}

/** Result of inserting a claim row. */
public sealed interface ClaimOutcome {
    /** The row was inserted, so this call may run. */
    public data object Acquired : ClaimOutcome

    /** The same request has already run and its response is recorded. */
    public data class Recorded(public val response: RecordedResponse) : ClaimOutcome

    /** The same request was claimed earlier and has no recorded response. */
    public data object Pending : ClaimOutcome

    /** The key was used with a different request. */
    public data object KeyReused : ClaimOutcome

    /** The store did not respond, so the call must not run. */
    public data object Failed : ClaimOutcome
}

/** Failure of an attempt. */
public data class AttemptFailure(
    public val kind: FailureKind,
    /** True if any byte of the request may have left this node. */
    public val requestSent: Boolean,
)

/** Why a body could not be forwarded completely. */
public enum class BodyFailure {
    /** The sender closed or reset the connection. */
    RESET,

    /** No byte arrived within the idle timeout. */
    STALLED,

    /** The body was malformed. */
    MALFORMED,

    /** The receiver closed its connection or accepted no byte within the idle timeout. */
    RECEIVER_GONE,
}

/** Kind of a failed attempt. */
public enum class FailureKind {
    /** The connection was refused. */
    REFUSED,

    /** No connection was established within the connect timeout. */
    CONNECT_TIMEOUT,

    /** The connection was closed or reset before the response head. */
    RESET,

    /** A pooled connection was closed while the request was sent, but new connections are accepted. */
    CLOSED_IDLE,

    /** Neither a response head nor an interim response arrived in the time within which a live node sends one. */
    SILENT,

    /** No response head within the attempt timeout, although the receiver may be alive. */
    SLOW,

    /** The response was malformed. */
    MALFORMED,

    /** The request body could not be read from the caller. */
    REQUEST_BROKEN,
}
