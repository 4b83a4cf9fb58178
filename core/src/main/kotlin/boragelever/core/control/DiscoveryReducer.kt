package boragelever.core.control

import boragelever.core.InstanceId
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/** State of upstream discovery: the upstreams that are registered at this node. */
public data class DiscoveryState(
    public val upstreams: PersistentMap<InstanceId, LocalUpstream> = persistentMapOf(),
    /** Tombstones of deregistered upstreams, so that a delayed registration does not restore them. */
    public val tombstones: PersistentMap<InstanceId, Tombstone> = persistentMapOf(),
)

/** A registered upstream and the time at which its registration expires unless it is renewed. */
public data class LocalUpstream(
    public val record: UpstreamRecord,
    public val expiresMillis: Long,
    public val order: RegistrationOrder? = null,
)

/** Last registration of an upstream that was deregistered. */
public data class Tombstone(public val order: RegistrationOrder?, public val createdMillis: Long)

internal fun reduceDiscovery(state: ControlState, event: Event): Transition {
    val nowMillis = event.context.nowMillis
    val discovery = state.discovery
    val next = when (event) {
        is Event.UpstreamRegistered -> discovery.register(event)
        is Event.UpstreamDeregistered -> discovery.deregister(event.instance, nowMillis)
        is Event.UpstreamCrashed -> discovery.copy(upstreams = discovery.upstreams.remove(event.instance))
        is Event.Ticked -> discovery.withoutExpired(nowMillis, state.pausedMillis != null)
        else -> discovery
    }
    if (next === discovery && event !is Event.StopRequested) return state.withoutEffects()
    return state.copy(discovery = next)
        .publishLocalUpstreams(nowMillis)
        .andThen { it.with(*changeNotices(discovery, next, event).toTypedArray()) }
}

/** Returns a notice for each upstream whose state differs between [before] and [after]. */
private fun changeNotices(before: DiscoveryState, after: DiscoveryState, event: Event): List<Effect> {
    val removed = (before.upstreams.keys - after.upstreams.keys).map { instance ->
        val change = when (event) {
            is Event.UpstreamCrashed -> UpstreamChange.DIED
            is Event.Ticked -> UpstreamChange.EXPIRED
            else -> UpstreamChange.WITHDRAWN
        }
        report(Notice.UpstreamChanged(instance, change))
    }
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

/**
 * Applies a registration unless a later one of the same instance or for the same address is known.
 *
 * An instance that registers with the address of another one replaces it.
 */
private fun DiscoveryState.register(event: Event.UpstreamRegistered): DiscoveryState {
    if (isOutdated(event)) return this
    val record = event.upstream
    val replaced = upstreams.filterValues {
        it.order != null && it.record.address == record.address && it.record.instance != record.instance
    }.keys
    val remaining = replaced.fold(upstreams) { rest, instance -> rest.remove(instance) }
    val registered = LocalUpstream(record, event.context.nowMillis + event.ttlMillis, event.order)
    return copy(upstreams = remaining.put(record.instance, registered), tombstones = tombstones.remove(record.instance))
}

private fun DiscoveryState.isOutdated(event: Event.UpstreamRegistered): Boolean {
    val order = event.order ?: return false
    val known = upstreams[event.upstream.instance]?.order
    val tombstone = tombstones[event.upstream.instance]
    val sameAddress = upstreams.values.filter {
        it.record.address == event.upstream.address && it.record.instance != event.upstream.instance
    }
    return (known != null && order <= known) ||
        (tombstone != null && order.startedEpochMillis <= (tombstone.order?.startedEpochMillis ?: Long.MAX_VALUE)) ||
        sameAddress.any { order.startedEpochMillis < (it.order?.startedEpochMillis ?: Long.MIN_VALUE) }
}

private fun DiscoveryState.deregister(instance: InstanceId, nowMillis: Long): DiscoveryState {
    val order = upstreams[instance]?.order
    return copy(
        upstreams = upstreams.remove(instance),
        tombstones = tombstones.put(instance, Tombstone(order, nowMillis)),
    )
}

/**
 * Returns the state without expired registrations and tombstones.
 *
 * After a pause, renewals may still be queued behind the tick, so nothing expires until the next one.
 */
private fun DiscoveryState.withoutExpired(nowMillis: Long, wasPaused: Boolean): DiscoveryState {
    if (wasPaused) return this
    val expired = upstreams.filterValues { nowMillis >= it.expiresMillis }.keys
    val expiredTombstones = tombstones.filterValues { nowMillis - it.createdMillis >= TOMBSTONE_RETENTION_MILLIS }.keys
    if (expired.isEmpty() && expiredTombstones.isEmpty()) return this
    return DiscoveryState(
        upstreams = expired.fold(upstreams) { rest, instance -> rest.remove(instance) },
        tombstones = expiredTombstones.fold(tombstones) { rest, instance -> rest.remove(instance) },
    )
}

/** Broadcasts this node's record immediately if its upstreams or its intention to leave have changed. */
private fun ControlState.publishLocalUpstreams(nowMillis: Long): Transition {
    val localRecord = membership.localRecord ?: return withoutEffects()
    val isLeaving = lifecycle is LifecycleState.Draining
    val registered = discovery.upstreams.values
        .map { if (isLeaving) it.record.copy(state = UpstreamState.DRAINING) else it.record }
        .sortedBy { it.instance.value }
    if (registered == localRecord.upstreams && isLeaving == localRecord.leaving) return withoutEffects()
    return publishLocalRecord(nowMillis, urgent = true) { copy(upstreams = registered, leaving = isLeaving) }
}

/** Retention of tombstones; a registration that is delayed longer would be accepted as new. */
private const val TOMBSTONE_RETENTION_MILLIS = 60_000L
