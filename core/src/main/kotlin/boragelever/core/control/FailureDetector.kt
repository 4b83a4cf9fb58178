package boragelever.core.control

import boragelever.core.EventContext
import boragelever.core.NodeId
import boragelever.core.RegionName
import kotlinx.collections.immutable.toPersistentMap

/** Time without a message from a region after which a relay reports it unreachable: two heartbeats and their acks. */
internal const val REGION_TIMEOUT_MILLIS: Long = 2_500

/** Time after which a node declares a suspect of another region dead if another node raised the suspicion. */
private const val REMOTE_SUSPICION_TIMEOUT_MILLIS = 10_000L

/** Time for which dead members are kept and contacted; longer than the partitions between regions. */
private const val DEAD_RETENTION_MILLIS = 1_800_000L

/** Mean interval between two contacts with dead members if no death is recent. */
private const val DEAD_CONTACT_INTERVAL_MILLIS = 10_000L

/** Time for which a death counts as recent; a killed process restarts within it. */
private const val RECENT_DEATH_WINDOW_MILLIS = 30_000L

/** Minimum mean interval between two contacts while a death is recent. */
private const val MIN_DEAD_CONTACT_INTERVAL_MILLIS = 2_000L

/** Contribution of each live member to that interval, since every live member contacts the dead ones. */
private const val DEAD_CONTACT_INTERVAL_MILLIS_PER_MEMBER = 100L

/** Maximum number of times that refutations in a row double the suspicion timeout. */
private const val MAX_DOUBLINGS = 4

/** Time after which a refutation no longer counts; longer than the longest suspicion timeout. */
private const val REFUTATION_WINDOW_MILLIS = 60_000L

/** Suspects silent peers, declares suspects dead, and sends heartbeats that are due. */
internal fun ControlState.tickDetector(context: EventContext): Transition =
    suspectSilentPeers(context.nowMillis)
        .andThen { it.declareDeadSuspects(context.nowMillis) }
        .andThen { if (it.isHeartbeatDue(context)) it.sendHeartbeats(context) else it.withoutEffects() }
        .andThenIf(context.nowMillis >= membership.detector.nextDeadContactAtMillis) { it.contactDeadMember(context) }

private fun ControlState.isHeartbeatDue(context: EventContext): Boolean =
    context.nowMillis >= membership.detector.nextHeartbeatAtMillis

internal inline fun ControlState.updateDetector(change: DetectorState.() -> DetectorState): ControlState =
    updateMembership { copy(detector = detector.change()) }

/** Restarts all timers of the detector: silence during a pause of this process says nothing about the peers. */
internal fun ControlState.resetDetectorTimers(nowMillis: Long): ControlState =
    updateDetector {
        copy(
            monitored = monitored
                .mapValues { (_, entry) -> entry.copy(lastHeardMillis = nowMillis) }
                .toPersistentMap(),
            suspects = suspects
                .mapValues { (_, suspicion) -> suspicion.copy(sinceMillis = nowMillis) }
                .toPersistentMap(),
            regionLastHeardMillis = regionLastHeardMillis.mapValues { nowMillis }.toPersistentMap(),
        )
    }

/** Records that [peer] sent a message. */
internal fun ControlState.recordContact(peer: NodeId, nowMillis: Long): ControlState {
    val entry = membership.detector.monitored[peer]
    val region = membership.table[peer]?.record?.region
    return updateMembership { copy(lastContactMillis = nowMillis) }.updateDetector {
        copy(
            monitored =
                if (entry == null) monitored else monitored.put(peer, entry.copy(lastHeardMillis = nowMillis)),
            regionLastHeardMillis =
                if (region == null) regionLastHeardMillis else regionLastHeardMillis.put(region, nowMillis),
        )
    }
}

internal fun ControlState.recordHeartbeatAck(peer: NodeId, number: Long): ControlState {
    val entry = membership.detector.monitored[peer] ?: return this
    if (number <= entry.lastAckedNumber) return this
    return updateDetector { copy(monitored = monitored.put(peer, entry.copy(lastAckedNumber = number))) }
}

