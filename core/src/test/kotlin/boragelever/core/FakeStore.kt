package boragelever.core

import boragelever.core.config.ConfigDocument
import boragelever.core.store.ConfigSourceSnapshot
import boragelever.core.store.EntityTag
import boragelever.core.store.ImmutableBytes
import boragelever.core.store.ObjectEntry
import boragelever.core.store.ObjectKey
import boragelever.core.store.Revision
import boragelever.core.store.Row
import boragelever.core.store.RowCondition
import boragelever.core.store.RowKey
import boragelever.core.store.RowWrite
import boragelever.core.store.StoreCommand
import boragelever.core.store.StoreResult

/** In-memory store of the platform that executes commands as a pure function. */
data class FakeStore(
    val rows: Map<RowKey, Row> = emptyMap(),
    val documents: Map<ObjectKey, ConfigDocument> = emptyMap(),
    val objects: Map<ObjectKey, ImmutableBytes> = emptyMap(),
    val revision: Long = 0,
    /** The configuration source and the revision at which it was written, or `null` if there is none. */
    val source: Pair<ConfigSourceSnapshot, Long>? = null,
) {
    fun execute(command: StoreCommand): Pair<FakeStore, StoreResult> =
        when (command) {
            is StoreCommand.ReadRows -> this to StoreResult.RowsRead(command.keys.mapNotNull { rows[it] })
            is StoreCommand.ScanRows -> this to StoreResult.RowsRead(scan(command))
            is StoreCommand.Transact -> transact(command)
            is StoreCommand.ListObjects -> this to StoreResult.ObjectsListed(list(command.prefix))
            is StoreCommand.GetDocument ->
                this to (documents[command.key]?.let { StoreResult.DocumentRead(it) } ?: StoreResult.ObjectMissing)
            is StoreCommand.PutDocument ->
                copy(documents = documents + (command.key to command.document)) to StoreResult.ObjectWritten(TAG)
            is StoreCommand.GetObject ->
                this to (objects[command.key]?.let { StoreResult.ObjectRead(it, TAG) } ?: StoreResult.ObjectMissing)
            is StoreCommand.PutObject ->
                copy(objects = objects + (command.key to command.bytes)) to StoreResult.ObjectWritten(TAG)
            is StoreCommand.ReadConfigSource -> this to readSource(null)
            is StoreCommand.AwaitConfigSource -> this to readSource(command.after)
            is StoreCommand.DeleteObject ->
                copy(documents = documents - command.key, objects = objects - command.key) to StoreResult.ObjectDeleted
        }

    private fun readSource(after: Revision?): StoreResult {
        val changed = source?.takeIf { (_, writtenAtRevision) -> after == null || writtenAtRevision > after.value }
        return StoreResult.ConfigSourceRead(Revision(revision), changed?.first)
    }

    private fun list(prefix: String): List<ObjectEntry> =
        (documents.keys + objects.keys)
            .filter { it.value.startsWith(prefix) }
            .sortedBy { it.value }
            .map { ObjectEntry(it, TAG, 1) }

    private fun scan(command: StoreCommand.ScanRows): List<Row> =
        rows.values
            .filter { it.key.value.startsWith(command.prefix) && it.key.value > command.after?.value.orEmpty() }
            .sortedBy { it.key.value }
            .take(command.limit)

    private fun transact(command: StoreCommand.Transact): Pair<FakeStore, StoreResult> {
        val conditionsHold =
            command.conditions.all {
                when (it) {
                    is RowCondition.Absent -> it.key !in rows
                    is RowCondition.RevisionIs -> rows[it.key]?.revision == it.revision
                }
            }
        if (!conditionsHold) return this to StoreResult.Conflict(command.conditions.mapNotNull { rows[it.key] })
        val next =
            command.writes.fold(this) { store, write ->
                when (write) {
                    is RowWrite.Delete -> store.copy(rows = store.rows - write.key)
                    is RowWrite.Put -> store.put(write, command)
                }
            }
        return next to StoreResult.Committed(command.writes.mapNotNull { next.rows[it.key] })
    }

    private fun put(write: RowWrite.Put, command: StoreCommand.Transact): FakeStore {
        val row = Row(write.key, write.value, Revision(revision + 1), command.writeId)
        return copy(rows = rows + (write.key to row), revision = revision + 1)
    }

    private companion object {
        val TAG = EntityTag("tag")
    }
}
