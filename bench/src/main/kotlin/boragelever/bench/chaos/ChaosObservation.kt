package boragelever.bench.chaos

import boragelever.core.ConfigVersion
import boragelever.core.Digest
import boragelever.core.IdempotencyKey
import boragelever.core.InstanceId
import boragelever.core.NodeId
import boragelever.core.call.Outcome

/** Identifies one request of a caller; a client retry of the same call is another request. */
@JvmInline
internal value class RequestId(val value: String)

/** Position of an edit in the sequence of edits of the folder. */
@JvmInline
internal value class EditNumber(val value: Int) : Comparable<EditNumber> {
    override fun compareTo(other: EditNumber): Int = value.compareTo(other.value)
}

/** Kind of call that the load generator sends. */
internal enum class CallKind { BOOKING, READ, DOWNLOAD }

/** Result of comparing a response body with the body that the request must get. */
internal enum class BodyCheck {
    /** Complete, and the body for this request. */
    EXPECTED,

    /** Complete by its framing, but not the body for this request. */
    UNEXPECTED,

    /** An error response, whose body is not checked. */
    ERROR,
}

/** How a request ended for its caller. */
internal sealed interface CallResult {
    /** A response that is complete by its framing. */
    data class Responded(
        val statusCode: Int,
        val outcome: Outcome?,
        /** Value of the header `boragelever-reason`. */
        val reason: String?,
        val body: BodyCheck,
    ) : CallResult

    /** No connection, no response in time, or a truncated response. */
    data class Failed(val problem: String) : CallResult
}

/** Condition of the store as set by `chaos/run`. */
internal enum class StoreCondition { UP, DOWN, SLOW, LOSING }

/** A fault that `chaos/run` applied, or the end of one. */
internal sealed interface Fault {
    data class NodeStopped(val node: NodeId) : Fault

    data class NodeStarted(val node: NodeId) : Fault

    data class NodePaused(val node: NodeId) : Fault

    data class NodeResumed(val node: NodeId) : Fault

    data class StoreConditionChanged(val condition: StoreCondition) : Fault

    /** The upstream was told to drain. */
    data class DrainStarted(val instance: InstanceId) : Fault

    data class UpstreamStopped(val instance: InstanceId) : Fault

    data class UpstreamStarted(val instance: InstanceId) : Fault

    /** No more faults follow. */
    data object Ended : Fault
}

/**
 * Something observed during a run.
 *
 * Times are in milliseconds since the epoch. All processes run on one machine, so the times are comparable.
 */
internal sealed interface Observation {
    val atMillis: Long

    data class CallEnded(
        override val atMillis: Long,
        val startedMillis: Long,
        val request: RequestId,
        val node: NodeId,
        val kind: CallKind,
        val result: CallResult,
    ) : Observation

    /** An upstream started to execute a request. */
    data class Executed(
        override val atMillis: Long,
        val instance: InstanceId,
        val request: RequestId,
        val key: IdempotencyKey?,
    ) : Observation

    data class StatusObserved(
        override val atMillis: Long,
        val node: NodeId,
        val version: ConfigVersion,
        val digest: Digest,
        /** Time at which the node applied the version. */
        val appliedMillis: Long,
        /** True if the status lists errors of a rejected folder. */
        val rejectsFolder: Boolean,
    ) : Observation

    data class FolderEdited(
        override val atMillis: Long,
        val edit: EditNumber,
        /** Digest of the folder after the edit, or `null` if the folder is invalid. */
        val digest: Digest?,
    ) : Observation

    /** Counters of control traffic since the node's process started. */
    data class VolumeRead(override val atMillis: Long, val node: NodeId, val volume: ControlVolume) : Observation

    data class FaultApplied(override val atMillis: Long, val fault: Fault) : Observation
}

/** Volume of control traffic. */
internal data class ControlVolume(
    val receivedBytes: Long = 0,
    val sentBytes: Long = 0,
    val receivedAcrossRegionsBytes: Long = 0,
    val sentAcrossRegionsBytes: Long = 0,
) {
    operator fun plus(other: ControlVolume): ControlVolume =
        ControlVolume(
            receivedBytes + other.receivedBytes,
            sentBytes + other.sentBytes,
            receivedAcrossRegionsBytes + other.receivedAcrossRegionsBytes,
            sentAcrossRegionsBytes + other.sentAcrossRegionsBytes,
        )
}
