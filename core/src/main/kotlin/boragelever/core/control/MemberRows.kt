package boragelever.core.control

import boragelever.core.Stamp
import boragelever.core.store.Row
import boragelever.core.store.RowCondition
import boragelever.core.store.RowKey
import boragelever.core.store.RowValue
import boragelever.core.store.RowWrite
import boragelever.core.store.StoreAnswer
import boragelever.core.store.StoreCommand

/** Prefix of the rows that tell where nodes are. */
internal const val MEMBER_PREFIX: String = "member/"

/** Age from which a row is ignored and removed; the row is renewed each minute. */
internal const val MEMBER_ROW_EXPIRY_MILLIS: Long = 600_000

private const val RENEWAL_INTERVAL_MILLIS = 60_000L
private const val RENEWAL_JITTER_MILLIS = 20_000L

/**
 * Bound of the random wait before the first scan.
 *
 * Nodes that restart together are spread by their start times as well; one that the store refuses waits longer.
 */
private const val FIRST_SCAN_JITTER_MILLIS = 200L

/** Time for the first write for each row found: nodes that restart together make 200 writes a second. */
private const val FIRST_WRITE_JITTER_MILLIS_PER_ROW = 5L
private const val MIN_FIRST_WRITE_JITTER_MILLIS = 200L

/** Wait between scans of a node that has found no peer. */
private const val ROW_SCAN_INTERVAL_MILLIS = 1_000L
private const val MAX_WRITE_BACKOFF_MILLIS = 30_000L

/**
 * Bound of the random part of the wait after a failed scan.
 *
 * A node without peers depends on the rows once the store is back; until then the circuit breaker bounds its calls.
 */
private const val MAX_SCAN_BACKOFF_MILLIS = 500L
private const val ROWS_PER_SCAN = 1_000
private const val MAX_REMOVED_ROWS = 8

/** Addresses remembered from a scan, the own region's first; enough to find a live node among rows of dead ones. */
private const val MAX_STORED_ADDRESSES = 32

private inline fun ControlState.updateMemberRows(change: MemberRowsState.() -> MemberRowsState): ControlState =
    updateMembers { copy(rows = rows.change()) }

internal fun ControlState.scheduleFirstScan(stamp: Stamp): ControlState =
    updateMemberRows { copy(nextScanAtMillis = stamp.nowMillis + stamp.jitterMillis("member-scan", FIRST_SCAN_JITTER_MILLIS)) }

/** Scans the member rows and renews the own one when it is time. */
internal fun ControlState.tickMemberRows(stamp: Stamp): Transition {
    val rows = members.rows
    val isScanDue = rows.scanRequest == null && rows.nextScanAtMillis.isDue(stamp.nowMillis)
    val isWriteDue = rows.writeRequest == null && rows.nextWriteAtMillis.isDue(stamp.nowMillis)
    return unchanged()
        .andThen { if (isScanDue && it.admitsStoreCalls()) it.scanMemberRows(null) else it.unchanged() }
        .andThen { if (isWriteDue && it.admitsStoreCalls()) it.writeMemberRow(stamp) else it.unchanged() }
}

private fun Long?.isDue(nowMillis: Long): Boolean = this != null && nowMillis >= this

private fun ControlState.scanMemberRows(after: RowKey?): Transition {
    val call = callStore(RequestOwner.MEMBERSHIP, StoreCommand.ScanRows(MEMBER_PREFIX, ROWS_PER_SCAN, after))
    return call.send { updateMemberRows { copy(scanRequest = call.request, nextScanAtMillis = null) } }
}

private fun ControlState.writeMemberRow(stamp: Stamp): Transition {
    val own = members.localRecord ?: return unchanged()
    val epochMillis = stamp.nowMillis + identity.epochOffsetMillis
    val value = RowValue.Member(own.node, own.incarnation, own.region, own.zone, own.peerAddress, epochMillis)
    val write = RowWrite.Put(RowKey(MEMBER_PREFIX + own.node.value), value)
    val command = StoreCommand.Transact(nextWriteId(stamp), emptyList(), listOf(write))
    val call = callStore(RequestOwner.MEMBERSHIP, command)
    return call.send { updateMemberRows { copy(writeRequest = call.request, nextWriteAtMillis = null) } }
}

/** Takes the store's answer to a scan or a write of member rows. */
internal fun ControlState.handleMemberRowsAnswer(event: Event.StoreAnswered): Transition =
    when (event.request) {
        members.rows.scanRequest -> handleScanAnswer(event.stamp, event.answer)
        members.rows.writeRequest -> handleWriteAnswer(event.stamp, event.answer)
        else -> unchanged()
    }

