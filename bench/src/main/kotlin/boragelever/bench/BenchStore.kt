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

/** Requests to the store and the bytes of their bodies since the start of a phase; HTTP headers are not counted. */
internal data class StoreLoad(
    var reads: Long = 0,
    var writes: Long = 0,
    var bytes: Long = 0,
    var remoteBytes: Long = 0,
)

/** The platform's table service and object store in memory, through the reducer of the stand-in. */
internal class BenchStore {
    private var state = PlatformState()
    var load: StoreLoad = StoreLoad()

    /** Executes [command] for a node that is in another region than the store if [isRemote] is set. */
    fun execute(command: StoreCommand, isRemote: Boolean): StoreResult {
        val step = reducePlatform(state, PlatformRequest.Execute(command))
        state = step.state
        val answer = (step.reply as? PlatformReply.Completed)?.result
            ?: StoreResult.StoreFailed(StoreFailure.Unavailable("The store in memory refuses requests"))
        count(command.isWrite, command.bodyBytes() + answer.bodyBytes(), isRemote)
        return answer
    }

    /** Counts [requests] reads of the operators' folder, which lies in the object store. */
    fun countFolderReads(requests: Int, bytes: Int, isRemote: Boolean) {
        repeat(requests) { count(isWrite = false, bytes / requests, isRemote) }
    }

    private fun count(isWrite: Boolean, bytes: Int, isRemote: Boolean) {
        if (isWrite) load.writes++ else load.reads++
        load.bytes += bytes
        if (isRemote) load.remoteBytes += bytes
    }
}

/** True if the command replaces the accepted configuration. */
internal val StoreCommand.isAcceptance: Boolean
    get() = this is StoreCommand.Transact && writes.any { it is RowWrite.Put && it.key == StoreKeys.HEAD }

private val json = StoreProtocol.json

/** Reads carry their range in the address of the request, so they have no body. */
private fun StoreCommand.bodyBytes(): Int =
    when (this) {
        is StoreCommand.Transact -> json.encodeToString(TransactionBody.serializer(), toBody()).length
        is StoreCommand.PutDocument -> encodeDocument(document).sizeBytes
        is StoreCommand.PutObject -> bytes.sizeBytes
        else -> 0
    }

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
