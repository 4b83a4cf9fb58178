package boragelever.core.call

import boragelever.core.EventContext
import boragelever.core.routing.Endpoint
import boragelever.core.routing.RoutingSnapshot
import boragelever.core.store.RecordedResponse

/** Everything that can happen to a call. */
public sealed interface CallEvent {
    /** Time and randomness at which the event is reduced. */
    public val context: EventContext

    /**
     * The head of the request has been read and its body is held or ready to be streamed.
     *
     * Sent once more as the answer to [CallEffect.AwaitRouting].
     */
    public data class Arrived(
        override val context: EventContext,
        /** Snapshot in force, or `null` before the first configuration. */
        public val snapshot: RoutingSnapshot?,
        /** Calls in flight on this port, this one included. */
        public val callsInFlight: Int,
        /** Time since the start of this node. */
        public val uptimeMillis: Long = Long.MAX_VALUE,
    ) : CallEvent

    /** The store answered the claim. */
    public data class ClaimCompleted(override val context: EventContext, public val answer: ClaimOutcome) : CallEvent

    /** An endpoint was chosen for the next attempt. */
    public data class EndpointSelected(override val context: EventContext, public val endpoint: Endpoint) : CallEvent

    /** No endpoint is left for the next attempt, or the retry budget is spent. */
    public data class SelectionFailed(override val context: EventContext, public val reason: RefusalReason) : CallEvent

    /** A slot of the local upstream was granted. */
    public data class SlotGranted(override val context: EventContext) : CallEvent

    /** No slot of the local upstream was granted in time. */
    public data class SlotDenied(override val context: EventContext) : CallEvent

    /** The head of an attempt's answer has been read. */
    public data class ResponseStarted(
        override val context: EventContext,
        public val attempt: Int,
        public val response: ResponseInfo,
    ) : CallEvent

    /** An attempt ended without an answer. */
    public data class AttemptFailed(
        override val context: EventContext,
        public val attempt: Int,
        public val failure: AttemptFailure,
    ) : CallEvent

    /** The body of an attempt's answer has been passed on whole. */
    public data class BodyCompleted(override val context: EventContext, public val attempt: Int) : CallEvent

    /** The body of an attempt's answer broke off, was malformed or stalled. */
    public data class BodyFailed(
        override val context: EventContext,
        public val attempt: Int,
        /** Bytes of the body that the caller has been sent by this attempt. */
        public val sentBytes: Long,
        public val failure: BodyFailure,
    ) : CallEvent

    /** The time after which a second copy of a read is sent has passed. */
    public data class HedgeTimerFired(override val context: EventContext) : CallEvent

    /** The deadline of the call has passed before its answer started. */
    public data class DeadlinePassed(override val context: EventContext) : CallEvent

    /** The caller closed its connection. */
    public data class CallerDisconnected(override val context: EventContext) : CallEvent
}

/** Result of inserting a claim row. */
public sealed interface ClaimOutcome {
    /** The row was inserted: this call may run. */
    public data object Acquired : ClaimOutcome

    /** The same request has run; its answer is recorded. */
    public data class Recorded(public val response: RecordedResponse) : ClaimOutcome

    /** The same request was claimed before and has no recorded answer. */
    public data object Pending : ClaimOutcome

    /** The key was used with a different request. */
    public data object KeyReused : ClaimOutcome

    /** The store did not answer, so the call must not run. */
    public data object Failed : ClaimOutcome
}

/** How an attempt failed. */
public data class AttemptFailure(
    public val kind: FailureKind,
    /** True if any byte of the request may have left this node. */
    public val requestSent: Boolean,
)

/** Why a body was not passed on whole. */
public enum class BodyFailure {
    /** The sender closed or reset the connection. */
    RESET,

    /** No byte arrived within the idle timeout. */
    STALLED,

    /** The body was malformed. */
    MALFORMED,

    /** The receiver closed its connection or took no byte within the idle timeout. */
    RECEIVER_GONE,
}

/** Kind of a failed attempt. */
public enum class FailureKind {
    /** The connection was refused. */
    REFUSED,

    /** No connection within the time for connecting. */
    CONNECT_TIMEOUT,

    /** The connection was closed or reset before the head of the answer. */
    RESET,

    /** A reused connection was closed while the request was sent, but new connections are accepted. */
    CLOSED_IDLE,

    /** No head of an answer and no sign of life, for longer than a living node leaves between two. */
    SILENT,

    /** No head of an answer in the time for an attempt, although the receiver may well be alive. */
    SLOW,

    /** The answer was malformed. */
    MALFORMED,

    /** The request body could not be read from the caller. */
    REQUEST_BROKEN,
}
