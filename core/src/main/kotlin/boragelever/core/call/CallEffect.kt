package boragelever.core.call

import boragelever.core.Digest
import boragelever.core.Fingerprint
import boragelever.core.InstanceId
import boragelever.core.ServiceName
import boragelever.core.config.QueueConfig
import boragelever.core.control.UpstreamRecord
import boragelever.core.routing.Endpoint
import boragelever.core.routing.TrialId
import boragelever.core.store.RecordedResponse
import boragelever.core.store.RowKey

/** Effect of a call, which the call's runner executes. */
public sealed interface CallEffect {
    /** Inserts the claim row if it is absent; results in [CallEvent.ClaimCompleted]. */
    public data class AcquireClaim(public val row: RowKey, public val requestDigest: Digest) : CallEffect

    /** Deletes the claim row of a call that provably did not run, so that a client retry may run. */
    public data class ReleaseClaim(public val row: RowKey) : CallEffect

    /** Records the response that the caller received in the claim row. */
    public data class RecordResponse(public val row: RowKey) : CallEffect

    /** Buffers up to [maxBodyBytes] of the response body while it is forwarded. */
    public data class BufferResponse(public val maxBodyBytes: Long) : CallEffect

    /**
     * Waits until the snapshot has an endpoint of [service], or until there is a configuration if [service] is `null`.
     * Results in [CallEvent.Arrived], no later than [untilMillis].
     */
    public data class AwaitRouting(public val service: ServiceName?, public val untilMillis: Long) : CallEffect

    /** Chooses an endpoint; results in [CallEvent.EndpointSelected] or [CallEvent.SelectionFailed]. */
    public data class SelectEndpoint(
        public val service: ServiceName,
        public val excluded: Set<InstanceId>,
        /** True if the attempt consumes a token of the retry budget. */
        public val spendsBudget: Boolean,
        /** The only instance that may be chosen, or `null` for any. */
        public val only: InstanceId? = null,
    ) : CallEffect

    /** Waits for a slot of a local upstream; results in [CallEvent.SlotGranted] or [CallEvent.SlotDenied]. */
    public data class AcquireSlot(
        public val upstream: UpstreamRecord,
        public val queue: QueueConfig,
        /** Priority among the waiting calls; the lowest value goes first. */
        public val priority: Int = 0,
        /** The trial that the call wants to be, of which one call at a time is granted a slot; `null` if none. */
        public val trial: TrialId? = null,
    ) : CallEffect

    /** Releases the slot of the local upstream. */
    public data object ReleaseSlot : CallEffect

    /** Starts an attempt: sends the request to [target]. */
    public data class StartAttempt(
        public val attempt: Int,
        public val target: AttemptTarget,
        /** Attempts that the receiver and the services called by it may make. */
        public val attemptsLeft: Int,
        /** Timeout for the response head. */
        public val headTimeoutMillis: Long,
        /** Remaining time of the call that is sent to the receiver, or `null` for no limit. */
        public val remainingMillis: Long?,
        /** Maximum time between two bytes of the body; beyond it the body counts as stalled. */
        public val idleTimeoutMillis: Long,
        /** The position from which to request the body, or `null` to request all of it. */
        public val resume: ResumePoint? = null,
        /** Priority of the call in the queue of the receiver. */
        public val priority: Int = 0,
        /** False if the request must not be resent; a pooled connection that may close meanwhile is then unsuitable. */
        public val repeatable: Boolean = true,
    ) : CallEffect

    /** Cancels an attempt and closes its connection. */
    public data class CancelAttempt(public val attempt: Int) : CallEffect

    /** Delivers [CallEvent.HedgeTimerFired] after a delay. */
    public data class SetHedgeTimer(public val delayMillis: Long) : CallEffect

    /** Delivers [CallEvent.DeadlinePassed] at a monotonic time. */
    public data class SetDeadline(public val atMillis: Long) : CallEffect

    /** Forwards the response of an attempt; results in [CallEvent.BodyCompleted] or [CallEvent.BodyFailed]. */
    public data class ForwardResponse(public val attempt: Int, public val outcome: Outcome) : CallEffect

