package boragelever.core.control

import boragelever.core.InstanceId
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/** State of the discovery concern: the upstreams beside this node. */
public data class DiscoveryState(
    public val upstreams: PersistentMap<InstanceId, LocalUpstream> = persistentMapOf(),
    /** Upstreams that have left, so that a delayed announcement does not bring them back. */
    public val departed: PersistentMap<InstanceId, Departure> = persistentMapOf(),
)

/** An announced upstream and the time at which its announcement ends unless renewed. */
public data class LocalUpstream(
    public val record: UpstreamRecord,
    public val expiresMillis: Long,
    public val order: RegistrationOrder? = null,
)

/** The last announcement of an upstream that has left. */
public data class Departure(public val order: RegistrationOrder?, public val atMillis: Long)

internal fun reduceDiscovery(state: ControlState, event: Event): Transition {
    val nowMillis = event.stamp.nowMillis
    val discovery = state.discovery
    val next = when (event) {
        is Event.UpstreamRegistered -> discovery.announced(event)
        is Event.UpstreamDeregistered -> discovery.departed(event.instance, nowMillis)
        is Event.UpstreamCrashed -> discovery.copy(upstreams = discovery.upstreams.remove(event.instance))
        is Event.Ticked -> discovery.withoutExpired(nowMillis, state.pausedMillis != null)
        else -> discovery
    }
    if (next === discovery && event !is Event.StopRequested) return state.withoutEffects()
    return state.copy(discovery = next)
        .publishUpstreams(nowMillis)
        .andThen { it.with(*changes(discovery, next, event).toTypedArray()) }
}

/** Reports each upstream whose state differs between [before] and [after]. */
private fun changes(before: DiscoveryState, after: DiscoveryState, event: Event): List<Effect> {
    val gone = (before.upstreams.keys - after.upstreams.keys).map { instance ->
        val change = when (event) {
            is Event.UpstreamCrashed -> UpstreamChange.DIED
            is Event.Ticked -> UpstreamChange.EXPIRED
            else -> UpstreamChange.WITHDRAWN
        }
        report(Notice.UpstreamChanged(instance, change))
    }
    val changed = after.upstreams.values.map { it.record }
        .filter { before.upstreams[it.instance]?.record?.state != it.state }
        .map { report(Notice.UpstreamChanged(it.instance, it.state.change())) }
    return gone + changed
}

private fun UpstreamState.change(): UpstreamChange =
    when (this) {
        UpstreamState.STARTING -> UpstreamChange.STARTING
        UpstreamState.SERVING -> UpstreamChange.SERVING
        UpstreamState.DRAINING -> UpstreamChange.DRAINING
    }

/**
 * Takes an announcement unless a later one of the same instance or at the same address is known.
 *
 * An instance that takes over an address replaces the one that had it before.
 */
private fun DiscoveryState.announced(event: Event.UpstreamRegistered): DiscoveryState {
    if (isOutdated(event)) return this
    val record = event.upstream
    val replaced = upstreams.filterValues {
        it.order != null && it.record.address == record.address && it.record.instance != record.instance
    }.keys
    val kept = replaced.fold(upstreams) { rest, instance -> rest.remove(instance) }
    val announced = LocalUpstream(record, event.stamp.nowMillis + event.ttlMillis, event.order)
    return copy(upstreams = kept.put(record.instance, announced), departed = departed.remove(record.instance))
}

private fun DiscoveryState.isOutdated(event: Event.UpstreamRegistered): Boolean {
    val order = event.order ?: return false
    val known = upstreams[event.upstream.instance]?.order
    val left = departed[event.upstream.instance]
    val atAddress = upstreams.values.filter {
        it.record.address == event.upstream.address && it.record.instance != event.upstream.instance
    }
    return (known != null && order <= known) ||
        (left != null && order.startedEpochMillis <= (left.order?.startedEpochMillis ?: Long.MAX_VALUE)) ||
        atAddress.any { order.startedEpochMillis < (it.order?.startedEpochMillis ?: Long.MIN_VALUE) }
}

private fun DiscoveryState.departed(instance: InstanceId, nowMillis: Long): DiscoveryState {
    val order = upstreams[instance]?.order
    return copy(upstreams = upstreams.remove(instance), departed = departed.put(instance, Departure(order, nowMillis)))
}

/** After a pause renewals may still wait in the queue, so the announcements get one more tick. */
private fun DiscoveryState.withoutExpired(nowMillis: Long, isPaused: Boolean): DiscoveryState {
    if (isPaused) return this
    val expired = upstreams.filterValues { nowMillis >= it.expiresMillis }.keys
    val forgotten = departed.filterValues { nowMillis - it.atMillis >= DEPARTURE_KEPT_MILLIS }.keys
    if (expired.isEmpty() && forgotten.isEmpty()) return this
    return DiscoveryState(
        upstreams = expired.fold(upstreams) { rest, instance -> rest.remove(instance) },
        departed = forgotten.fold(departed) { rest, instance -> rest.remove(instance) },
    )
}

/** Broadcasts the own record at once if the upstreams or the intention to leave have changed. */
private fun ControlState.publishUpstreams(nowMillis: Long): Transition {
    val own = membership.own ?: return withoutEffects()
    val isLeaving = lifecycle is LifecycleState.Draining
    val announced = discovery.upstreams.values
        .map { if (isLeaving) it.record.copy(state = UpstreamState.DRAINING) else it.record }
        .sortedBy { it.instance.value }
    if (announced == own.upstreams && isLeaving == own.leaving) return withoutEffects()
    return publishOwn(nowMillis, urgent = true) { copy(upstreams = announced, leaving = isLeaving) }
}

/** Longest time by which an announcement may be delayed; later ones would be taken for new. */
private const val DEPARTURE_KEPT_MILLIS = 60_000L
