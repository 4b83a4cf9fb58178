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
internal const val ROW_EXPIRY_MILLIS: Long = 600_000

private const val ROW_RENEWAL_MILLIS = 60_000L
private const val ROW_RENEWAL_JITTER_MILLIS = 20_000L

/**
 * Bound of the random wait before the first scan.
 *
 * Nodes that restart together are spread by their start times as well; one that the store refuses waits longer.
 */
private const val FIRST_SCAN_MILLIS = 200L

/** Time for the first write for each row found: nodes that restart together make 200 writes a second. */
private const val WRITE_SPREAD_MILLIS = 5L
private const val MIN_WRITE_SPREAD_MILLIS = 200L

/** Wait between scans of a node that has found no peer. */
private const val ROW_SCAN_MILLIS = 1_000L
private const val MAX_BACKOFF_MILLIS = 30_000L

/**
 * Bound of the random part of the wait after a failed scan.
 *
 * A node without peers depends on the rows once the store is back; until then the circuit breaker bounds its calls.
 */
private const val MAX_SCAN_BACKOFF_MILLIS = 500L
private const val ROWS_PER_SCAN = 1_000
private const val MAX_REMOVED_ROWS = 8

/** Addresses remembered from a scan, the own region's first; enough to find a live node among rows of dead ones. */
private const val MAX_FOUND = 32

private inline fun ControlState.updateRows(change: MemberRowsState.() -> MemberRowsState): ControlState =
    updateMembership { copy(rows = rows.change()) }

internal fun ControlState.startRows(stamp: Stamp): ControlState =
    updateRows { copy(nextScanMillis = stamp.nowMillis + stamp.jitterMillis("member-scan", FIRST_SCAN_MILLIS)) }

/** Scans the member rows and renews the own one when it is time. */
internal fun ControlState.tickRows(stamp: Stamp): Transition {
    val rows = membership.rows
    val isScanDue = rows.scan == null && rows.nextScanMillis.isReached(stamp.nowMillis)
    val isWriteDue = rows.write == null && rows.nextWriteMillis.isReached(stamp.nowMillis)
    return withoutEffects()
        .andThen { if (isScanDue && it.admitsStoreCalls()) it.scanRows(null) else it.withoutEffects() }
        .andThen { if (isWriteDue && it.admitsStoreCalls()) it.writeRow(stamp) else it.withoutEffects() }
}

private fun Long?.isReached(nowMillis: Long): Boolean = this != null && nowMillis >= this

private fun ControlState.scanRows(after: RowKey?): Transition {
    val call = callStore(RequestOwner.MEMBERSHIP, StoreCommand.ScanRows(MEMBER_PREFIX, ROWS_PER_SCAN, after))
    return call.send { updateRows { copy(scan = call.request, nextScanMillis = null) } }
}

private fun ControlState.writeRow(stamp: Stamp): Transition {
    val own = membership.own ?: return withoutEffects()
    val epochMillis = stamp.nowMillis + identity.epochOffsetMillis
    val value = RowValue.Member(own.node, own.incarnation, own.region, own.zone, own.peerAddress, epochMillis)
    val write = RowWrite.Put(RowKey(MEMBER_PREFIX + own.node.value), value)
    val command = StoreCommand.Transact(nextWriteId(stamp), emptyList(), listOf(write))
    val call = callStore(RequestOwner.MEMBERSHIP, command)
    return call.send { updateRows { copy(write = call.request, nextWriteMillis = null) } }
}

/** Takes the store's answer to a scan or a write of member rows. */
internal fun ControlState.rowsAnswered(event: Event.StoreCommandCompleted): Transition =
    when (event.request) {
        membership.rows.scan -> scanAnswered(event.stamp, event.result)
        membership.rows.write -> writeAnswered(event.stamp, event.result)
        else -> withoutEffects()
    }

