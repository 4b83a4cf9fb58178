package boragelever.core.control

import boragelever.core.EventContext
import boragelever.core.store.Row
import boragelever.core.store.RowCondition
import boragelever.core.store.RowKey
import boragelever.core.store.RowValue
import boragelever.core.store.RowWrite
import boragelever.core.store.StoreCommand
import boragelever.core.store.StoreResult

/** Key prefix of the rows in which nodes publish their peer addresses. */
internal const val MEMBER_PREFIX: String = "member/"

/** Age at which a row is ignored and removed; a running node renews its row each minute. */
internal const val MEMBER_ROW_EXPIRY_MILLIS: Long = 600_000

private const val RENEWAL_INTERVAL_MILLIS = 60_000L
private const val RENEWAL_JITTER_MILLIS = 20_000L

/**
 * Bound of the random wait before the first scan.
 *
 * A short wait is enough: the start times of nodes that restart together differ as well, and a node whose scan fails
 * backs off.
 */
private const val FIRST_SCAN_JITTER_MILLIS = 200L

/** Jitter of the first write for each row found by the scan: nodes that restart together write 200 rows per second. */
private const val FIRST_WRITE_JITTER_MILLIS_PER_ROW = 5L
private const val MIN_FIRST_WRITE_JITTER_MILLIS = 200L

/** Minimum wait between two scans of a node that has found no peer. */
private const val ROW_SCAN_INTERVAL_MILLIS = 1_000L
private const val MAX_WRITE_BACKOFF_MILLIS = 30_000L

/**
 * Bound of the random part of the wait after a failed scan.
 *
 * It is short because a node without peers needs the rows as soon as the store has recovered; until then the circuit
 * breaker limits its requests.
 */
private const val MAX_SCAN_BACKOFF_MILLIS = 500L
private const val ROWS_PER_SCAN = 1_000
private const val MAX_REMOVED_ROWS = 8

/** Number of addresses kept from a scan, local region first; enough to find a live node among rows of dead ones. */
private const val MAX_STORED_ADDRESSES = 32

private inline fun ControlState.updateMemberRows(change: MemberRowsState.() -> MemberRowsState): ControlState =
    updateMembership { copy(rows = rows.change()) }

internal fun ControlState.scheduleFirstScan(context: EventContext): ControlState =
    updateMemberRows {
        copy(nextScanAtMillis = context.nowMillis + context.jitterMillis("member-scan", FIRST_SCAN_JITTER_MILLIS))
    }

/** Scans the member rows and renews this node's row when they are due. */
internal fun ControlState.tickMemberRows(context: EventContext): Transition {
    val rows = membership.rows
    val isScanDue = rows.scanRequest == null && rows.nextScanAtMillis.isDue(context.nowMillis)
    val isWriteDue = rows.writeRequest == null && rows.nextWriteAtMillis.isDue(context.nowMillis)
    return withoutEffects()
        .andThen { if (isScanDue && it.admitsStoreCalls()) it.scanMemberRows(null) else it.withoutEffects() }
        .andThen { if (isWriteDue && it.admitsStoreCalls()) it.writeMemberRow(context) else it.withoutEffects() }
}

private fun Long?.isDue(nowMillis: Long): Boolean = this != null && nowMillis >= this

private val ControlState.ownRowKey: RowKey get() = RowKey(MEMBER_PREFIX + identity.node.value)

private fun ControlState.scanMemberRows(after: RowKey?): Transition {
    val call = callStore(RequestOwner.MEMBERSHIP, StoreCommand.ScanRows(MEMBER_PREFIX, ROWS_PER_SCAN, after))
    return call.send { updateMemberRows { copy(scanRequest = call.request, nextScanAtMillis = null) } }
}

private fun ControlState.writeMemberRow(context: EventContext): Transition {
    val localRecord = membership.localRecord ?: return withoutEffects()
    val epochMillis = context.nowMillis + identity.epochOffsetMillis
    val durable = durableState()
    val value = RowValue.Member(
        localRecord.node,
        localRecord.incarnation,
        localRecord.region,
        localRecord.zone,
        localRecord.peerAddress,
        epochMillis,
        durable.withdrawals,
        durable.deaths,
    )
    val write = RowWrite.Put(ownRowKey, value)
    val command = StoreCommand.Transact(nextWriteId(context), emptyList(), listOf(write))
    val call = callStore(RequestOwner.MEMBERSHIP, command)
    return call.send {
        updateMemberRows {
            copy(writeRequest = call.request, writing = durable, nextWriteAtMillis = null)
        }
    }
}

/** Writes this node's row at once if it lacks durable state; after a failure the scheduled write does so. */
internal fun ControlState.persistDurableState(context: EventContext): Transition {
    val rows = membership.rows
    val isIdle = rows.writeRequest == null && rows.failures == 0 && discovery.isHistoryKnown
    if (!isIdle || durableState().isIn(rows.persisted) || !admitsStoreCalls()) return withoutEffects()
    return writeMemberRow(context)
}

private fun ControlState.durableState(): DurableState =
    DurableState(membership.localRecord?.withdrawals.orEmpty(), recordedDeaths())

/** Handles the store's result of a scan or a write of member rows. */
internal fun ControlState.handleMemberRowsResult(event: Event.StoreCommandCompleted): Transition =
    when (event.request) {
        membership.rows.scanRequest -> handleScanResult(event.context, event.result)
        membership.rows.writeRequest -> handleWriteResult(event.context, event.result)
        else -> withoutEffects()
    }

