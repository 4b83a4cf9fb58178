package boragelever.core.call

import boragelever.core.Digest
import boragelever.core.Fingerprint
import boragelever.core.InstanceId
import boragelever.core.ServiceName
import boragelever.core.config.QueueConfig
import boragelever.core.control.UpstreamRecord
import boragelever.core.routing.Endpoint
import boragelever.core.store.RecordedResponse
import boragelever.core.store.RowKey

/** Everything that a call can ask its runner to do. */
public sealed interface CallEffect {
    /** Inserts the claim row if it is absent; answered by [CallEvent.ClaimCompleted]. */
    public data class AcquireClaim(public val row: RowKey, public val requestDigest: Digest) : CallEffect

    /** Deletes the claim row of a call that provably did not run, so that a repeat may run. */
    public data class ReleaseClaim(public val row: RowKey) : CallEffect

    /** Stores the answer that the caller was sent in the claim row. */
    public data class RecordResponse(public val row: RowKey) : CallEffect

    /** Gathers the answer's body, up to [maxBodyBytes], while it is passed on. */
    public data class BufferResponse(public val maxBodyBytes: Long) : CallEffect

    /**
     * Waits until the snapshot has an endpoint of [service], or any configuration if that is `null`; answered by
     * [CallEvent.Arrived], at [untilMillis] at the latest.
     */
    public data class AwaitRouting(public val service: ServiceName?, public val untilMillis: Long) : CallEffect

    /** Chooses an endpoint; answered by [CallEvent.EndpointSelected] or [CallEvent.SelectionFailed]. */
    public data class SelectEndpoint(
        public val service: ServiceName,
        public val excluded: Set<InstanceId>,
        /** True if the attempt takes a token from the retry budget. */
        public val spendsBudget: Boolean,
    ) : CallEffect

    /** Waits for a slot of a local upstream; answered by [CallEvent.SlotGranted] or [CallEvent.SlotDenied]. */
    public data class AcquireSlot(
        public val upstream: UpstreamRecord,
        public val queue: QueueConfig,
        /** Rank among the waiting calls; the lowest goes first. */
        public val priority: Int = 0,
    ) : CallEffect

    /** Gives the slot back. */
    public data object ReleaseSlot : CallEffect

    /** Sends the request. */
    public data class StartAttempt(
        public val attempt: Int,
        public val target: AttemptTarget,
        /** Attempts that the receiver and everything behind it may make. */
        public val attemptsLeft: Int,
        /** Time for the head of the answer. */
        public val headTimeoutMillis: Long,
        /** Time that the receiver is given for the whole call, or `null` for no limit. */
        public val remainingMillis: Long?,
        /** Time without a byte of the body after which it counts as stalled. */
        public val idleTimeoutMillis: Long,
        /** The part of the body to ask for, or `null` for all of it. */
        public val resume: ResumePoint? = null,
        /** Rank of the call where it has to wait. */
        public val priority: Int = 0,
        /** False if a pooled connection might be closed by the receiver at the same moment and a repeat is barred. */
        public val repeatable: Boolean = true,
    ) : CallEffect

    /** Ends an attempt at once and closes its connection. */
    public data class CancelAttempt(public val attempt: Int) : CallEffect

    /** Sends [CallEvent.HedgeTimerFired] after a delay. */
    public data class SetHedgeTimer(public val delayMillis: Long) : CallEffect

    /** Sends [CallEvent.DeadlinePassed] at a monotonic time. */
    public data class SetDeadline(public val atMillis: Long) : CallEffect

    /** Passes the answer of an attempt on to the caller; answered by `BodyCompleted` or `BodyFailed`. */
    public data class ForwardResponse(public val attempt: Int, public val outcome: Outcome) : CallEffect

    /** Passes the body of a resumed attempt on, after what the caller has already been sent. */
    public data class ForwardRemainder(public val attempt: Int) : CallEffect

    /** Answers the caller with a recorded answer. */
    public data class ReplayResponse(public val response: RecordedResponse) : CallEffect

    /** Answers the caller with an error of this node. */
    public data class Refuse(public val refusal: Refusal) : CallEffect

    /** Ends the caller's connection so that the caller sees that the answer is not whole. */
    public data object AbortResponse : CallEffect

    /** Reports that the local upstream died while it was running calls. */
    public data class ReportUpstreamCrash(public val instance: InstanceId) : CallEffect
}

/** Where an attempt is sent. */
public sealed interface AttemptTarget {
    /** The node beside an instance. */
    public data class RemoteNode(public val endpoint: Endpoint, public val fingerprint: Fingerprint) : AttemptTarget

    /** An upstream beside this node. */
    public data class LocalUpstream(
        public val upstream: UpstreamRecord,
        public val fingerprint: Fingerprint? = null,
    ) : AttemptTarget
}

/** Where a broken body is resumed. */
public data class ResumePoint(public val fromByte: Long, public val strongEntityTag: String)

/** An error of this node that the caller is sent in place of an answer. */
public data class Refusal(
    public val statusCode: Int,
    public val outcome: Outcome,
    public val reason: RefusalReason,
)

/** Why a call was refused. */
public enum class RefusalReason(
    /** Value on the wire. */
    public val text: String,
    /** What the caller can do about it. */
    public val remedy: String,
) {
    NO_CONFIGURATION("no-configuration", "this node holds no configuration yet; retry on another node"),
    NODE_STOPPING("node-stopping", "this node is stopping; retry on another node"),
    TOO_MANY_CALLS("too-many-calls", "this node is at its limit of concurrent calls; retry later"),
    NO_ROUTE("no-route", "no route matches host, path and method; check the routes in the folder"),
    NO_ENDPOINT("no-endpoint", "no instance of the service can take the call; retry later"),
    QUARANTINED("quarantined", "the request crashed upstreams; change it or have the operators lift the quarantine"),
    KEY_REQUIRED("key-required", "this route needs an Idempotency-Key header"),
    KEY_REUSED("key-reused", "the Idempotency-Key was used with a different request; use a new key"),
    CLAIM_PENDING("claim-pending", "a call with this key was taken before and has no recorded answer yet; retry later"),
    ANSWER_NOT_KEPT("answer-not-kept", "the call ran, but the body of its answer is not kept or cannot be read now"),
    STORE_FAILED("store-failed", "the key could not be reserved because the store is not available; retry later"),
    BUDGET_SPENT("budget-spent", "the last attempt failed and the retry budget is spent; retry later"),
    ATTEMPT_FAILED("attempt-failed", "the upstream gave no answer; check whether the call took effect"),
    UNREACHABLE("unreachable", "no instance of the service could be reached; retry later"),
    DEADLINE("deadline", "the deadline passed; retry with more time"),
    UNKNOWN_INSTANCE("unknown-instance", "the instance is not beside this node; the calling node tries another"),
    NOT_SERVING("not-serving", "the instance takes no new work; the calling node tries another"),
    UPSTREAM_SHED("upstream-shed", "the instance refused the call before it ran; the calling node tries another"),
    SHED("shed", "all slots of the instance are busy; retry later"),
    UPSTREAM_REFUSED("upstream-refused", "the instance refused the connection; the calling node tries another"),
    ;

    public companion object {
        /** Returns the reason with the wire value [text], or `null` if there is none. */
        public fun parse(text: String?): RefusalReason? = entries.firstOrNull { it.text == text }
    }
}
