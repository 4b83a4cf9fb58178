package boragelever.core.control

import boragelever.core.InstanceId
import boragelever.core.Withdrawal

internal fun reduceDiscovery(state: ControlState, event: Event): Transition {
    val nowMillis = event.context.nowMillis
    val discovery = state.discovery
    val next = when (event) {
        is Event.Started -> discovery.copy(heldUntilMillis = nowMillis + MAX_HOLD_MILLIS)
        is Event.UpstreamRegistered -> discovery.register(event).awaitAcknowledgement(event)
        is Event.UpstreamDeregistered ->
            discovery.deregister(event).awaitAcknowledgement(event.instance, nowMillis)
        is Event.UpstreamCrashed -> discovery.remove(event.instance, nowMillis)
        is Event.Ticked -> discovery.withoutExpired(nowMillis, state.pausedMillis != null).releaseIfDue(nowMillis)
        else -> discovery
    }
    val change = when (event) {
        is Event.UpstreamCrashed -> UpstreamChange.DIED
        is Event.Ticked -> UpstreamChange.EXPIRED
        else -> UpstreamChange.WITHDRAWN
    }
    val isUnchanged = next === discovery && event !is Event.StopRequested
    val applied = if (isUnchanged) state.withoutEffects() else state.applyDiscovery(next, change, nowMillis)
    return applied
        .andThen { it.persistDurableState(event.context) }
        .andThen { it.acknowledgeLeaving(nowMillis) }
}

private fun DiscoveryState.releaseIfDue(nowMillis: Long): DiscoveryState =
    if (heldUntilMillis != null && nowMillis >= heldUntilMillis) release() else this

private fun DiscoveryState.awaitAcknowledgement(event: Event.UpstreamRegistered): DiscoveryState =
    if (event.upstream.state == UpstreamState.DRAINING && event.order != null) {
        awaitAcknowledgement(event.upstream.instance, event.context.nowMillis)
    } else {
        this
    }

private fun DiscoveryState.awaitAcknowledgement(instance: InstanceId, nowMillis: Long): DiscoveryState {
    if (instance in unacknowledged) return this
    return copy(unacknowledged = unacknowledged.put(instance, nowMillis + MAX_PERSIST_WAIT_MILLIS))
}

/** Acknowledges the leaving upstreams whose withdrawal is in the store, and those that have waited long enough. */
private fun ControlState.acknowledgeLeaving(nowMillis: Long): Transition {
    if (discovery.unacknowledged.isEmpty()) return withoutEffects()
    val unpersisted = membership.localRecord?.withdrawals.orEmpty()
        .filter { it !in membership.rows.persisted.withdrawals }
        .map { it.instance }
    val acknowledged = discovery.unacknowledged
        .filter { (instance, dueMillis) -> instance !in unpersisted || nowMillis >= dueMillis }
        .keys
    if (acknowledged.isEmpty()) return withoutEffects()
    val remaining = acknowledged.fold(discovery.unacknowledged) { rest, instance -> rest.remove(instance) }
    return copy(discovery = discovery.copy(unacknowledged = remaining))
        .with(*acknowledged.map { Effect.AcknowledgeLeave(it) }.toTypedArray())
}

/** Applies withdrawals that the previous process of this node had acknowledged. */
internal fun ControlState.adoptWithdrawals(withdrawals: List<Withdrawal>, nowMillis: Long): Transition {
    val next = discovery.adopt(withdrawals, nowMillis)
    return if (next == discovery) withoutEffects() else applyDiscovery(next, UpstreamChange.WITHDRAWN, nowMillis)
}

/** Applies the registrations that were held until the withdrawals of the previous process were known. */
internal fun ControlState.releaseHeldRegistrations(nowMillis: Long): Transition =
    if (discovery.isHistoryKnown) {
        withoutEffects()
    } else {
        applyDiscovery(discovery.release(), UpstreamChange.WITHDRAWN, nowMillis)
    }

/** Replaces the state of discovery by [next] and reports [removal] for each upstream that it no longer contains. */
private fun ControlState.applyDiscovery(next: DiscoveryState, removal: UpstreamChange, nowMillis: Long): Transition {
    val notices = changeNotices(discovery, next, removal)
    return copy(discovery = next)
        .publishLocalUpstreams(nowMillis)
        .andThen { it.with(*notices.toTypedArray()) }
}

/** Returns a notice for each upstream whose state differs between [before] and [after]. */
private fun changeNotices(before: DiscoveryState, after: DiscoveryState, removal: UpstreamChange): List<Effect> {
    val removed = (before.upstreams.keys - after.upstreams.keys).map { report(Notice.UpstreamChanged(it, removal)) }
    val changed = after.upstreams.values.map { it.record }
        .filter { before.upstreams[it.instance]?.record?.state != it.state }
        .map { report(Notice.UpstreamChanged(it.instance, it.state.toUpstreamChange())) }
    return removed + changed
}

private fun UpstreamState.toUpstreamChange(): UpstreamChange =
    when (this) {
        UpstreamState.STARTING -> UpstreamChange.STARTING
        UpstreamState.SERVING -> UpstreamChange.SERVING
        UpstreamState.DRAINING -> UpstreamChange.DRAINING
    }

/** Broadcasts this node's record immediately if its upstreams or its intention to leave have changed. */
private fun ControlState.publishLocalUpstreams(nowMillis: Long): Transition {
    val localRecord = membership.localRecord ?: return withoutEffects()
    val isLeaving = lifecycle is LifecycleState.Draining
    val registered = discovery.upstreams.values
        .map { if (isLeaving) it.record.copy(state = UpstreamState.DRAINING) else it.record }
        .sortedBy { it.instance.value }
    val withdrawals = discovery.withdrawals()
    val isUnchanged = registered == localRecord.upstreams &&
        isLeaving == localRecord.leaving &&
        withdrawals == localRecord.withdrawals
    if (isUnchanged) return withoutEffects()
    return publishLocalRecord(nowMillis, urgent = true) {
        copy(upstreams = registered, leaving = isLeaving, withdrawals = withdrawals)
    }
}

/**
 * Longest time for which registrations are held after the start, if the store does not return this node's row.
 *
 * An upstream gets no work meanwhile, although its node has the configuration from its peers.
 */
private const val MAX_HOLD_MILLIS = 3_000L

/**
 * Longest time for which the acknowledgement waits for the store.
 *
 * An instance takes an acknowledgement that is later than a second for a failure.
 */
private const val MAX_PERSIST_WAIT_MILLIS = 500L
