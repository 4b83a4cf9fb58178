package boragelever.core.control

import boragelever.core.Stamp
import boragelever.core.store.Row
import boragelever.core.store.RowCondition
import boragelever.core.store.RowKey
import boragelever.core.store.RowValue
import boragelever.core.store.RowWrite
import boragelever.core.store.StoreAnswer
import boragelever.core.store.StoreCommand
import boragelever.core.store.WriteId

/** Prefix of the rows that tell where nodes are. */
internal const val MEMBER_PREFIX: String = "member/"

/** Age from which a row is ignored and removed; the row is renewed each minute. */
internal const val ROW_EXPIRY_MILLIS: Long = 600_000

private const val ROW_RENEWAL_MILLIS = 60_000L
private const val ROW_RENEWAL_JITTER_MILLIS = 20_000L

/** Bound of the random wait before the first scan: 1,000 nodes that restart together make 1,000 reads a second. */
private const val FIRST_SCAN_MILLIS = 1_000L

/** Time for the first write for each row found: nodes that restart together make 200 writes a second. */
private const val WRITE_SPREAD_MILLIS = 5L
private const val MIN_WRITE_SPREAD_MILLIS = 200L

/** Wait between scans of a node that has found no peer. */
private const val RESCAN_MILLIS = 1_000L
private const val MAX_BACKOFF_MILLIS = 30_000L
private const val ROWS_PER_SCAN = 1_000
private const val MAX_REMOVED_ROWS = 8
private const val SALT_SCAN = 31
private const val SALT_WRITE = 32
private const val SALT_REMOVED = 33
private const val SALT_FOUND = 34

/** Addresses remembered from a scan; enough to find a live node among rows of dead ones. */
private const val MAX_FOUND = 32

private inline fun ControlState.updateRows(change: MemberRowsState.() -> MemberRowsState): ControlState =
    updateMembers { copy(rows = rows.change()) }

internal fun ControlState.startRows(stamp: Stamp): ControlState =
    updateRows { copy(nextScanMillis = stamp.nowMillis + stamp.jitter(SALT_SCAN, FIRST_SCAN_MILLIS)) }

/** Scans the member rows and renews the own one when it is time. */
internal fun ControlState.tickRows(stamp: Stamp): Transition {
    val rows = members.rows
    val isScanDue = rows.scan == null && rows.nextScanMillis.isReached(stamp.nowMillis)
    val isWriteDue = rows.write == null && rows.nextWriteMillis.isReached(stamp.nowMillis)
    return unchanged()
        .andThenIf(isScanDue) { it.scanRows(null) }
        .andThenIf(isWriteDue) { it.writeRow(stamp.nowMillis) }
}

private fun Long?.isReached(nowMillis: Long): Boolean = this != null && nowMillis >= this

private fun ControlState.scanRows(after: RowKey?): Transition {
    val (next, request) = nextRequest(RequestOwner.MEMBERSHIP)
    val command = StoreCommand.ScanRows(MEMBER_PREFIX, ROWS_PER_SCAN, after)
    return next.updateRows { copy(scan = request, nextScanMillis = null) }.with(Effect.CallStore(request, command))
}

private fun ControlState.writeRow(nowMillis: Long): Transition {
    val own = members.own ?: return unchanged()
    val (next, request) = nextRequest(RequestOwner.MEMBERSHIP)
    val epochMillis = nowMillis + identity.epochOffsetMillis
    val value = RowValue.Member(own.node, own.incarnation, own.region, own.zone, own.peerAddress, epochMillis)
    val write = RowWrite.Put(RowKey(MEMBER_PREFIX + own.node.value), value)
    val command = StoreCommand.Transact(writeId(request), emptyList(), listOf(write))
    return next.updateRows { copy(write = request, nextWriteMillis = null) }.with(Effect.CallStore(request, command))
}

private fun ControlState.writeId(request: RequestId): WriteId =
    WriteId("${identity.node}/${members.own?.incarnation}/${request.number}")

/** Takes the store's answer to a scan or a write of member rows. */
internal fun ControlState.rowsAnswered(event: Event.StoreAnswered): Transition =
    when (event.request) {
        members.rows.scan -> scanAnswered(event.stamp, event.answer)
        members.rows.write -> writeAnswered(event.stamp, event.answer)
        else -> unchanged()
    }

