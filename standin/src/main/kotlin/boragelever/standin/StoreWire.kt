package boragelever.standin

import boragelever.core.store.Revision
import boragelever.core.store.Row
import boragelever.core.store.RowCondition
import boragelever.core.store.RowKey
import boragelever.core.store.RowWrite
import boragelever.core.store.StoreCommand
import boragelever.core.store.WriteId
import boragelever.platform.RowsBody
import boragelever.platform.StoreCondition
import boragelever.platform.StoreProtocol
import boragelever.platform.StoreRow
import boragelever.platform.StoredValue
import boragelever.platform.TransactionBody
import boragelever.platform.encodeValue
import boragelever.platform.toRow
import boragelever.platform.toStoreKey
import io.ktor.http.Parameters
import java.util.Base64

/** Decodes the body of a transaction request into a store command. */
internal fun TransactionBody.toCommand(): StoreCommand.Transact {
    val rows = puts.mapNotNull { StoreRow(it.table, it.part, it.key, it.value, revision = 0).toRow() }
    return StoreCommand.Transact(
        rows.firstOrNull()?.writeId ?: WriteId("none"),
        conditions.map { it.toRowCondition() },
        rows.map { RowWrite.Put(it.key, it.value) } + deletes.map { RowWrite.Delete(RowKey("${it.table}/${it.key}")) },
    )
}

private fun StoreCondition.toRowCondition(): RowCondition {
    val row = RowKey("$table/$key")
    return if (revision == 0L) RowCondition.Absent(row) else RowCondition.RevisionIs(row, Revision(revision))
}

/** Returns the body with those of [rows] that the [range] parameters of the request select. */
internal fun selectRange(rows: List<Row>, range: Parameters, revision: Long): RowsBody {
    val from = range[StoreProtocol.FROM_PARAMETER].orEmpty()
    val to = range[StoreProtocol.TO_PARAMETER]
    val limit = range[StoreProtocol.LIMIT_PARAMETER]?.toIntOrNull() ?: StoreProtocol.MAX_ROWS
    val within = rows.map { it.toStoreRow() }.filter { it.key >= from && (to == null || it.key < to) }
    return RowsBody(within.take(limit), hasMore = within.size > limit, revision = revision)
}

/** Encodes this row as the store sends it. */
public fun Row.toStoreRow(): StoreRow {
    val address = key.toStoreKey()
    return StoreRow(
        address.table,
        address.part,
        address.key,
        encodeValue(StoredValue(writeId, value)),
        revision.value,
    )
}

internal fun OperatorRow.toStoreRow(): StoreRow =
    StoreRow(
        StoreProtocol.OPERATOR_TABLE,
        key = StoreProtocol.OPERATOR_CONFIG_KEY,
        value = Base64.getEncoder().encodeToString(text.encodeToByteArray()),
        revision = revision.value,
    )
