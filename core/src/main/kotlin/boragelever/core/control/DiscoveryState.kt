package boragelever.core.control

import boragelever.core.InstanceId
import boragelever.core.Withdrawal
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/** State of upstream discovery: the upstreams that are registered at this node. */
public data class DiscoveryState(
    public val upstreams: PersistentMap<InstanceId, LocalUpstream> = persistentMapOf(),
    /** Tombstones of upstreams that are no longer registered, so that a delayed registration does not restore them. */
    public val tombstones: PersistentMap<InstanceId, Tombstone> = persistentMapOf(),
    /** Registrations that arrived before the withdrawals of the previous process of this node were known. */
    public val held: PersistentMap<InstanceId, Event.UpstreamRegistered> = persistentMapOf(),
    /** Time until which registrations are held, or `null` once the withdrawals are known. */
    public val heldUntilMillis: Long? = null,
    /** Leaving upstreams that are not yet acknowledged, with the time at which they are in any case. */
    public val unacknowledged: PersistentMap<InstanceId, Long> = persistentMapOf(),
)

/** A registered upstream and the time at which its registration expires unless it is renewed. */
public data class LocalUpstream(
    public val record: UpstreamRecord,
    public val expiresMillis: Long,
    public val order: RegistrationOrder? = null,
    /** Order of the first registration in which the upstream was draining, or `null` if it is not. */
    public val drainingSince: RegistrationOrder? = null,
)

/** Last registration of an upstream that is no longer registered. */
public data class Tombstone(
    /** Registrations up to this order are outdated, or all of them if it is `null`. */
    public val order: RegistrationOrder?,
    public val createdMillis: Long,
    /** True if the upstream announced that it leaves, false if its registration expired or it crashed. */
    public val isWithdrawn: Boolean,
)

/** True once this node knows the withdrawals that its previous process acknowledged. */
internal val DiscoveryState.isHistoryKnown: Boolean get() = heldUntilMillis == null

/** The announcements of local upstreams that they leave, in the order of their instances. */
internal fun DiscoveryState.withdrawals(): List<Withdrawal> {
    val left = tombstones.filterValues { it.isWithdrawn }.mapValues { it.value.order }
    val draining = upstreams.mapValues { it.value.drainingSince }
    return (left + draining)
        .mapNotNull { (instance, order) -> order?.let { Withdrawal(instance, it.startedEpochMillis, it.sequence) } }
        .sortedByDescending { it.startedEpochMillis }
        .take(MAX_WITHDRAWALS)
        .sortedBy { it.instance.value }
}

/**
 * Applies a registration unless a later one of the same instance or for the same address is known.
 *
 * An instance that registers with the address of another one replaces it. While the withdrawals of the previous process
 * are not known, a registration that could give work to an upstream is held.
 */
internal fun DiscoveryState.register(event: Event.UpstreamRegistered): DiscoveryState {
    val record = event.upstream
    if (isOutdated(event)) return this
    if (!isHistoryKnown && event.order != null && record.state != UpstreamState.DRAINING) return hold(event)
    val replaced = upstreams.filterValues {
        it.order != null && it.record.address == record.address && it.record.instance != record.instance
    }.keys
    val remaining = replaced.fold(upstreams) { rest, instance -> rest.remove(instance) }
    val registered = LocalUpstream(
        record,
        event.context.nowMillis + event.ttlMillis,
        event.order,
        drainingSince(event),
    )
    return copy(
        upstreams = remaining.put(record.instance, registered),
        tombstones = tombstones.remove(record.instance),
        held = held.remove(record.instance),
    )
}

private fun DiscoveryState.hold(event: Event.UpstreamRegistered): DiscoveryState {
    val earlier = held[event.upstream.instance]?.order
    val order = event.order
    if (earlier != null && order != null && order <= earlier) return this
    return copy(held = held.put(event.upstream.instance, event))
}

private fun DiscoveryState.drainingSince(event: Event.UpstreamRegistered): RegistrationOrder? {
    if (event.upstream.state != UpstreamState.DRAINING) return null
    val earlier = upstreams[event.upstream.instance]?.drainingSince
    return earlier?.takeIf { it.startedEpochMillis == event.order?.startedEpochMillis } ?: event.order
}