private fun ControlState.scanAnswered(stamp: Stamp, answer: StoreAnswer): Transition {
    val rows = (answer as? StoreAnswer.RowsRead)?.rows ?: return scanFailed(stamp).unchanged()
    val epochMillis = stamp.nowMillis + identity.epochOffsetMillis
    val others = rows.filter { (it.value as? RowValue.Member)?.node != identity.node }
    val (fresh, old) = others.partition { it.isFresh(epochMillis) }
    val found = fresh
        .mapNotNull { (it.value as? RowValue.Member)?.peerAddress }
        .plus(members.join.found)
        .distinct()
        .shuffled(stamp.random(SALT_FOUND))
        .take(MAX_FOUND)
    val spreadMillis = maxOf(MIN_WRITE_SPREAD_MILLIS, rows.size * WRITE_SPREAD_MILLIS)
    val next = updateJoin { copy(found = found) }.updateRows {
        copy(
            scan = null,
            failures = 0,
            nextScanMillis = stamp.nowMillis + RESCAN_MILLIS + stamp.jitter(SALT_SCAN, RESCAN_MILLIS),
            nextWriteMillis = nextWriteMillis ?: (stamp.nowMillis + stamp.jitter(SALT_WRITE, spreadMillis)),
        )
    }
    return next.removeRows(stamp, old).andThenIf(rows.size >= ROWS_PER_SCAN) { it.scanRows(rows.last().key) }
}

private fun Row.isFresh(epochMillis: Long): Boolean {
    val member = value as? RowValue.Member ?: return false
    return epochMillis - member.renewedAtEpochMillis < ROW_EXPIRY_MILLIS
}

private fun ControlState.scanFailed(stamp: Stamp): ControlState {
    val failures = members.rows.failures + 1
    val waitMillis = RESCAN_MILLIS + stamp.jitter(SALT_SCAN, backoffMillis(failures))
    return updateRows { copy(scan = null, failures = failures, nextScanMillis = stamp.nowMillis + waitMillis) }
}

private fun backoffMillis(failures: Int): Long = minOf(MAX_BACKOFF_MILLIS, RESCAN_MILLIS shl minOf(failures, 5))

private fun ControlState.writeAnswered(stamp: Stamp, answer: StoreAnswer): Transition {
    val isWritten = answer is StoreAnswer.Committed
    val failures = if (isWritten) 0 else members.rows.failures + 1
    val waitMillis = if (isWritten) {
        ROW_RENEWAL_MILLIS - ROW_RENEWAL_JITTER_MILLIS / 2 + stamp.jitter(SALT_WRITE, ROW_RENEWAL_JITTER_MILLIS)
    } else {
        RESCAN_MILLIS + stamp.jitter(SALT_WRITE, backoffMillis(failures))
    }
    return updateRows {
        copy(write = null, failures = failures, nextWriteMillis = stamp.nowMillis + waitMillis)
    }.unchanged()
}

/** Removes some of the [old] rows if nobody has renewed them; the answer does not matter. */
private fun ControlState.removeRows(stamp: Stamp, old: List<Row>): Transition {
    val chosen = old.shuffled(stamp.random(SALT_REMOVED)).take(MAX_REMOVED_ROWS)
    if (chosen.isEmpty()) return unchanged()
    val (next, request) = nextRequest(RequestOwner.MEMBERSHIP)
    val conditions = chosen.map { RowCondition.RevisionIs(it.key, it.revision) }
    val writes = chosen.map { RowWrite.Delete(it.key) }
    return next.with(Effect.CallStore(request, StoreCommand.Transact(next.writeId(request), conditions, writes)))
}

/** Stops the scans once the node has peers, and starts them again when it has lost them all. */
internal fun ControlState.adjustScans(stamp: Stamp): ControlState {
    val rows = members.rows
    val needsScan = !hasPeers || (rows.nextWriteMillis == null && rows.write == null)
    return when {
        needsScan && rows.scan == null && rows.nextScanMillis == null -> startRows(stamp)
        !needsScan && rows.nextScanMillis != null -> updateRows { copy(nextScanMillis = null) }
        else -> this
    }
}
