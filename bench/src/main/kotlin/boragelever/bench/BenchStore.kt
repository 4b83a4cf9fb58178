package boragelever.bench

import boragelever.core.store.Row
import boragelever.core.store.RowWrite
import boragelever.core.store.StoreCommand
import boragelever.core.store.StoreFailure
import boragelever.core.store.StoreKeys
import boragelever.core.store.StoreResult
import boragelever.platform.ObjectNamesBody
import boragelever.platform.RowsBody
import boragelever.platform.StoreProtocol
import boragelever.platform.TransactionBody
import boragelever.platform.encodeDocument
import boragelever.platform.isWrite
import boragelever.platform.toBody
import boragelever.standin.PlatformReply
import boragelever.standin.PlatformRequest
import boragelever.standin.PlatformState
import boragelever.standin.reducePlatform
import boragelever.standin.toStoreRow

/** Store requests and the bytes of their bodies since the start of a phase; HTTP headers are not counted. */
internal data class StoreStats(
    var reads: Long = 0,
    var writes: Long = 0,
    var bytes: Long = 0,
    var crossRegionBytes: Long = 0,
)

/** In-memory table service and object store, implemented by the reducer of the platform stand-in. */
internal class BenchStore {
    private var state = PlatformState()
    var stats: StoreStats = StoreStats()

    /** Executes [command]; [isCrossRegion] tells whether the requesting node is in another region than the store. */
    fun execute(command: StoreCommand, isCrossRegion: Boolean): StoreResult {
        val step = reducePlatform(state, PlatformRequest.Execute(command))
        state = step.state
        val result = (step.reply as? PlatformReply.Completed)?.result
            ?: StoreResult.StoreFailed(StoreFailure.Unavailable("the in-memory store refused the request"))
        recordRequest(command.isWrite, command.bodyBytes() + result.bodyBytes(), isCrossRegion)
        return result
    }

    /** Counts [requests] reads of the operators' folder, which is kept in the object store. */
    fun countFolderReads(requests: Int, bytes: Int, isCrossRegion: Boolean) {
        repeat(requests) { recordRequest(isWrite = false, bytes / requests, isCrossRegion) }
    }

    private fun recordRequest(isWrite: Boolean, bytes: Int, isCrossRegion: Boolean) {
        if (isWrite) stats.writes++ else stats.reads++
        stats.bytes += bytes
        if (isCrossRegion) stats.crossRegionBytes += bytes
    }
}

/** True if the command publishes a configuration version. */
internal val StoreCommand.publishesConfig: Boolean
    get() = this is StoreCommand.Transact && writes.any { it is RowWrite.Put && it.key == StoreKeys.HEAD }

private val json = StoreProtocol.json

/** Size of the request body; reads pass their range in the request target and have no body. */
private fun StoreCommand.bodyBytes(): Int =
    when (this) {
        is StoreCommand.Transact -> json.encodeToString(TransactionBody.serializer(), toBody()).length
        is StoreCommand.PutDocument -> encodeDocument(document).sizeBytes
        is StoreCommand.PutObject -> bytes.sizeBytes
        else -> 0
    }

/** Size of the response body. */
private fun StoreResult.bodyBytes(): Int =
    when (this) {
        is StoreResult.RowsRead -> rows.bodyBytes()
        is StoreResult.Committed -> rows.bodyBytes()
        is StoreResult.Conflict -> rows.bodyBytes()
        is StoreResult.ObjectsListed -> {
            val names = ObjectNamesBody(entries.map { it.key.value })
            json.encodeToString(ObjectNamesBody.serializer(), names).length
        }
        is StoreResult.DocumentRead -> encodeDocument(document).sizeBytes
        is StoreResult.ObjectRead -> bytes.sizeBytes
        else -> 0
    }

private fun List<Row>.bodyBytes(): Int {
    val revision = maxOfOrNull { it.revision.value } ?: 0
    return json.encodeToString(RowsBody.serializer(), RowsBody(map { it.toStoreRow() }, revision = revision)).length
}
