package boragelever.bench

import boragelever.core.ConfigVersion
import boragelever.core.Digest
import boragelever.core.IdempotencyKey
import boragelever.core.InstanceId
import boragelever.core.NodeId
import boragelever.core.call.Outcome

/** Identifies one request of a client; a repeat of the same call is another request. */
@JvmInline
internal value class RequestId(val value: String)

/** Position of an edit in the order in which the folder was edited. */
@JvmInline
internal value class EditNumber(val value: Int) : Comparable<EditNumber> {
    override fun compareTo(other: EditNumber): Int = value.compareTo(other.value)
}

/** What a call asks for. */
internal enum class CallKind { BOOKING, READ, DOWNLOAD }

/** Whether a body is the one that the request asked for. */
internal enum class BodyCheck {
    /** Whole and of this request. */
    WHOLE,

    /** Complete by its framing, but not what was asked for. */
    WRONG,

    /** An error without a body to check. */
    ERROR,
}

/** How a request ended for its client. */
internal sealed interface CallResult {
    /** An answer that is complete by its framing. */
    data class Answered(
        val statusCode: Int,
        val outcome: Outcome?,
        /** Value of the header `boragelever-reason`. */
        val reason: String?,
        val body: BodyCheck,
    ) : CallResult

    /** No connection, no answer in time, or an answer that broke off. */
    data class Broken(val problem: String) : CallResult
}

/** Condition of the store as set by the run. */
internal enum class StoreCondition { UP, DOWN, SLOW, LOSING }

/** Something that the run did to the system. */
internal sealed interface Fault {
    data class NodeStopped(val node: NodeId) : Fault

    data class NodeStarted(val node: NodeId) : Fault

    data class NodePaused(val node: NodeId) : Fault

    data class NodeResumed(val node: NodeId) : Fault

    data class StoreSet(val condition: StoreCondition) : Fault

    /** An upstream announced that it drains. */
    data class DrainAnnounced(val instance: InstanceId) : Fault

    data class UpstreamStopped(val instance: InstanceId) : Fault

    data class UpstreamStarted(val instance: InstanceId) : Fault

    /** The run applies no more faults. */
    data object Ended : Fault
}

/** Something seen during a run; times are wall-clock times of the one machine in milliseconds. */
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

    /** An upstream began to run a request. */
    data class Executed(
        override val atMillis: Long,
        val instance: InstanceId,
        val request: RequestId,
        val key: IdempotencyKey?,
    ) : Observation

    data class StatusSeen(
        override val atMillis: Long,
        val node: NodeId,
        val version: ConfigVersion,
        val digest: Digest,
        /** Time at which the node applied the version. */
        val appliedMillis: Long,
        /** True if the status names errors of a rejected folder. */
        val rejectsFolder: Boolean,
    ) : Observation

    data class FolderEdited(
        override val atMillis: Long,
        val edit: EditNumber,
        /** Digest of the folder after the edit, or `null` if the folder is invalid. */
        val digest: Digest?,
    ) : Observation

    /** Counters of control traffic since the start of the node's process. */
    data class VolumeRead(override val atMillis: Long, val node: NodeId, val volume: ControlVolume) : Observation

    data class FaultApplied(override val atMillis: Long, val fault: Fault) : Observation
}

/** Control traffic in bytes. */
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
