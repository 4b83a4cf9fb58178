package boragelever.core.control

import boragelever.core.Fingerprint
import boragelever.core.NodeId
import boragelever.core.config.QuarantineConfig
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/** Quarantine of fingerprints whose requests repeatedly crashed the upstreams that ran them. */
public data class QuarantineState(
    /** Deaths of each fingerprint and when they happened, in this node's monotonic time. */
    public val deaths: PersistentMap<Fingerprint, PersistentMap<DeathId, Long>> = persistentMapOf(),
    /** Quarantined fingerprints and when their quarantine ends, in this node's monotonic time. */
    public val quarantined: PersistentMap<Fingerprint, Long> = persistentMapOf(),
    /** Fingerprints that the applied configuration releases and when this node first saw each of them listed. */
    public val lifted: PersistentMap<Fingerprint, Long> = persistentMapOf(),
    /** Number of the last death that this node reported. */
    public val lastDeath: Long = 0,
    public val nextCleanupMillis: Long = 0,
)

/** Identifies a death, the crash of an upstream while it ran a request, so that repeated messages count it once. */
public data class DeathId(public val node: NodeId, public val number: Long)

/** Upper bound of the number of fingerprints in [QuarantineState.deaths]; the oldest are dropped first. */
private const val MAX_FINGERPRINTS = 10_000

private const val CLEANUP_INTERVAL_MILLIS = 1_000L

/** Shift of the incarnation in death numbers, so that numbers keep growing over restarts of a node. */
private const val DEATH_NUMBER_BITS = 20

internal fun reduceQuarantine(state: ControlState, event: Event): Transition {
    val nowMillis = event.context.nowMillis
    val lifted = state.liftListed(nowMillis)
    return when (event) {
        is Event.UpstreamCrashed -> lifted.upstreamCrashed(event)
        is Event.PeerMessageReceived -> lifted.quarantineMessage(event.from, event.message, nowMillis)
        is Event.Ticked -> lifted.cleanup(nowMillis).withoutEffects()
        else -> lifted.withoutEffects()
    }
}

private val ControlState.quarantineConfig: QuarantineConfig
    get() = applied?.configuration?.quarantine ?: QuarantineConfig()

private inline fun ControlState.updateQuarantine(change: QuarantineState.() -> QuarantineState): ControlState =
    copy(quarantine = quarantine.change())

/** Releases the fingerprints that the applied configuration newly lists as lifted; only later deaths count again. */
private fun ControlState.liftListed(nowMillis: Long): ControlState {
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

private fun ControlState.upstreamCrashed(event: Event.UpstreamCrashed): Transition {
    val running = event.inFlight.distinct()
    if (running.isEmpty()) return withoutEffects()
    val number = maxOf(quarantine.lastDeath, identity.incarnation.value shl DEATH_NUMBER_BITS) + 1
    val deaths = running.map { FingerprintDeath(it, identity.node, number, ageMillis = 0) }
    val message = PeerMessage.QuarantineUpdate(0, deaths, TreeScope.SELF)
    val nowMillis = event.context.nowMillis
    return updateQuarantine { copy(lastDeath = number) }
        .recordDeaths(deaths, nowMillis)
        .andThen { it.deliverTo(it.treeEdges(Subtree(TreeScope.ALL)), message, nowMillis) }
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
    val withAck = send(from, PeerMessage.MemberAck(update.number))
    val received = withAck.state.recordReceipt(from, update.number) ?: return withAck
    val edges = received.treeEdges(Subtree(update.scope, update.range))
    return Transition(received, withAck.effects)
        .andThen { it.recordDeaths(update.deaths, nowMillis) }
        .andThen { it.deliverTo(edges, update, nowMillis) }
}

/** Sends all recorded deaths to a peer that compares member tables, for example one that has just joined. */
private fun ControlState.sendDeaths(peer: NodeId, nowMillis: Long): Transition {
    val deaths = quarantine.deaths.flatMap { (fingerprint, known) ->
        known.map { (id, atMillis) -> FingerprintDeath(fingerprint, id.node, id.number, nowMillis - atMillis) }
    }
    if (deaths.isEmpty()) return withoutEffects()
    val (next, number) = allocateNumber()
    return next.send(peer, PeerMessage.QuarantineUpdate(number, deaths, TreeScope.SELF))
}

private fun ControlState.recordDeaths(deaths: List<FingerprintDeath>, nowMillis: Long): Transition =
    foldTransitions(deaths) { state, death -> state.recordDeath(death, nowMillis) }

private fun ControlState.recordDeath(death: FingerprintDeath, nowMillis: Long): Transition {
    val config = quarantineConfig
    val atMillis = nowMillis - death.ageMillis
    val liftedMillis = quarantine.lifted[death.fingerprint]
    val isObsolete = death.ageMillis >= config.durationMillis || (liftedMillis != null && atMillis <= liftedMillis)
    val known = quarantine.deaths[death.fingerprint] ?: persistentMapOf()
    val id = DeathId(death.node, death.number)
    if (isObsolete || id in known) return withoutEffects()
    val next = known.put(id, atMillis)
    val counted = updateQuarantine { copy(deaths = deaths.put(death.fingerprint, next)) }
    if (next.size < config.deaths) return counted.withoutEffects()
    val untilMillis = next.values.max() + config.durationMillis
    val quarantining = counted.updateQuarantine { copy(quarantined = quarantined.put(death.fingerprint, untilMillis)) }
    return quarantining.with(report(Notice.Quarantined(death.fingerprint, next.size)))
}

/** Drops fingerprints whose deaths have all expired, and the oldest above [MAX_FINGERPRINTS]. */
private fun ControlState.cleanup(nowMillis: Long): ControlState {
    if (nowMillis < quarantine.nextCleanupMillis || quarantine.deaths.isEmpty()) return this
    val cutoffMillis = nowMillis - quarantineConfig.durationMillis
    val stale = quarantine.deaths.filterValues { known -> known.values.all { it <= cutoffMillis } }.keys
    val excess = (quarantine.deaths.keys - stale).take(maxOf(0, quarantine.deaths.size - stale.size - MAX_FINGERPRINTS))
    return updateQuarantine {
        copy(
            deaths = (stale + excess).fold(deaths) { rest, fingerprint -> rest.remove(fingerprint) },
            quarantined = (stale + excess).fold(quarantined) { rest, fingerprint -> rest.remove(fingerprint) },
            nextCleanupMillis = nowMillis + CLEANUP_INTERVAL_MILLIS,
        )
    }
}
