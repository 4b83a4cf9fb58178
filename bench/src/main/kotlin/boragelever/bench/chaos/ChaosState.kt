package boragelever.bench.chaos

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

/** A promise of the design page. */
internal enum class Promise { P1, P2, P3, P4, P5, P6, P7, P8, P9 }

/** A check of [promise]; [meaning] says what a violation is. */
internal enum class Check(val promise: Promise, val meaning: String) {
    VERSION_DECREASED(Promise.P1, "a node's version decreased while its process ran"),
    VERSION_DECREASED_AFTER_RESTART(Promise.P1, "a restarted node applied a lower version than before"),
    DANGLING_ROUTE(Promise.P2, "a permanent route was missing or named an unknown instance"),
    UNKNOWN_CONTENT(Promise.P3, "a node applied a configuration that the folder never had"),
    INVALID_FOLDER_NOT_REPORTED(Promise.P3, "an invalid folder was not reported within 4 s"),
    WRONG_BODY(Promise.P4, "a complete response had a body of another request"),
    EXECUTED_BUT_NOT_RUN(Promise.P5, "a request with the outcome not-run was executed"),
    EXECUTED_TWICE(Promise.P6, "an idempotency key was executed more than once"),
    EXECUTED_WHILE_DRAINING(Promise.P7, "a call started more than 2 s after the upstream started to drain"),
    INTERRUPTED_BY_DRAIN(Promise.P8, "a call in flight at a drain was interrupted"),
    DIGEST_CONFLICT(Promise.P9, "two nodes applied different digests under one version"),
    EDIT_REVERTED(Promise.P9, "a higher version contains an earlier edit"),
    LATE_ON_NODE(Promise.P9, "a published edit was not applied on a live node within 4 s"),
    LATE_UNDISTURBED(Promise.P9, "an edit with no node or store fault near it was not applied on all nodes within 4 s"),
    LAST_EDIT_NOT_APPLIED(Promise.P9, "the last edit was not applied on a node at the end"),
}

/** Whether a node can be expected to apply new versions in time. */
internal sealed interface NodeCondition {
    /** Running since [sinceMillis]; [hasJoined] once its status has shown a configuration. */
    data class Live(val sinceMillis: Long, val hasJoined: Boolean) : NodeCondition

    data object Paused : NodeCondition

    data object Stopped : NodeCondition
}

/** The observations of one node. */
internal data class NodeHistory(
    val condition: NodeCondition,
    val lastStatus: Observation.StatusObserved? = null,
    /** Highest version over all processes of the node. */
    val highestVersion: ConfigVersion? = null,
    /** Time at which the node applied each edit or a later one. */
    val appliedMillisByEdit: PersistentMap<EditNumber, Long> = persistentMapOf(),
    /** Periods from a pause or stop until the node showed a configuration again. */
    val absences: PersistentList<LongRange> = persistentListOf(),
    val absentSinceMillis: Long? = null,
    /** Control traffic of the earlier processes of the node. */
    val earlierVolume: ControlVolume = ControlVolume(),
    /** Control traffic of the current process. */
    val processVolume: ControlVolume = ControlVolume(),
)

/** A drain of one upstream. */
internal data class Drain(
    val instance: InstanceId,
    val startedMillis: Long,
    /** Time at which the upstream stopped, or `null` if it has not. */
    val stoppedMillis: Long? = null,
)

/** Everything that the report is computed from. */
internal data class ChaosState(
    val checks: PersistentMap<Check, Int> = persistentMapOf(),
    val violations: PersistentMap<Check, PersistentList<String>> = persistentMapOf(),
    val nodes: PersistentMap<NodeId, NodeHistory> = persistentMapOf(),
    val digests: PersistentMap<ConfigVersion, Digest> = persistentMapOf(),
    val edits: PersistentList<Observation.FolderEdited> = persistentListOf(),
    /** Time at which the first node applied each digest. */
    val firstAppliedMillis: PersistentMap<Digest, Long> = persistentMapOf(),
    val rejections: PersistentList<Long> = persistentListOf(),
    val calls: PersistentList<Observation.CallEnded> = persistentListOf(),
    val executions: PersistentMap<RequestId, PersistentList<Observation.Executed>> = persistentMapOf(),
    val executionsByKey: PersistentMap<IdempotencyKey, Int> = persistentMapOf(),
    val drains: PersistentList<Drain> = persistentListOf(),
    /** Periods in which the store was not up. */
    val storeFaults: PersistentList<LongRange> = persistentListOf(),
    val storeFaultSinceMillis: Long? = null,
    val endedMillis: Long = 0,
) {
    /** Counts one run of [check], which fails with [problem] or passes if it is `null`. */
    fun check(check: Check, problem: String?): ChaosState {
        val counted = copy(checks = checks.put(check, (checks[check] ?: 0) + 1))
        if (problem == null) return counted
        val others = violations[check] ?: persistentListOf()
        return counted.copy(violations = violations.put(check, others.add(problem)))
    }

    fun withNode(node: NodeId, change: (NodeHistory) -> NodeHistory): ChaosState =
        copy(nodes = nodes.put(node, change(nodes[node] ?: NodeHistory(NodeCondition.Live(0, hasJoined = false)))))

    /** Latest edit that gave the folder [digest], or `null` if none did. */
    fun editOf(digest: Digest): EditNumber? = edits.lastOrNull { it.digest == digest }?.edit
}

internal fun LongRange.overlaps(other: LongRange): Boolean = first <= other.last && other.first <= last
