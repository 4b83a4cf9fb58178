package boragelever.core.control

import boragelever.core.InstanceId
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/** State of the discovery concern: the upstreams beside this node. */
public data class DiscoveryState(
    public val upstreams: PersistentMap<InstanceId, LocalUpstream> = persistentMapOf(),
)

/** An announced upstream and the time at which its announcement ends unless renewed. */
public data class LocalUpstream(public val record: UpstreamRecord, public val expiresMillis: Long)

internal fun reduceDiscovery(state: ControlState, event: Event): Transition {
    val upstreams = state.discovery.upstreams
    val nowMillis = event.stamp.nowMillis
    val next = when (event) {
        is Event.UpstreamAnnounced -> {
            val announced = LocalUpstream(event.upstream, nowMillis + event.ttlMillis)
            upstreams.put(event.upstream.instance, announced)
        }
        is Event.UpstreamWithdrawn -> upstreams.remove(event.instance)
        is Event.UpstreamDied -> upstreams.remove(event.instance)
        is Event.Ticked -> upstreams.withoutExpired(nowMillis, state.pausedMillis != null)
        else -> upstreams
    }
    if (next === upstreams && event !is Event.StopRequested) return state.unchanged()
    return state.copy(discovery = DiscoveryState(next)).publishUpstreams(nowMillis)
}

/** After a pause renewals may still wait in the queue, so the announcements get one more tick. */
private fun PersistentMap<InstanceId, LocalUpstream>.withoutExpired(
    nowMillis: Long,
    isPaused: Boolean,
): PersistentMap<InstanceId, LocalUpstream> {
    if (isPaused) return this
    val expired = filterValues { nowMillis >= it.expiresMillis }.keys
    return expired.fold(this) { rest, instance -> rest.remove(instance) }
}

/** Broadcasts the own record at once if the upstreams or the intention to leave have changed. */
private fun ControlState.publishUpstreams(nowMillis: Long): Transition {
    val own = members.own ?: return unchanged()
    val isLeaving = lifecycle is LifecycleState.Draining
    val announced = discovery.upstreams.values
        .map { if (isLeaving) it.record.copy(state = UpstreamState.DRAINING) else it.record }
        .sortedBy { it.instance.value }
    if (announced == own.upstreams && isLeaving == own.leaving) return unchanged()
    return publishOwn(nowMillis, urgent = true) { copy(upstreams = announced, leaving = isLeaving) }
}
