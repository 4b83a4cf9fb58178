package boragelever.core.call

import boragelever.core.Fingerprint
import boragelever.core.InstanceId
import boragelever.core.ServiceName
import boragelever.core.config.ServiceConfig
import boragelever.core.control.UpstreamRecord
import boragelever.core.routing.CompiledRoute
import boragelever.core.routing.Endpoint
import boragelever.core.store.RowKey

/** State of one call on one node. */
public sealed interface CallState {
    /** A call on the node that the caller sent it to. */
    public data class FirstHop(
        public val request: CallRequest,
        public val phase: CallPhase = CallPhase.New,
        /** Monotonic time in milliseconds at which the call arrived; `null` before. */
        public val arrivedMillis: Long? = null,
        /** Set once the call has matched a route. */
        public val plan: CallPlan? = null,
        /** Attempts started so far. */
        public val started: Int = 0,
        /** Attempts that have or may have reached an instance. */
        public val instanceAttempts: Int = 0,
        /** Nodes that had no slot for this call. */
        public val hopSheds: Int = 0,
        /** Attempts whose answer is awaited, by number. */
        public val running: Map<Int, Endpoint> = emptyMap(),
        /** Instances that this call does not try again. */
        public val excluded: Set<InstanceId> = emptySet(),
        /** True once an attempt has ended without proof that it did not run. */
        public val mayHaveRun: Boolean = false,
        /** The claim row once it is held by this call. */
        public val claim: RowKey? = null,
        /** What the caller is told if no further attempt is made. */
        public val fallback: Refusal? = null,
    ) : CallState

    /** A call on the node beside its upstream. */
    public data class LastHop(
        public val request: LastHopRequest,
        public val phase: CallPhase = CallPhase.New,
        public val deadlineMillis: Long = 0,
        /** True while the call holds one of the upstream's slots. */
        public val holdsSlot: Boolean = false,
        public val upstream: UpstreamRecord? = null,
    ) : CallState
}

/** Progress of a call. */
public sealed interface CallPhase {
    /** Nothing has been decided. */
    public data object New : CallPhase

    /** The node has just started and does not know yet where the call can go. */
    public data object AwaitingRouting : CallPhase

    /** The claim row is being inserted. */
    public data object Claiming : CallPhase

    /** The caller was refused or is gone while the claim row is being inserted; a claim that is won is released. */
    public data object ClaimAbandoned : CallPhase

    /** An endpoint is being chosen or a slot is awaited. */
    public data object Selecting : CallPhase

    /** At least one attempt is running and no answer has been passed on. */
    public data object AwaitingResponse : CallPhase

    /** The answer of an attempt is being passed on. */
    public data class Streaming(
        public val attempt: Int,
        public val response: ResponseInfo,
        /** Bytes of the body that the caller has been sent before the running attempt. */
        public val sentBytes: Long = 0,
    ) : CallPhase

    /** The body broke off; another endpoint is being asked for the rest. */
    public data class Resuming(public val response: ResponseInfo, public val sentBytes: Long) : CallPhase

    /** Nothing more happens. */
    public data object Ended : CallPhase
}

/** What the configuration says about a call; fixed when it is matched, so that a change never splits a call. */
public data class CallPlan(
    public val route: CompiledRoute,
    public val service: ServiceName,
    public val serviceConfig: ServiceConfig,
    public val fingerprint: Fingerprint,
    /** Monotonic time in milliseconds at which the call is given up. */
    public val deadlineMillis: Long,
    /** Attempts that this call may make. */
    public val maxAttempts: Int,
    /** True if running the call twice does no harm. */
    public val idempotent: Boolean,
)

/** A call as it arrives at the node beside its upstream. */
public data class LastHopRequest(
    public val instance: InstanceId,
    public val fingerprint: Fingerprint? = null,
    /** Attempts that the call chain still allows. */
    public val attemptsLeft: Int = 1,
    /** Rank among the calls that wait for a slot; the lowest goes first. */
    public val priority: Int = 0,
    /** Time that the call chain still allows in milliseconds. */
    public val remainingMillis: Long? = null,
)

/** The parts of an answer's head that decide what happens to it. */
public data class ResponseInfo(
    public val statusCode: Int,
    /** Outcome that the last hop stated; `null` if an upstream answered directly. */
    public val outcome: Outcome? = null,
    public val refusal: RefusalReason? = null,
    /** Strong entity tag, or `null` if there is none or it is weak. */
    public val strongEntityTag: String? = null,
    /** Length of the body, or `null` if it is chunked. */
    public val bodyBytes: Long? = null,
    /** First byte position and total length of a `Content-Range`, or `null`. */
    public val range: ContentRange? = null,
)

/** Content of a `Content-Range` header. */
public data class ContentRange(public val firstByte: Long, public val lastByte: Long, public val totalBytes: Long?)