private fun DiscoveryState.isOutdated(event: Event.UpstreamRegistered): Boolean {
    val order = event.order ?: return false
    val known = upstreams[event.upstream.instance]?.order
    val tombstone = tombstones[event.upstream.instance]
    val sameAddress = upstreams.values.filter {
        it.record.address == event.upstream.address && it.record.instance != event.upstream.instance
    }
    return (known != null && order <= known) ||
        (tombstone != null && tombstone.outdates(order)) ||
        sameAddress.any { order.startedEpochMillis < (it.order?.startedEpochMillis ?: Long.MIN_VALUE) }
}

private fun Tombstone.outdates(registration: RegistrationOrder): Boolean = order == null || registration <= order

/** Removes an upstream that deregistered, unless the deregistration is a late one of an earlier start. */
internal fun DiscoveryState.deregister(event: Event.UpstreamDeregistered): DiscoveryState {
    val instance = event.instance
    val known = upstreams[instance]?.order
    val startedEpochMillis = event.startedEpochMillis
        ?: known?.startedEpochMillis
        ?: tombstones[instance]?.order?.startedEpochMillis
    if (known != null && startedEpochMillis != null && startedEpochMillis < known.startedEpochMillis) return this
    val order = startedEpochMillis?.let { RegistrationOrder(it, Long.MAX_VALUE) }
    return withTombstone(instance, Tombstone(order, event.context.nowMillis, isWithdrawn = true))
}

/** Removes [instance] without its announcement, because it crashed or its registration expired. */
internal fun DiscoveryState.remove(instance: InstanceId, nowMillis: Long): DiscoveryState {
    val upstream = upstreams[instance] ?: return this
    val order = upstream.order ?: return copy(upstreams = upstreams.remove(instance))
    return withTombstone(instance, Tombstone(order, nowMillis, isWithdrawn = upstream.drainingSince != null))
}

/** Returns the state with [withdrawals] of the previous process of this node, as if it had received them itself. */
internal fun DiscoveryState.adopt(withdrawals: List<Withdrawal>, nowMillis: Long): DiscoveryState =
    withdrawals.fold(this) { state, withdrawal ->
        val order = RegistrationOrder(withdrawal.startedEpochMillis, withdrawal.sequence)
        val upstream = state.upstreams[withdrawal.instance]
        val tombstone = state.tombstones[withdrawal.instance]
        val isKnown = when {
            upstream != null -> upstream.order == null || upstream.order > order || upstream.drainingSince == order
            tombstone != null -> tombstone.outdates(order)
            else -> false
        }
        val adopted = Tombstone(order, nowMillis, isWithdrawn = true)
        if (isKnown) state else state.withTombstone(withdrawal.instance, adopted)
    }

private fun DiscoveryState.withTombstone(instance: InstanceId, tombstone: Tombstone): DiscoveryState {
    val heldOrder = held[instance]?.order
    val remaining = if (heldOrder != null && tombstone.outdates(heldOrder)) held.remove(instance) else held
    return copy(
        upstreams = upstreams.remove(instance),
        tombstones = tombstones.put(instance, tombstone),
        held = remaining,
    )
}

/** Applies the registrations that were held. */
internal fun DiscoveryState.release(): DiscoveryState {
    if (isHistoryKnown) return this
    val released = copy(held = persistentMapOf(), heldUntilMillis = null)
    return held.values.fold(released) { state, event -> state.register(event) }
}

/**
 * Returns the state without expired registrations and tombstones.
 *
 * After a pause, renewals may still be queued behind the tick, so nothing expires until the next one.
 */
internal fun DiscoveryState.withoutExpired(nowMillis: Long, wasPaused: Boolean): DiscoveryState {
    if (wasPaused) return this
    val expired = upstreams.filterValues { nowMillis >= it.expiresMillis }.keys
    val expiredTombstones = tombstones.filterValues { nowMillis - it.createdMillis >= TOMBSTONE_RETENTION_MILLIS }.keys
    if (expired.isEmpty() && expiredTombstones.isEmpty()) return this
    val remaining = expiredTombstones.fold(tombstones) { rest, instance -> rest.remove(instance) }
    return expired.fold(copy(tombstones = remaining)) { state, instance -> state.remove(instance, nowMillis) }
}

/** Retention of tombstones; a registration that is delayed longer would be accepted as new. */
private const val TOMBSTONE_RETENTION_MILLIS = 60_000L

/** Maximum number of withdrawals in a member record; a host has one upstream, which is replaced from time to time. */
private const val MAX_WITHDRAWALS = 8