private fun ControlState.handleScanAnswer(stamp: Stamp, answer: StoreAnswer): Transition {
    val rows = (answer as? StoreAnswer.RowsRead)?.rows ?: return scheduleScanRetry(stamp).unchanged()
    val epochMillis = stamp.nowMillis + identity.epochOffsetMillis
    val others = rows.filter { (it.value as? RowValue.Member)?.node != identity.node }
    val (fresh, old) = others.partition { it.isFresh(epochMillis) }
    val found = fresh
        .mapNotNull { it.value as? RowValue.Member }
        .shuffled(stamp.random("member-choice"))
        .sortedBy { it.region != identity.region }
        .map { it.peerAddress }
        .plus(members.join.storedAddresses)
        .distinct()
        .take(MAX_STORED_ADDRESSES)
    val isFirstFind = members.join.storedAddresses.isEmpty() && !hasPeers
    val writeJitterMillis = maxOf(MIN_FIRST_WRITE_JITTER_MILLIS, rows.size * FIRST_WRITE_JITTER_MILLIS_PER_ROW)
    val next = updateJoin {
        copy(storedAddresses = found, nextContactAtMillis = if (isFirstFind) stamp.nowMillis else nextContactAtMillis)
    }.updateMemberRows {
        copy(
            scanRequest = null,
            failures = 0,
            nextScanAtMillis = stamp.nowMillis + ROW_SCAN_INTERVAL_MILLIS + stamp.jitterMillis("member-scan", ROW_SCAN_INTERVAL_MILLIS),
            nextWriteAtMillis = nextWriteAtMillis ?: (stamp.nowMillis + stamp.jitterMillis("member-write", writeJitterMillis)),
        )
    }
    return next.removeExpiredRows(stamp, old).andThenIf(rows.size >= ROWS_PER_SCAN) { it.scanMemberRows(rows.last().key) }
}

private fun Row.isFresh(epochMillis: Long): Boolean {
    val member = value as? RowValue.Member ?: return false
    return epochMillis - member.renewedAtEpochMillis < MEMBER_ROW_EXPIRY_MILLIS
}

private fun ControlState.scheduleScanRetry(stamp: Stamp): ControlState {
    val failures = members.rows.failures + 1
    val waitMillis =
        ROW_SCAN_INTERVAL_MILLIS + stamp.fullJitterMillis("member-scan", failures, ROW_SCAN_INTERVAL_MILLIS, MAX_SCAN_BACKOFF_MILLIS)
    return updateMemberRows { copy(scanRequest = null, failures = failures, nextScanAtMillis = stamp.nowMillis + waitMillis) }
}

private fun ControlState.handleWriteAnswer(stamp: Stamp, answer: StoreAnswer): Transition {
    val isWritten = answer is StoreAnswer.Committed
    val failures = if (isWritten) 0 else members.rows.failures + 1
    val waitMillis = if (isWritten) {
        RENEWAL_INTERVAL_MILLIS - RENEWAL_JITTER_MILLIS / 2 +
            stamp.jitterMillis("member-write", RENEWAL_JITTER_MILLIS)
    } else {
        ROW_SCAN_INTERVAL_MILLIS + stamp.fullJitterMillis("member-write", failures, ROW_SCAN_INTERVAL_MILLIS, MAX_WRITE_BACKOFF_MILLIS)
    }
    return updateMemberRows {
        copy(writeRequest = null, failures = failures, nextWriteAtMillis = stamp.nowMillis + waitMillis)
    }.unchanged()
}

/** Removes some of the [old] rows if nobody has renewed them; the answer does not matter. */
private fun ControlState.removeExpiredRows(stamp: Stamp, old: List<Row>): Transition {
    val chosen = old.shuffled(stamp.random("member-removal")).take(MAX_REMOVED_ROWS)
    if (chosen.isEmpty()) return unchanged()
    val conditions = chosen.map { RowCondition.RevisionIs(it.key, it.revision) }
    val command = StoreCommand.Transact(nextWriteId(stamp), conditions, chosen.map { RowWrite.Delete(it.key) })
    return callStore(RequestOwner.MEMBERSHIP, command).send { this }
}

/** Stops the scans once the node has peers, and starts them again when it has lost them all. */
internal fun ControlState.adjustScans(stamp: Stamp): ControlState {
    val rows = members.rows
    val needsScan = !hasPeers || (rows.nextWriteAtMillis == null && rows.writeRequest == null)
    return when {
        needsScan && rows.scanRequest == null && rows.nextScanAtMillis == null -> scheduleFirstScan(stamp)
        !needsScan && rows.nextScanAtMillis != null -> updateMemberRows { copy(nextScanAtMillis = null) }
        else -> this
    }
}
