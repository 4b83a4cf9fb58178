package boragelever.core.control

import boragelever.core.Fingerprint
import boragelever.core.NodeId
import boragelever.core.RecordedDeath
import boragelever.core.config.QuarantineConfig
import boragelever.core.store.RowValue
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/** Upper bound of the number of fingerprints in [QuarantineState.deaths]; the oldest are dropped first. */
private const val MAX_FINGERPRINTS = 10_000

private const val CLEANUP_INTERVAL_MILLIS = 1_000L

/** Shortest interval between two transfers of the evidence because of different digests. */
private const val EVIDENCE_INTERVAL_MILLIS = 500L

/** Upper bound of the deaths in a member row. */
private const val MAX_RECORDED_DEATHS = 32

/** Shift of the incarnation in death numbers, so that numbers keep growing over restarts of a node. */
private const val DEATH_NUMBER_BITS = 20

internal fun reduceQuarantine(state: ControlState, event: Event): Transition {
    val nowMillis = event.context.nowMillis
    val lifted = state.liftListed(nowMillis)
    val transition = when (event) {
        is Event.UpstreamCrashed -> lifted.upstreamCrashed(event)
        is Event.RequestCompleted -> lifted.requestCompleted(event)
        is Event.PeerMessageReceived -> lifted.quarantineMessage(event.from, event.message, nowMillis)
        is Event.Ticked -> lifted.cleanup(nowMillis).withoutEffects()
        else -> lifted.withoutEffects()
    }
    return transition.andThen { it.watchCompletions(before = state) }
}

private val ControlState.quarantineConfig: QuarantineConfig
    get() = applied?.configuration?.quarantine ?: QuarantineConfig()

private inline fun ControlState.updateQuarantine(change: QuarantineState.() -> QuarantineState): ControlState =
    copy(quarantine = quarantine.change())

/** Has the proxy report completions of the quarantined requests; it is asked again whenever their set changes. */
private fun ControlState.watchCompletions(before: ControlState): Transition {
    if (quarantine.quarantined === before.quarantine.quarantined) return withoutEffects()
    val fingerprints = quarantine.quarantined.keys.toSet()
    if (fingerprints == before.quarantine.quarantined.keys) return withoutEffects()
    return with(Effect.WatchCompletions(fingerprints))
}

/** Releases the fingerprints that the applied configuration newly lists as lifted; only later deaths count again. */
private fun ControlState.liftListed(nowMillis: Long): ControlState {
    val listed = quarantineConfig.lifted
    val known = quarantine.lifted
    if (listed == known.keys) return this
    val added = listed - known.keys
    val removed = known.keys - listed
    return updateQuarantine {
        copy(
            deaths = deaths.without(added),
            quarantined = quarantined.without(added),
            lifted = lifted.without(removed).putAll(added.associateWith { nowMillis }),
        )
    }
}

/** Records and broadcasts the deaths of the requests that have not completed at this node. */
private fun ControlState.upstreamCrashed(event: Event.UpstreamCrashed): Transition {
    val (completed, suspects) = event.inFlight.partition { it.hasCompleted }
    val reports = if (completed.isEmpty()) {
        emptyList()
    } else {
        listOf(report(Notice.CrashUnrelated(event.instance, completed.map { it.fingerprint })))
    }
    if (suspects.isEmpty()) return Transition(this, reports)
    val number = maxOf(quarantine.lastDeath, identity.incarnation.value shl DEATH_NUMBER_BITS) + 1
    val deaths = suspects.distinctBy { it.fingerprint }.map { suspect ->
        FingerprintDeath(suspect.fingerprint, identity.node, number, ageMillis = 0, event.instance, suspect.isTrial)
    }
    val nowMillis = event.context.nowMillis
    return Transition(updateQuarantine { copy(lastDeath = number) }, reports)
        .andThen { it.recordDeaths(deaths, nowMillis) }
        .andThen { it.broadcast(deaths, emptyList(), nowMillis) }
}

/** Ends the quarantine of a request that a local upstream has completed, on all nodes. */
private fun ControlState.requestCompleted(event: Event.RequestCompleted): Transition {
    if (event.fingerprint !in quarantine.quarantined) return withoutEffects()
    val completion = FingerprintCompletion(event.fingerprint, identity.node, event.instance, ageMillis = 0)
    val nowMillis = event.context.nowMillis
    return recordCompletion(completion, nowMillis)
        .andThen { it.broadcast(emptyList(), listOf(completion), nowMillis) }
}

