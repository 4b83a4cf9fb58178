package boragelever.core.call

import boragelever.core.Fingerprint
import boragelever.core.InstanceId
import boragelever.core.ServiceName
import boragelever.core.config.ServiceConfig
import boragelever.core.control.UpstreamRecord
import boragelever.core.routing.CompiledRoute
import boragelever.core.routing.Endpoint
import boragelever.core.routing.TrialId
import boragelever.core.store.RowKey

/** State of one call on one node. */
public sealed interface CallState {
    /** A call on the node that received it from the caller. */
    public data class FirstHop(
        public val request: CallRequest,
        public val phase: CallPhase = CallPhase.New,
        /** Monotonic time in milliseconds at which the call arrived; `null` before that. */
        public val arrivedMillis: Long? = null,
        /** Set when the call has matched a route. */
        public val plan: CallPlan? = null,
        /** Number of attempts started so far. */
        public val startedAttempts: Int = 0,
        /** Number of attempts that reached or may have reached an instance. */
        public val instanceAttempts: Int = 0,
        /** Number of nodes that shed this call because no slot was free. */
        public val hopSheds: Int = 0,
        /** Endpoints of attempts in progress, by attempt number. */
        public val inFlight: Map<Int, Endpoint> = emptyMap(),
        /** Instances that this call must not try again. */
        public val excludedInstances: Set<InstanceId> = emptySet(),
        /** True if an attempt has ended without proof that it did not run. */
        public val mayHaveRun: Boolean = false,
        /** Key of the claim row while this call holds the claim. */
        public val claim: RowKey? = null,
        /**
         * Monotonic time in milliseconds until which the response is read only to be recorded, because its caller no
         * longer waits for it; `null` while it does.
         */
        public val recordUntilMillis: Long? = null,
        /** Refusal to send if no further attempt is made. */
        public val fallbackRefusal: Refusal? = null,
    ) : CallState

    /** A call on the node of the upstream. */
    public data class LastHop(
        public val request: LastHopRequest,
        public val phase: CallPhase = CallPhase.New,
        public val deadlineMillis: Long = 0,
        /** True while the call holds a slot of the upstream. */
        public val holdsSlot: Boolean = false,
        public val upstream: UpstreamRecord? = null,
        /** Set if the call is the trial of a quarantined request. */
        public val trial: TrialId? = null,
    ) : CallState
}

/** Progress of a call. */
public sealed interface CallPhase {
    /** No event has been processed. */
    public data object New : CallPhase

    /** The node has just started and does not know the route or the endpoints of the call yet. */
    public data object AwaitingRouting : CallPhase

    /** The claim row is being inserted. */
    public data object Claiming : CallPhase

    /** The caller was refused or disconnected while the claim row is being inserted; an acquired claim is released. */
    public data object ClaimAbandoned : CallPhase

    /** An endpoint is being selected (first hop) or a slot is being awaited (last hop). */
    public data object Selecting : CallPhase

    /** At least one attempt is in progress and no response has been forwarded. */
    public data object Awaiting : CallPhase

    /** The response of an attempt is being forwarded. */
    public data class Streaming(
        public val attempt: Int,
        public val response: ResponseInfo,
        /** Bytes of the body that the caller received before the current attempt. */
        public val sentBytes: Long = 0,
    ) : CallPhase

    /** The body was truncated; the rest is being requested from another endpoint. */
    public data class Resuming(public val response: ResponseInfo, public val sentBytes: Long) : CallPhase

    /** Final phase; further events are ignored. */
    public data object Ended : CallPhase
}

/** Settings of a call, taken from the configuration when the route matches, so that updates do not affect the call. */
public data class CallPlan(
    public val route: CompiledRoute,
    public val service: ServiceName,
    public val serviceConfig: ServiceConfig,
    public val fingerprint: Fingerprint,
    /** Monotonic time in milliseconds of the call's deadline, until which a response must have started. */
    public val deadlineMillis: Long,
    /** Monotonic time in milliseconds at which a response in progress is cut off, or `null` for no limit. */
    public val endMillis: Long?,
    /** Maximum number of attempts that reach an instance. */
    public val maxAttempts: Int,
    /** True if running the call more than once does no harm. */
    public val idempotent: Boolean,
    /** The only instance that may get this call, as the trial of a quarantined request, or `null` for no such limit. */
    public val trialInstance: InstanceId? = null,
)

/** Request of a call as received by the last hop. */
public data class LastHopRequest(
    public val instance: InstanceId,
    public val fingerprint: Fingerprint? = null,
    /** Remaining attempts of the call chain. */
    public val attemptsLeft: Int = 1,
    /** Priority among the calls that wait for a slot; the lowest value goes first. */
    public val priority: Int = 0,
    /** Remaining time of the call chain in milliseconds. */
    public val remainingMillis: Long? = null,
)

/** The parts of a response head that determine how the response is handled. */
public data class ResponseInfo(
    public val statusCode: Int,
    /** Outcome stated by the last hop; `null` if an upstream responded directly. */
    public val outcome: Outcome? = null,
    public val refusal: RefusalReason? = null,
    /** Strong entity tag, or `null` if there is none or it is weak. */
    public val strongEntityTag: String? = null,
    /** Length of the body, or `null` if it is chunked. */
    public val bodyBytes: Long? = null,
    /** Content of the `Content-Range` header, or `null` if there is none. */
    public val range: ContentRange? = null,
)

/** Content of a `Content-Range` header; [totalBytes] is `null` if unknown. */
public data class ContentRange(public val firstByte: Long, public val lastByte: Long, public val totalBytes: Long?)
