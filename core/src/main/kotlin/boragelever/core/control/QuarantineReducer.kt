package boragelever.core.control

import boragelever.core.Fingerprint
import boragelever.core.NodeId
import boragelever.core.config.QuarantineConfig
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/** State of the quarantine concern. */
public data class QuarantineState(
    /** Deaths of each fingerprint with the time at which they happened, by this node's clock. */
    public val deaths: PersistentMap<Fingerprint, PersistentMap<DeathId, Long>> = persistentMapOf(),
    /** Refused fingerprints with the time at which the refusal ends. */
    public val quarantined: PersistentMap<Fingerprint, Long> = persistentMapOf(),
    /** Fingerprints that the applied configuration releases, with the time since which it does. */
    public val lifted: PersistentMap<Fingerprint, Long> = persistentMapOf(),
    public val lastDeath: Long = 0,
    public val nextCleanupMillis: Long = 0,
)

/** Identifies a death, so that it counts once however often it is told. */
public data class DeathId(public val node: NodeId, public val number: Long)

/** Largest number of fingerprints that are remembered; the oldest are dropped first. */
private const val MAX_FINGERPRINTS = 10_000

private const val CLEANUP_MILLIS = 1_000L
private const val NUMBER_BITS = 20

internal fun reduceQuarantine(state: ControlState, event: Event): Transition {
    val nowMillis = event.stamp.nowMillis
    val lifted = state.lift(nowMillis)
    return when (event) {
        is Event.UpstreamDied -> lifted.upstreamDied(event)
        is Event.PeerMessageReceived -> lifted.quarantineMessage(event.from, event.message, nowMillis)
        is Event.Ticked -> lifted.cleanup(nowMillis).withoutEffects()
        else -> lifted.withoutEffects()
    }
}

private val ControlState.quarantineConfig: QuarantineConfig
    get() = applied?.configuration?.quarantine ?: QuarantineConfig()

private inline fun ControlState.updateQuarantine(change: QuarantineState.() -> QuarantineState): ControlState =
    copy(quarantine = quarantine.change())

/** Releases what the applied configuration newly lists. Deaths from then on count anew. */
private fun ControlState.lift(nowMillis: Long): ControlState {
    val listed = quarantineConfig.lifted
    val known = quarantine.lifted
    if (listed == known.keys) return this
    val added = listed - known.keys
    val removed = known.keys - listed
    return updateQuarantine {
        copy(
            deaths = added.fold(deaths) { rest, fingerprint -> rest.remove(fingerprint) },
            quarantined = added.fold(quarantined) { rest, fingerprint -> rest.remove(fingerprint) },
            lifted = removed
                .fold(lifted) { rest, fingerprint -> rest.remove(fingerprint) }
                .putAll(added.associateWith { nowMillis }),
        )
    }
}

private fun ControlState.upstreamDied(event: Event.UpstreamDied): Transition {
    val running = event.inFlight.distinct()
    if (running.isEmpty()) return withoutEffects()
    val first = maxOf(quarantine.lastDeath, identity.incarnation.value shl NUMBER_BITS) + 1
    val deaths = running.map { FingerprintDeath(it, identity.node, first, ageMillis = 0) }
    val message = PeerMessage.QuarantineUpdate(0, deaths, TreeScope.SELF)
    val nowMillis = event.stamp.nowMillis
    return updateQuarantine { copy(lastDeath = first) }
        .count(deaths, nowMillis)
        .andThen { it.deliverTo(it.hops(TreePart(TreeScope.ALL)), message, nowMillis) }
}

private fun ControlState.quarantineMessage(from: NodeId, message: PeerMessage, nowMillis: Long): Transition =
    when (message) {
        is PeerMessage.QuarantineUpdate -> receiveDeaths(from, message, nowMillis)
        is PeerMessage.MemberSummary -> sendDeaths(from, nowMillis)
        else -> withoutEffects()
    }

private fun ControlState.receiveDeaths(
    from: NodeId,
    update: PeerMessage.QuarantineUpdate,
    nowMillis: Long,
): Transition {
    val acknowledged = send(from, PeerMessage.MemberAck(update.number))
    val first = acknowledged.state.recordReceipt(from, update.number) ?: return acknowledged
    val hops = first.hops(TreePart(update.scope, update.range))
    return Transition(first, acknowledged.effects)
        .andThen { it.count(update.deaths, nowMillis) }
        .andThen { it.deliverTo(hops, update, nowMillis) }
}

/** Tells a peer that compares member tables, such as one that has just joined, what still counts. */
private fun ControlState.sendDeaths(peer: NodeId, nowMillis: Long): Transition {
    val deaths = quarantine.deaths.flatMap { (fingerprint, known) ->
        known.map { (id, atMillis) -> FingerprintDeath(fingerprint, id.node, id.number, nowMillis - atMillis) }
    }
    if (deaths.isEmpty()) return withoutEffects()
    val (next, number) = allocateNumber()
    return next.send(peer, PeerMessage.QuarantineUpdate(number, deaths, TreeScope.SELF))
}

private fun ControlState.count(deaths: List<FingerprintDeath>, nowMillis: Long): Transition =
    foldTransitions(deaths) { state, death -> state.countOne(death, nowMillis) }

private fun ControlState.countOne(death: FingerprintDeath, nowMillis: Long): Transition {
    val config = quarantineConfig
    val atMillis = nowMillis - death.ageMillis
    val liftedMillis = quarantine.lifted[death.fingerprint]
    val isOver = death.ageMillis >= config.durationMillis || (liftedMillis != null && atMillis <= liftedMillis)
    val known = quarantine.deaths[death.fingerprint] ?: persistentMapOf()
    val id = DeathId(death.node, death.number)
    if (isOver || id in known) return withoutEffects()
    val next = known.put(id, atMillis)
    val counted = updateQuarantine { copy(deaths = deaths.put(death.fingerprint, next)) }
    if (next.size < config.deaths) return counted.withoutEffects()
    val untilMillis = next.values.max() + config.durationMillis
    val refusing = counted.updateQuarantine { copy(quarantined = quarantined.put(death.fingerprint, untilMillis)) }
    return refusing.with(report(Notice.Quarantined(death.fingerprint, next.size)))
}

/** Drops deaths and refusals whose time is over. */
private fun ControlState.cleanup(nowMillis: Long): ControlState {
    if (nowMillis < quarantine.nextCleanupMillis || quarantine.deaths.isEmpty()) return this
    val boundMillis = nowMillis - quarantineConfig.durationMillis
    val over = quarantine.deaths.filterValues { known -> known.values.all { it <= boundMillis } }.keys
    val surplus = (quarantine.deaths.keys - over).take(maxOf(0, quarantine.deaths.size - over.size - MAX_FINGERPRINTS))
    return updateQuarantine {
        copy(
            deaths = (over + surplus).fold(deaths) { rest, fingerprint -> rest.remove(fingerprint) },
            quarantined = (over + surplus).fold(quarantined) { rest, fingerprint -> rest.remove(fingerprint) },
            nextCleanupMillis = nowMillis + CLEANUP_MILLIS,
        )
    }
}