    /** Forwards the body of a resumed attempt, after the part that the caller has already received. */
    public data class ForwardRemainder(public val attempt: Int) : CallEffect

    /** Sends a recorded response to the caller. */
    public data class ReplayResponse(public val response: RecordedResponse) : CallEffect

    /** Sends a refusal from this node to the caller. */
    public data class Refuse(public val refusal: Refusal) : CallEffect

    /** Closes the caller's connection so that the caller detects that the response is truncated. */
    public data object AbortResponse : CallEffect

    /** Reports that the local upstream crashed while it was running calls. */
    public data class ReportUpstreamCrash(public val instance: InstanceId) : CallEffect
}

/** Target of an attempt. */
public sealed interface AttemptTarget {
    /** The last hop: the node that proxies calls to the instance of [endpoint]. */
    public data class RemoteNode(public val endpoint: Endpoint, public val fingerprint: Fingerprint) : AttemptTarget

    /** A local upstream of this node. */
    public data class LocalUpstream(
        public val upstream: UpstreamRecord,
        public val fingerprint: Fingerprint? = null,
        /** True if the call is the trial of a quarantined request. */
        public val isTrial: Boolean = false,
    ) : AttemptTarget
}

/** Position from which a truncated body is resumed, and the entity tag that identifies the body. */
public data class ResumePoint(public val fromByte: Long, public val strongEntityTag: String)

/** An error response that this node sends instead of a response of an upstream. */
public data class Refusal(
    public val statusCode: Int,
    public val outcome: Outcome,
    public val reason: RefusalReason,
)

/** Why a call was refused. */
public enum class RefusalReason(
    /** Value in headers and logs. */
    public val text: String,
    /** Explanation and remedy for the caller. */
    public val remedy: String,
) {
    NO_CONFIGURATION("no-configuration", "this node has no configuration yet; retry on another node"),
    NODE_STOPPING("node-stopping", "this node is shutting down; retry on another node"),
    TOO_MANY_CALLS("too-many-calls", "this node is at its limit of concurrent calls; retry later"),
    NO_ROUTE("no-route", "no route matches host, path and method; check the routes in the folder"),
    NO_ENDPOINT("no-endpoint", "no instance of the service is available; retry later"),
    QUARANTINED("quarantined", "the request crashed upstreams; change it or ask the operators to lift the quarantine"),
    KEY_REQUIRED("key-required", "this route needs an Idempotency-Key header"),
    KEY_REUSED("key-reused", "the Idempotency-Key was used with a different request; use a new key"),
    CLAIM_PENDING("claim-pending", "a call with this key has no recorded response yet; retry later"),
    RESPONSE_NOT_RECORDED("answer-not-kept", "the call ran, but its response body was not recorded or cannot be read"),
    STORE_FAILED("store-failed", "the key could not be reserved because the store is unavailable; retry later"),
    BUDGET_SPENT("budget-spent", "the last attempt failed and the retry budget is spent; retry later"),
    ATTEMPT_FAILED("attempt-failed", "the upstream sent no usable response; check whether the call took effect"),
    UNREACHABLE("unreachable", "no instance of the service could be reached; retry later"),
    DEADLINE("deadline", "the deadline of the call passed; retry with a longer deadline"),
    UNKNOWN_INSTANCE("unknown-instance", "the instance is not registered at this node; the first hop tries another"),
    NOT_SERVING("not-serving", "the instance accepts no new calls; the first hop tries another"),
    UPSTREAM_SHED("upstream-shed", "the instance refused the call before it ran; the first hop tries another"),
    SHED("shed", "all slots of the instance are busy; retry later"),
    UPSTREAM_REFUSED("upstream-refused", "the instance refused the connection; the first hop tries another"),
    ;

    public companion object {
        /** Returns the reason whose [RefusalReason.text] is [text], or `null` if there is none. */
        public fun parse(text: String?): RefusalReason? = entries.firstOrNull { it.text == text }
    }
}