private fun ControlState.broadcast(
    deaths: List<FingerprintDeath>,
    completions: List<FingerprintCompletion>,
    nowMillis: Long,
): Transition {
    val message = PeerMessage.QuarantineUpdate(0, deaths, TreeScope.SELF, completions = completions)
    return deliverTo(treeEdges(Subtree(TreeScope.ALL)), message, nowMillis)
}

private fun ControlState.quarantineMessage(from: NodeId, message: PeerMessage, nowMillis: Long): Transition =
    when (message) {
        is PeerMessage.QuarantineUpdate -> receiveUpdate(from, message, nowMillis)
        is PeerMessage.MemberSummary -> sendEvidence(from, nowMillis)
        is PeerMessage.Heartbeat -> compareQuarantines(from, message.quarantineDigest, nowMillis)
        is PeerMessage.HeartbeatAck -> compareQuarantines(from, message.quarantineDigest, nowMillis)
        else -> withoutEffects()
    }

private fun ControlState.receiveUpdate(
    from: NodeId,
    update: PeerMessage.QuarantineUpdate,
    nowMillis: Long,
): Transition {
    val withAck = send(from, PeerMessage.MemberAck(update.number))
    val received = withAck.state.recordReceipt(from, update.number) ?: return withAck
    val edges = received.treeEdges(Subtree(update.scope, update.range))
    return Transition(received, withAck.effects)
        .andThen { it.recordCompletions(update.completions, nowMillis) }
        .andThen { it.recordDeaths(update.deaths, nowMillis) }
        .andThen { it.deliverTo(edges, update, nowMillis) }
}

/** Repairs the loss of an update: a peer that refuses other requests than this node gets the evidence. */
private fun ControlState.compareQuarantines(peer: NodeId, remoteDigest: Long, nowMillis: Long): Transition {
    if (remoteDigest == quarantine.digest || nowMillis < quarantine.nextEvidenceMillis) return withoutEffects()
    return updateQuarantine { copy(nextEvidenceMillis = nowMillis + EVIDENCE_INTERVAL_MILLIS) }
        .sendEvidence(peer, nowMillis)
}

/** Sends all recorded deaths and completions to a peer that compares member tables, for example after its start. */
private fun ControlState.sendEvidence(peer: NodeId, nowMillis: Long): Transition {
    val deaths = quarantine.deaths.flatMap { (fingerprint, known) ->
        known.map { (id, death) ->
            val ageMillis = nowMillis - death.atMillis
            FingerprintDeath(fingerprint, id.node, id.number, ageMillis, death.instance, death.isTrial)
        }
    }
    val completions = quarantine.completions.map { (fingerprint, atMillis) ->
        FingerprintCompletion(fingerprint, identity.node, instance = null, nowMillis - atMillis)
    }
    if (deaths.isEmpty() && completions.isEmpty()) return withoutEffects()
    val (next, number) = allocateNumber()
    val update = PeerMessage.QuarantineUpdate(number, deaths, TreeScope.SELF, completions = completions)
    return next.send(peer, update)
}

/** Returns the deaths at this node that quarantine a request, for its row in the store. */
internal fun ControlState.recordedDeaths(): List<RecordedDeath> {
    if (quarantine.quarantined.isEmpty()) return emptyList()
    val epochOffsetMillis = identity.epochOffsetMillis
    return quarantine.quarantined.keys.flatMap { fingerprint ->
        quarantine.deaths[fingerprint].orEmpty().filterKeys { it.node == identity.node }.map { (id, death) ->
            val atEpochMillis = death.atMillis + epochOffsetMillis
            RecordedDeath(fingerprint, id.number, atEpochMillis, death.instance, death.isTrial)
        }
    }.takeLast(MAX_RECORDED_DEATHS)
}

/** Records the deaths in member rows, which outlast a restart of all nodes. */
internal fun ControlState.adoptDeaths(rows: List<RowValue.Member>, nowMillis: Long): Transition {
    val epochMillis = nowMillis + identity.epochOffsetMillis
    val deaths = rows.flatMap { row ->
        row.deaths.takeLast(MAX_RECORDED_DEATHS).map {
            val ageMillis = maxOf(0, epochMillis - it.atEpochMillis)
            FingerprintDeath(it.fingerprint, row.node, it.number, ageMillis, it.instance, it.isTrial)
        }
    }
    return recordDeaths(deaths, nowMillis)
}

