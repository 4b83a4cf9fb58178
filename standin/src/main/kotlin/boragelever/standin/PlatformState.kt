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

/** Content of the stand-in for the platform, with its faults and counters. */
public data class PlatformState(
    public val rows: Map<RowKey, Row> = emptyMap(),
    public val objects: Map<ObjectKey, StoredObject> = emptyMap(),
    /** Last revision given out; shared by all rows, so that a row inserted anew never repeats a revision. */
    public val lastRevision: Long = 0,
    /** The configuration that the operator keeps in the store, or `null` before the first. */
    public val operatorConfig: OperatorRow? = null,
    public val faults: PlatformFaults = PlatformFaults(),
    public val counts: PlatformCounts = PlatformCounts(),
)

/** An object of the object store. */
public data class StoredObject(public val bytes: ImmutableBytes, public val entityTag: EntityTag)

/** Text of the operator's configuration and the revision in which it was written. */
public data class OperatorRow(public val text: String, public val revision: Revision)

/** Faults of the stand-in. All are off by default. */
@Serializable
public data class PlatformFaults(
    /** Breaks each connection without executing the request. */
    public val down: Boolean = false,
    /** Answers each request with 503 without executing it. */
    public val refuse: Boolean = false,
    /** Delay of each answer after the request was executed, in milliseconds. */
    public val delayMillis: Long = 0,
    /** Share of writes whose answer is lost after the write took effect, in percent. */
    public val lostAnswersPercent: Int = 0,
    /** Seed of the choice of lost answers. */
    public val seed: Long = 0,
)

/** Number of requests that reached the stand-in since it started, whatever their outcome. */
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
    /** Executes [command]; documents are carried as objects. */
    public data class Execute(public val command: StoreCommand) : PlatformRequest

    /** Writes the operator's configuration. */
    public data class WriteOperatorConfig(public val text: String) : PlatformRequest

    /** Replaces the faults. */
    public data class SetFaults(public val faults: PlatformFaults) : PlatformRequest

    /** Reads the counters. */
    public data object ReadCounts : PlatformRequest
}

/** What the stand-in does with a request. */
public sealed interface PlatformReply {
    /** Sends [answer] after [delayMillis]. */
    public data class Completed(public val result: StoreResult, public val delayMillis: Long = 0) : PlatformReply

    /** Breaks the connection after [delayMillis]; [executed] tells whether the request took effect. */
    public data class Broken(public val executed: Boolean, public val delayMillis: Long = 0) : PlatformReply

    /** Answers 503 without having executed the request. */
    public data object Refused : PlatformReply

    /** The operator's configuration is written. */
    public data class OperatorConfigWritten(public val revision: Revision) : PlatformReply

    /** The faults are set. */
    public data class FaultsSet(public val faults: PlatformFaults) : PlatformReply

    /** The counters. */
    public data class Counts(public val counts: PlatformCounts) : PlatformReply
}

/** The next state of the stand-in and its reply. */
public data class PlatformStep(public val state: PlatformState, public val reply: PlatformReply)

internal fun PlatformState.sortedRows(): SortedMap<String, Row> = rows.mapKeys { it.key.value }.toSortedMap()

internal fun PlatformState.entries(prefix: String): List<ObjectEntry> =
    objects
        .filterKeys { it.value.startsWith(prefix) }
        .map { (key, stored) -> ObjectEntry(key, stored.entityTag, stored.bytes.sizeBytes.toLong()) }
        .sortedBy { it.key.value }

internal fun PlatformState.nextRevision(): Revision = Revision(lastRevision + 1)