private fun ControlState.handleScanResult(context: EventContext, result: StoreResult): Transition {
    val rows = (result as? StoreResult.RowsRead)?.rows ?: return scheduleScanRetry(context).withoutEffects()
    val epochMillis = context.nowMillis + identity.epochOffsetMillis
    val (own, others) = rows.partition { it.key == ownRowKey }
    val (fresh, expired) = others.partition { it.isFresh(epochMillis) }
    val ownRow = own.firstNotNullOfOrNull { it.value as? RowValue.Member }
    val isLastPage = rows.size < ROWS_PER_SCAN
    val addresses = fresh
        .mapNotNull { it.value as? RowValue.Member }
        .shuffled(context.random("member-choice"))
        .sortedBy { it.region != identity.region }
        .map { it.peerAddress }
        .plus(membership.join.storedAddresses)
        .distinct()
        .take(MAX_STORED_ADDRESSES)
    val isFirstResult = membership.join.storedAddresses.isEmpty() && !hasPeers
    val writeJitterMillis = maxOf(MIN_FIRST_WRITE_JITTER_MILLIS, rows.size * FIRST_WRITE_JITTER_MILLIS_PER_ROW)
    val next = updateJoin {
        copy(
            storedAddresses = addresses,
            nextContactAtMillis = if (isFirstResult) context.nowMillis else nextContactAtMillis,
        )
    }.updateMemberRows {
        copy(
            scanRequest = null,
            failures = 0,
            nextScanAtMillis = context.nowMillis + ROW_SCAN_INTERVAL_MILLIS +
                context.jitterMillis("member-scan", ROW_SCAN_INTERVAL_MILLIS),
            nextWriteAtMillis = nextWriteAtMillis
                ?: (context.nowMillis + context.jitterMillis("member-write", writeJitterMillis)),
        )
    }
    return next
        .removeExpiredRows(context, expired)
        .andThenIf(ownRow != null) { it.adoptOwnRow(checkNotNull(ownRow), context.nowMillis) }
        .andThen { state -> state.adoptDeaths(rows.mapNotNull { it.value as? RowValue.Member }, context.nowMillis) }
        .andThenIf(ownRow != null || isLastPage) { it.releaseHeldRegistrations(context.nowMillis) }
        .andThenIf(!isLastPage) { it.scanMemberRows(rows.last().key) }
}

private fun ControlState.adoptOwnRow(row: RowValue.Member, nowMillis: Long): Transition {
    val isFirst = membership.rows.persisted == DurableState()
    val persisted = if (isFirst) DurableState(row.withdrawals, row.deaths) else membership.rows.persisted
    return updateMemberRows { copy(persisted = persisted) }.adoptWithdrawals(row.withdrawals, nowMillis)
}

private fun Row.isFresh(epochMillis: Long): Boolean {
    val member = value as? RowValue.Member ?: return false
    return epochMillis - member.renewedAtEpochMillis < MEMBER_ROW_EXPIRY_MILLIS
}

private fun ControlState.scheduleScanRetry(context: EventContext): ControlState {
    val failures = membership.rows.failures + 1
    val waitMillis =
        ROW_SCAN_INTERVAL_MILLIS +
            context.fullJitterMillis("member-scan", failures, ROW_SCAN_INTERVAL_MILLIS, MAX_SCAN_BACKOFF_MILLIS)
    return updateMemberRows {
        copy(scanRequest = null, failures = failures, nextScanAtMillis = context.nowMillis + waitMillis)
    }
}

private fun ControlState.handleWriteResult(context: EventContext, result: StoreResult): Transition {
    val rows = membership.rows
    val isWritten = result is StoreResult.Committed
    val persisted = if (isWritten) rows.writing else rows.persisted
    val failures = if (isWritten) 0 else rows.failures + 1
    val waitMillis = if (isWritten) {
        RENEWAL_INTERVAL_MILLIS - RENEWAL_JITTER_MILLIS / 2 +
            context.jitterMillis("member-write", RENEWAL_JITTER_MILLIS)
    } else {
        ROW_SCAN_INTERVAL_MILLIS +
            context.fullJitterMillis("member-write", failures, ROW_SCAN_INTERVAL_MILLIS, MAX_WRITE_BACKOFF_MILLIS)
    }
    return updateMemberRows {
        copy(
            writeRequest = null,
            writing = DurableState(),
            persisted = persisted,
            failures = failures,
            nextWriteAtMillis = context.nowMillis + waitMillis,
        )
    }.withoutEffects()
}

/** Deletes some of the [expired] rows unless they were renewed meanwhile; the result of the write is ignored. */
private fun ControlState.removeExpiredRows(context: EventContext, expired: List<Row>): Transition {
    val chosen = expired.shuffled(context.random("member-removal")).take(MAX_REMOVED_ROWS)
    if (chosen.isEmpty()) return withoutEffects()
    val conditions = chosen.map { RowCondition.RevisionIs(it.key, it.revision) }
    val command = StoreCommand.Transact(nextWriteId(context), conditions, chosen.map { RowWrite.Delete(it.key) })
    return callStore(RequestOwner.MEMBERSHIP, command).send { this }
}

/** Stops the scans once the node has peers, and restarts them when it has lost all of them. */
internal fun ControlState.adjustScans(context: EventContext): ControlState {
    val rows = membership.rows
    val needsScan = !hasPeers || (rows.nextWriteAtMillis == null && rows.writeRequest == null)
    return when {
        needsScan && rows.scanRequest == null && rows.nextScanAtMillis == null -> scheduleFirstScan(context)
        !needsScan && rows.nextScanAtMillis != null -> updateMemberRows { copy(nextScanAtMillis = null) }
        else -> this
    }
}
