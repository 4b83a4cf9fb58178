package boragelever.bench

import boragelever.core.ConfigVersion
import boragelever.core.Digest
import boragelever.core.IdempotencyKey
import boragelever.core.InstanceId
import boragelever.core.NodeId
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.plus

/** Promise of the design page that a check belongs to. */
internal enum class Promise { P1, P2, P3, P4, P5, P6, P7, P8, P9 }

/** One kind of check with the promise that it covers. */
internal enum class Check(val promise: Promise, val meaning: String) {
    VERSION_BACK(Promise.P1, "a node's version went back within one life of its process"),
    VERSION_BACK_AFTER_RESTART(Promise.P1, "a restarted node applied less than it had before"),
    DANGLING_ROUTE(Promise.P2, "a lasting route was not found or named an unknown instance"),
    UNKNOWN_CONTENT(Promise.P3, "a node holds a configuration that the folder never had"),
    BAD_FOLDER_SILENT(Promise.P3, "a bad folder was not reported within 4 s"),
    WRONG_BODY(Promise.P4, "a complete answer was not the one asked for"),
    RAN_BUT_NOT_RUN(Promise.P5, "a request answered not-run was executed"),
    RAN_TWICE(Promise.P6, "an idempotency key was executed more than once"),
    RAN_WHILE_DRAINING(Promise.P7, "a call began more than 2 s after the upstream announced its drain"),
    CUT_BY_DRAIN(Promise.P8, "a call in flight at a drain was cut"),
    TWO_DIGESTS(Promise.P9, "two digests under one version"),
    REVERTED(Promise.P9, "a higher version holds an earlier edit"),
    LATE_ON_NODE(Promise.P9, "an accepted edit was not in force on a live node within 4 s"),
    LATE_WHEN_QUIET(Promise.P9, "an edit without a control fault was not in force everywhere within 4 s"),
    NEVER_IN_FORCE(Promise.P9, "the last edit was not in force on a node at the end"),
}

/** Whether a node can be expected to keep up. */
internal sealed interface NodeCondition {
    /** Running since [sinceMillis]; [joined] once its status has shown a configuration. */
    data class Live(val sinceMillis: Long, val joined: Boolean) : NodeCondition

    data object Paused : NodeCondition

    data object Stopped : NodeCondition
}

/** What was seen of a node. */
internal data class NodeHistory(
    val condition: NodeCondition,
    val seen: Observation.StatusSeen? = null,
    /** Highest version in all lives of the process. */
    val highest: ConfigVersion? = null,
    /** Edits by the time at which they or a later edit came into force. */
    val inForce: PersistentMap<EditNumber, Long> = persistentMapOf(),
    /** Times in which the node was paused or stopped, until it had joined again. */
    val absences: PersistentList<LongRange> = persistentListOf(),
    val absentSinceMillis: Long? = null,
    val volume: ControlVolume = ControlVolume(),
    val volumeOfLife: ControlVolume = ControlVolume(),
)

/** Drain of one upstream. */
internal data class Drain(
    val instance: InstanceId,
    val announcedMillis: Long,
    /** Time at which the upstream stopped, or `null` if it did not. */
    val stoppedMillis: Long? = null,
)

/** Everything that a report is made of. */
internal data class ChaosState(
    val checks: PersistentMap<Check, Int> = persistentMapOf(),
    val violations: PersistentMap<Check, PersistentList<String>> = persistentMapOf(),
    val nodes: PersistentMap<NodeId, NodeHistory> = persistentMapOf(),
    val digests: PersistentMap<ConfigVersion, Digest> = persistentMapOf(),
    val edits: PersistentList<Observation.FolderEdited> = persistentListOf(),
    /** Time at which a digest was first applied by a node. */
    val accepted: PersistentMap<Digest, Long> = persistentMapOf(),
    val rejections: PersistentList<Long> = persistentListOf(),
    val calls: PersistentList<Observation.CallEnded> = persistentListOf(),
    val executions: PersistentMap<RequestId, PersistentList<Observation.Executed>> = persistentMapOf(),
    val runsByKey: PersistentMap<IdempotencyKey, Int> = persistentMapOf(),
    val drains: PersistentList<Drain> = persistentListOf(),
    /** Times in which the store was not up. */
    val storeFaults: PersistentList<LongRange> = persistentListOf(),
    val storeFaultSinceMillis: Long? = null,
    val endedMillis: Long = 0,
) {
    /** Counts a check that fails with [problem], or passes if it is `null`. */
    fun check(check: Check, problem: String?): ChaosState {
        val counted = copy(checks = checks.put(check, (checks[check] ?: 0) + 1))
        if (problem == null) return counted
        val others = violations[check] ?: persistentListOf()
        return counted.copy(violations = violations.put(check, others.add(problem)))
    }

    fun withNode(node: NodeId, change: (NodeHistory) -> NodeHistory): ChaosState =
        copy(nodes = nodes.put(node, change(nodes[node] ?: NodeHistory(NodeCondition.Live(0, joined = false)))))

    /** Highest edit with [digest]. */
    fun editOf(digest: Digest): EditNumber? = edits.lastOrNull { it.digest == digest }?.edit
}

internal fun LongRange.overlaps(other: LongRange): Boolean = first <= other.last && other.first <= last