private fun ControlState.scanAnswered(stamp: Stamp, answer: StoreAnswer): Transition {
    val rows = (answer as? StoreAnswer.RowsRead)?.rows ?: return scanFailed(stamp).withoutEffects()
    val epochMillis = stamp.nowMillis + identity.epochOffsetMillis
    val others = rows.filter { (it.value as? RowValue.Member)?.node != identity.node }
    val (fresh, old) = others.partition { it.isFresh(epochMillis) }
    val found = fresh
        .mapNotNull { it.value as? RowValue.Member }
        .shuffled(stamp.random("member-choice"))
        .sortedBy { it.region != identity.region }
        .map { it.peerAddress }
        .plus(membership.join.found)
        .distinct()
        .take(MAX_FOUND)
    val isFirstFind = membership.join.found.isEmpty() && !hasPeers
    val spreadMillis = maxOf(MIN_WRITE_SPREAD_MILLIS, rows.size * WRITE_SPREAD_MILLIS)
    val next = updateJoin {
        copy(found = found, nextContactMillis = if (isFirstFind) stamp.nowMillis else nextContactMillis)
    }.updateRows {
        copy(
            scan = null,
            failures = 0,
            nextScanMillis = stamp.nowMillis + ROW_SCAN_MILLIS + stamp.jitterMillis("member-scan", ROW_SCAN_MILLIS),
            nextWriteMillis = nextWriteMillis ?: (stamp.nowMillis + stamp.jitterMillis("member-write", spreadMillis)),
        )
    }
    return next.removeRows(stamp, old).andThenIf(rows.size >= ROWS_PER_SCAN) { it.scanRows(rows.last().key) }
}

private fun Row.isFresh(epochMillis: Long): Boolean {
    val member = value as? RowValue.Member ?: return false
    return epochMillis - member.renewedAtEpochMillis < ROW_EXPIRY_MILLIS
}

private fun ControlState.scanFailed(stamp: Stamp): ControlState {
    val failures = membership.rows.failures + 1
    val waitMillis =
        ROW_SCAN_MILLIS + stamp.fullJitterMillis("member-scan", failures, ROW_SCAN_MILLIS, MAX_SCAN_BACKOFF_MILLIS)
    return updateRows { copy(scan = null, failures = failures, nextScanMillis = stamp.nowMillis + waitMillis) }
}

private fun ControlState.writeAnswered(stamp: Stamp, answer: StoreAnswer): Transition {
    val isWritten = answer is StoreAnswer.Committed
    val failures = if (isWritten) 0 else membership.rows.failures + 1
    val waitMillis = if (isWritten) {
        ROW_RENEWAL_MILLIS - ROW_RENEWAL_JITTER_MILLIS / 2 +
            stamp.jitterMillis("member-write", ROW_RENEWAL_JITTER_MILLIS)
    } else {
        ROW_SCAN_MILLIS + stamp.fullJitterMillis("member-write", failures, ROW_SCAN_MILLIS, MAX_BACKOFF_MILLIS)
    }
    return updateRows {
        copy(write = null, failures = failures, nextWriteMillis = stamp.nowMillis + waitMillis)
    }.withoutEffects()
}

/** Removes some of the [old] rows if nobody has renewed them; the answer does not matter. */
private fun ControlState.removeRows(stamp: Stamp, old: List<Row>): Transition {
    val chosen = old.shuffled(stamp.random("member-removal")).take(MAX_REMOVED_ROWS)
    if (chosen.isEmpty()) return withoutEffects()
    val conditions = chosen.map { RowCondition.RevisionIs(it.key, it.revision) }
    val command = StoreCommand.Transact(nextWriteId(stamp), conditions, chosen.map { RowWrite.Delete(it.key) })
    return callStore(RequestOwner.MEMBERSHIP, command).send { this }
}

/** Stops the scans once the node has peers, and starts them again when it has lost them all. */
internal fun ControlState.adjustScans(stamp: Stamp): ControlState {
    val rows = membership.rows
    val needsScan = !hasPeers || (rows.nextWriteMillis == null && rows.write == null)
    return when {
        needsScan && rows.scan == null && rows.nextScanMillis == null -> startRows(stamp)
        !needsScan && rows.nextScanMillis != null -> updateRows { copy(nextScanMillis = null) }
        else -> this
    }
}