private fun ControlState.suspectSilentPeers(nowMillis: Long): Transition {
    val silent = membership.detector.monitored.filter { (node, entry) ->
        nowMillis - entry.lastHeardMillis >= entry.suspicionTimeoutMillis(nowMillis) &&
            isInLocalRegion(node) && isAlive(node)
    }
    return foldTransitions(silent.keys) { state, node ->
        val suspicion = Suspicion(nowMillis, raisedLocally = true)
        state
            .updateDetector { copy(suspects = suspects.put(node, suspicion), nextHeartbeatAtMillis = nowMillis) }
            .declareStatus(node, MemberStatus.SUSPECT, nowMillis, shouldBroadcast = true)
    }
}

/**
 * Time without a message after which the peer is suspect. The second refutation in a row and each further one double
 * it, since the link between the two nodes has then failed and not the peer.
 */
private fun MonitoredPeer.suspicionTimeoutMillis(nowMillis: Long): Long =
    SUSPECT_AFTER_MILLIS shl (recentRefutations(nowMillis) - 1).coerceIn(0, MAX_DOUBLINGS)

/** Number of refutations in a row, or 0 if the last one is older than [REFUTATION_WINDOW_MILLIS]. */
internal fun MonitoredPeer.recentRefutations(nowMillis: Long): Int =
    if (lastRefutedMillis != null && nowMillis - lastRefutedMillis < REFUTATION_WINDOW_MILLIS) refutations else 0

private fun ControlState.isInLocalRegion(node: NodeId): Boolean =
    membership.table[node]?.record?.region == identity.region

private fun ControlState.isAlive(node: NodeId): Boolean = membership.table[node]?.status == MemberStatus.ALIVE

private fun ControlState.declareDeadSuspects(nowMillis: Long): Transition {
    val expired = membership.detector.suspects.filter { (node, suspicion) ->
        val region = membership.table[node]?.record?.region
        val isLocal = suspicion.raisedLocally || region == identity.region
        val boundMillis = if (isLocal) DEAD_AFTER_MILLIS else REMOTE_SUSPICION_TIMEOUT_MILLIS
        nowMillis - suspicion.sinceMillis >= boundMillis && (region == null || !isUnreachable(region))
    }
    return foldTransitions(expired.entries) { state, (node, suspicion) ->
        state.declareStatus(node, MemberStatus.DEAD, nowMillis, shouldBroadcast = suspicion.raisedLocally)
    }
}

private fun ControlState.sendHeartbeats(context: EventContext): Transition {
    val nowMillis = context.nowMillis
    val relays = membership.table.relays(identity.region, relaysPerRegion)
    val isRelay = identity.node in relays
    val remote = if (isRelay) remoteTargets(context) else emptyList()
    val targets = (monitoredSuccessors() + remote).toSet()
    val detector = membership.detector
    val monitoredPeers = targets.associateWith { detector.monitored[it] ?: MonitoredPeer(nowMillis) }.toPersistentMap()
    val relaySinceMillis = if (isRelay) detector.relaySinceMillis ?: nowMillis else null
    return updateDetector {
        copy(
            monitored = monitoredPeers,
            relaySinceMillis = relaySinceMillis,
            nextHeartbeatAtMillis = nowMillis + HEARTBEAT_INTERVAL_MILLIS,
        )
    }.foldTransitions(targets) { state, peer -> state.sendHeartbeat(peer) }
        .andThen { it.publishReachability(nowMillis) }
}

/**
 * Returns the nearest successors in the ring up to and including the third one that is alive.
 *
 * Each suspect among them extends the range by one, so that neighbours that fail together, such as the nodes of a zone,
 * are detected within a few rounds although the nodes that monitor them have failed as well.
 */
private fun ControlState.monitoredSuccessors(): List<NodeId> {
    var remaining = MONITORED_SUCCESSORS
    return membership.table.region(identity.region).ring
        .after(identity.node)
        .takeWhile { node ->
            val isIncluded = remaining > 0
            remaining += if (isAlive(node)) -1 else 1
            isIncluded
        }.toList()
}