private fun ControlState.recordCompletions(completions: List<FingerprintCompletion>, nowMillis: Long): Transition =
    foldTransitions(completions) { state, completion -> state.recordCompletion(completion, nowMillis) }

private fun ControlState.recordDeaths(deaths: List<FingerprintDeath>, nowMillis: Long): Transition =
    foldTransitions(deaths) { state, death -> state.recordDeath(death, nowMillis) }

private fun ControlState.recordDeath(reported: FingerprintDeath, nowMillis: Long): Transition {
    val config = quarantineConfig
    val fingerprint = reported.fingerprint
    val death = Death(nowMillis - reported.ageMillis, reported.instance, reported.isTrial)
    val liftedMillis = quarantine.lifted[fingerprint]
    val completedMillis = quarantine.completions[fingerprint]
    val isObsolete = reported.ageMillis >= config.durationMillis ||
        (liftedMillis != null && death.atMillis <= liftedMillis) ||
        (completedMillis != null && death.isExplainedBy(completedMillis))
    val known = quarantine.deaths[fingerprint] ?: persistentMapOf()
    val id = DeathId(reported.node, reported.number)
    if (isObsolete || id in known) return withoutEffects()
    val next = known.put(id, death)
    val counted = updateQuarantine { copy(deaths = deaths.put(fingerprint, next)) }
    val imposed = config.quarantineOf(next.values) ?: return counted.withoutEffects()
    val notice = Notice.Quarantined(fingerprint, next.values.toList(), fingerprint !in quarantine.quarantined)
    return counted.updateQuarantine { copy(quarantined = quarantined.put(fingerprint, imposed)) }.with(report(notice))
}

/** Drops the deaths that [completion] explains, and ends the quarantine if too few are left. */
private fun ControlState.recordCompletion(completion: FingerprintCompletion, nowMillis: Long): Transition {
    if (completion.ageMillis >= COMPLETION_VALID_MILLIS) return withoutEffects()
    val fingerprint = completion.fingerprint
    val atMillis = maxOf(nowMillis - completion.ageMillis, quarantine.completions[fingerprint] ?: Long.MIN_VALUE)
    val known = quarantine.deaths[fingerprint] ?: persistentMapOf()
    val explained = known.filterValues { it.isExplainedBy(atMillis) }
    val left = known.without(explained.keys)
    val remaining = quarantineConfig.quarantineOf(left.values)
    val next = updateQuarantine {
        copy(
            completions = completions.put(fingerprint, atMillis),
            deaths = if (left.isEmpty()) deaths.remove(fingerprint) else deaths.put(fingerprint, left),
            quarantined =
                if (remaining == null) quarantined.remove(fingerprint) else quarantined.put(fingerprint, remaining),
        )
    }
    val isReleased = remaining == null && fingerprint in quarantine.quarantined
    if (!isReleased) return next.withoutEffects()
    val notice = Notice.QuarantineEnded(fingerprint, explained.values.toList(), completion.node, completion.instance)
    return next.with(report(notice))
}

/** Drops fingerprints whose deaths have all expired, the oldest above [MAX_FINGERPRINTS], and expired completions. */
private fun ControlState.cleanup(nowMillis: Long): ControlState {
    val isEmpty = quarantine.deaths.isEmpty() && quarantine.completions.isEmpty()
    if (nowMillis < quarantine.nextCleanupMillis || isEmpty) return this
    val cutoffMillis = nowMillis - quarantineConfig.durationMillis
    val stale = quarantine.deaths.filterValues { known -> known.values.all { it.atMillis <= cutoffMillis } }.keys
    val excess = (quarantine.deaths.keys - stale)
        .sortedBy { it in quarantine.quarantined }
        .take(maxOf(0, quarantine.deaths.size - stale.size - MAX_FINGERPRINTS))
    val dropped = stale + excess
    val expired = quarantine.completions.filterValues { nowMillis - it >= COMPLETION_VALID_MILLIS }.keys
    return updateQuarantine {
        copy(
            deaths = deaths.without(dropped),
            completions = completions.without(expired),
            quarantined = quarantined.without(dropped),
            nextCleanupMillis = nowMillis + CLEANUP_INTERVAL_MILLIS,
        )
    }
}

private fun <K, V> PersistentMap<K, V>.without(keys: Collection<K>): PersistentMap<K, V> =
    keys.fold(this) { rest, key -> rest.remove(key) }
