package boragelever.standin

import boragelever.core.store.EntityTag
import boragelever.core.store.ImmutableBytes
import boragelever.core.store.ObjectEntry
import boragelever.core.store.ObjectKey
import boragelever.core.store.Revision
import boragelever.core.store.Row
import boragelever.core.store.RowKey
import boragelever.core.store.StoreCommand
import boragelever.core.store.StoreResult
import kotlinx.serialization.Serializable
import java.util.SortedMap

/** State of the platform stand-in: stored rows and objects, injected faults and counters. */
public data class PlatformState(
    public val rows: Map<RowKey, Row> = emptyMap(),
    public val objects: Map<ObjectKey, StoredObject> = emptyMap(),
    /** Last allocated revision; shared by all rows, so that a row that is deleted and reinserted gets a new one. */
    public val lastRevision: Long = 0,
    /** Configuration that the operator wrote to the store, or `null` before the first write. */
    public val operatorConfig: OperatorRow? = null,
    public val faults: PlatformFaults = PlatformFaults(),
    public val counts: PlatformCounts = PlatformCounts(),
)

/** An object in the object store. */
public data class StoredObject(public val bytes: ImmutableBytes, public val entityTag: EntityTag)

/** Text of the operator's configuration and the revision of its last write. */
public data class OperatorRow(public val text: String, public val revision: Revision)

/** Faults that the stand-in injects. All are off by default. */
@Serializable
public data class PlatformFaults(
    /** Closes each connection without executing the request. */
    public val down: Boolean = false,
    /** Responds to each request with status 503 without executing it. */
    public val refuse: Boolean = false,
    /** Delay of each response after the request was executed, in milliseconds. */
    public val delayMillis: Long = 0,
    /** Percentage of writes whose response is lost after the write took effect. */
    public val lostAnswersPercent: Int = 0,
    /** Random seed that selects the lost responses. */
    public val seed: Long = 0,
)

/** Counters of requests that reached the stand-in since it started, including failed ones. */
@Serializable
public data class PlatformCounts(
    public val reads: Long = 0,
    public val writes: Long = 0,
    public val conflicts: Long = 0,
    public val lostAnswers: Long = 0,
    public val bytesRead: Long = 0,
    public val bytesWritten: Long = 0,
)

/** A request to the stand-in. */
public sealed interface PlatformRequest {
    /** Executes [command]; documents are stored as objects. */
    public data class Execute(public val command: StoreCommand) : PlatformRequest

    /** Writes the operator's configuration. */
    public data class WriteOperatorConfig(public val text: String) : PlatformRequest

    /** Replaces the injected faults. */
    public data class SetFaults(public val faults: PlatformFaults) : PlatformRequest

    /** Returns the counters. */
    public data object ReadCounts : PlatformRequest
}

/** Response of the stand-in to a request. */
public sealed interface PlatformReply {
    /** Sends [result] after [delayMillis]. */
    public data class Completed(public val result: StoreResult, public val delayMillis: Long = 0) : PlatformReply

    /** Closes the connection after [delayMillis]; [executed] is true if the request took effect. */
    public data class Broken(public val executed: Boolean, public val delayMillis: Long = 0) : PlatformReply

    /** Responds with status 503 without executing the request. */
    public data object Refused : PlatformReply

    /** The operator's configuration was written in [revision]. */
    public data class OperatorConfigWritten(public val revision: Revision) : PlatformReply

    /** The faults were replaced by [faults]. */
    public data class FaultsSet(public val faults: PlatformFaults) : PlatformReply

    /** Current values of the counters. */
    public data class Counts(public val counts: PlatformCounts) : PlatformReply
}

/** The next state of the stand-in and its reply to the request. */
public data class PlatformStep(public val state: PlatformState, public val reply: PlatformReply)

internal fun PlatformState.sortedRows(): SortedMap<String, Row> = rows.mapKeys { it.key.value }.toSortedMap()

internal fun PlatformState.entries(prefix: String): List<ObjectEntry> =
    objects
        .filterKeys { it.value.startsWith(prefix) }
        .map { (key, stored) -> ObjectEntry(key, stored.entityTag, stored.bytes.sizeBytes.toLong()) }
        .sortedBy { it.key.value }

internal fun PlatformState.nextRevision(): Revision = Revision(lastRevision + 1)