/** Returns the relays of the other regions, and a random member of each unreachable one in case its relays failed. */
private fun ControlState.remoteTargets(context: EventContext): List<NodeId> =
    membership.table.regions.filterKeys { it != identity.region }.flatMap { (region, rings) ->
        val relays = membership.table.relays(region, relaysPerRegion)
        val lacksReachableRelay = relays.isEmpty() || isUnreachable(region)
        val extra = rings.ring.entries.randomOrNull(context.random("region"))?.takeIf { lacksReachableRelay }
        relays + listOfNotNull(extra?.node)
    }

private fun ControlState.sendHeartbeat(peer: NodeId): Transition {
    val entry = membership.detector.monitored[peer] ?: return withoutEffects()
    val number = membership.detector.lastNumber + 1
    val heartbeat = heartbeat(number)
    // A connection without replies may not recover, while a new one may work.
    val isUnanswered = entry.lastSentNumber != 0L && entry.lastAckedNumber < entry.lastSentNumber
    return updateDetector {
        copy(lastNumber = number, monitored = monitored.put(peer, entry.copy(lastSentNumber = number)))
    }
        .let { if (isUnanswered) it.with(Effect.ClosePeer(peer)) else it.withoutEffects() }
        .andThen { it.send(peer, heartbeat) }
}

private fun ControlState.heartbeat(number: Long): PeerMessage =
    PeerMessage.Heartbeat(number, applied?.id, membership.table.digest, quarantine.digest)

/** If this node is a relay, publishes in its record the regions from which it gets no reply. */
private fun ControlState.publishReachability(nowMillis: Long): Transition {
    val localRecord = membership.localRecord ?: return withoutEffects()
    val sinceMillis = membership.detector.relaySinceMillis
    val unresponsive = if (sinceMillis == null) emptySet() else unresponsiveRegions(sinceMillis, nowMillis)
    if (unresponsive == localRecord.unreachableRegions) return withoutEffects()
    return publishLocalRecord(nowMillis, urgent = true) { copy(unreachableRegions = unresponsive) }
}

private fun ControlState.unresponsiveRegions(sinceMillis: Long, nowMillis: Long): Set<RegionName> =
    membership.table.regions.keys
        .filter { it != identity.region }
        .filter { region ->
            val lastHeardMillis = maxOf(sinceMillis, membership.detector.regionLastHeardMillis[region] ?: sinceMillis)
            nowMillis - lastHeardMillis >= REGION_TIMEOUT_MILLIS
        }.toSet()

/** Contacts one dead member, so that both sides of a healed partition find each other, and removes expired ones. */
private fun ControlState.contactDeadMember(context: EventContext): Transition {
    val nowMillis = context.nowMillis
    val expired = membership.detector.deadSinceMillis.filterValues { nowMillis - it >= DEAD_RETENTION_MILLIS }.keys
    val pruned = updateMembership {
        copy(
            table = expired.fold(table) { table, node -> table.remove(node) },
            outbox = outbox.copy(received = expired.fold(outbox.received) { received, node -> received.remove(node) }),
            detector = detector.copy(
                deadSinceMillis = expired.fold(detector.deadSinceMillis) { dead, node -> dead.remove(node) },
            ),
        )
    }
    val dead = pruned.membership.detector.deadSinceMillis
    val recent = dead.filterValues { nowMillis - it < RECENT_DEATH_WINDOW_MILLIS }
    val waitMillis = context.jitterAroundMillis(
        "dead",
        if (recent.isEmpty()) DEAD_CONTACT_INTERVAL_MILLIS else recentContactIntervalMillis(),
    )
    val next = pruned.updateDetector { copy(nextDeadContactAtMillis = nowMillis + waitMillis) }
    val chosen =
        recent.ifEmpty { dead }.keys.randomOrNull(context.random("dead-choice")) ?: return next.withoutEffects()
    return next.send(chosen, heartbeat(0))
}

private fun ControlState.recentContactIntervalMillis(): Long {
    val liveMembers = membership.table.regions.values.sumOf { it.ring.entries.size }
    return (liveMembers * DEAD_CONTACT_INTERVAL_MILLIS_PER_MEMBER)
        .coerceIn(MIN_DEAD_CONTACT_INTERVAL_MILLIS, DEAD_CONTACT_INTERVAL_MILLIS)
}
