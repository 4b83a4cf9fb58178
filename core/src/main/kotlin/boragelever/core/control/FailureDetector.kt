package boragelever.core.control

import boragelever.core.NodeId
import boragelever.core.RegionName
import boragelever.core.Stamp
import kotlinx.collections.immutable.toPersistentMap

/** Silence of all relays of a region after which it counts as unreachable; two heartbeats and their answers. */
internal const val REGION_TIMEOUT_MILLIS: Long = 2_500

/** Time after which other nodes than the one that raised a suspicion, and lies in another region, end it. */
private const val REMOTE_SUSPICION_TIMEOUT_MILLIS = 10_000L

/** Time for which dead members are remembered and contacted; longer than partitions between regions last. */
private const val DEAD_RETENTION_MILLIS = 1_800_000L

/** Mean wait between two contacts with dead members, of which none died lately. */
private const val DEAD_CONTACT_INTERVAL_MILLIS = 10_000L

/** Time for which a death counts as recent: a process that was killed is back within it. */
private const val RECENT_DEATH_WINDOW_MILLIS = 30_000L

/** Shortest mean wait between two contacts while a death is recent. */
private const val MIN_DEAD_CONTACT_INTERVAL_MILLIS = 2_000L

/** Part of that wait for each live member, all of which contact the dead ones. */
private const val DEAD_CONTACT_INTERVAL_MILLIS_PER_MEMBER = 100L

/** Largest number of times that repeated refutations double the silence needed. */
private const val MAX_DOUBLINGS = 4

/** Time after which a refutation no longer counts; above the longest silence that refutations can lead to. */
private const val REFUTATION_WINDOW_MILLIS = 60_000L

/** Sends heartbeats that are due and judges the peers that stay silent. */
internal fun ControlState.tickDetector(stamp: Stamp): Transition =
    suspectSilentPeers(stamp.nowMillis)
        .andThen { it.declareDeadSuspects(stamp.nowMillis) }
        .andThen { if (it.isHeartbeatDue(stamp)) it.sendHeartbeats(stamp) else it.unchanged() }
        .andThenIf(stamp.nowMillis >= members.detector.nextDeadContactAtMillis) { it.contactDeadMember(stamp) }

private fun ControlState.isHeartbeatDue(stamp: Stamp): Boolean = stamp.nowMillis >= members.detector.nextHeartbeatAtMillis

internal inline fun ControlState.updateDetector(change: DetectorState.() -> DetectorState): ControlState =
    updateMembers { copy(detector = detector.change()) }

/** Forgets all silences: after a pause they tell nothing about the peers. */
internal fun ControlState.resetDetectorTimers(nowMillis: Long): ControlState =
    updateDetector {
        copy(
            monitoredPeers = monitoredPeers.mapValues { (_, watch) -> watch.copy(lastHeardMillis = nowMillis) }.toPersistentMap(),
            suspects = suspects.mapValues { (_, it) -> it.copy(sinceMillis = nowMillis) }.toPersistentMap(),
            regionLastHeardMillis = regionLastHeardMillis.mapValues { nowMillis }.toPersistentMap(),
        )
    }

/** Notes that [peer] sent a message. */
internal fun ControlState.recordContact(peer: NodeId, nowMillis: Long): ControlState {
    val watch = members.detector.monitoredPeers[peer]
    val region = members.table[peer]?.record?.region
    return updateMembers { copy(lastContactMillis = nowMillis) }.updateDetector {
        copy(
            monitoredPeers = if (watch == null) monitoredPeers else monitoredPeers.put(peer, watch.copy(lastHeardMillis = nowMillis)),
            regionLastHeardMillis = if (region == null) regionLastHeardMillis else regionLastHeardMillis.put(region, nowMillis),
        )
    }
}

internal fun ControlState.recordHeartbeatAck(peer: NodeId, number: Long): ControlState {
    val watch = members.detector.monitoredPeers[peer] ?: return this
    if (number <= watch.lastAckedNumber) return this
    return updateDetector { copy(monitoredPeers = monitoredPeers.put(peer, watch.copy(lastAckedNumber = number))) }
}

private fun ControlState.suspectSilentPeers(nowMillis: Long): Transition {
    val silent = members.detector.monitoredPeers.filter { (node, watch) ->
        nowMillis - watch.lastHeardMillis >= watch.suspicionTimeoutMillis(nowMillis) && isInLocalRegion(node) && isAlive(node)
    }
    return forEach(silent.keys) { state, node ->
        val suspicion = Suspicion(nowMillis, raisedLocally = true)
        state
            .updateDetector { copy(suspects = suspects.put(node, suspicion), nextHeartbeatAtMillis = nowMillis) }
            .declareStatus(node, MemberStatus.SUSPECT, nowMillis, announce = true)
    }
}

/**
 * Silence after which the peer is suspect. The second refutation in a row and each further one doubles it: the link
 * between the two nodes is then broken, and not the peer.
 */
private fun MonitoredPeer.suspicionTimeoutMillis(nowMillis: Long): Long =
    SUSPECT_AFTER_MILLIS shl (recentRefutations(nowMillis) - 1).coerceIn(0, MAX_DOUBLINGS)

/** Number of refutations in a row, or zero if the last one is long ago. */
internal fun MonitoredPeer.recentRefutations(nowMillis: Long): Int =
    if (lastRefutedMillis != null && nowMillis - lastRefutedMillis < REFUTATION_WINDOW_MILLIS) refutations else 0

private fun ControlState.isInLocalRegion(node: NodeId): Boolean = members.table[node]?.record?.region == identity.region

private fun ControlState.isAlive(node: NodeId): Boolean = members.table[node]?.status == MemberStatus.ALIVE

private fun ControlState.declareDeadSuspects(nowMillis: Long): Transition {
    val expired = members.detector.suspects.filter { (node, suspicion) ->
        val region = members.table[node]?.record?.region
        val isOwn = suspicion.raisedLocally || region == identity.region
        val boundMillis = if (isOwn) DEAD_AFTER_MILLIS else REMOTE_SUSPICION_TIMEOUT_MILLIS
        nowMillis - suspicion.sinceMillis >= boundMillis && (region == null || !isUnreachable(region))
    }
    return forEach(expired.entries) { state, (node, suspicion) ->
        state.declareStatus(node, MemberStatus.DEAD, nowMillis, announce = suspicion.raisedLocally)
    }
}

private fun ControlState.sendHeartbeats(stamp: Stamp): Transition {
    val nowMillis = stamp.nowMillis
    val relays = members.table.relays(identity.region, relaysPerRegion)
    val isRelay = identity.node in relays
    val remote = if (isRelay) remotePeers(stamp) else emptyList()
    val targets = (monitoredSuccessors() + remote).toSet()
    val detector = members.detector
    val watches = targets.associateWith { detector.monitoredPeers[it] ?: MonitoredPeer(nowMillis) }.toPersistentMap()
    val relaySinceMillis = if (isRelay) detector.relaySinceMillis ?: nowMillis else null
    return updateDetector {
        copy(
            monitoredPeers = watches,
            relaySinceMillis = relaySinceMillis,
            nextHeartbeatAtMillis = nowMillis + HEARTBEAT_INTERVAL_MILLIS,
        )
    }.forEach(targets) { state, peer -> state.sendHeartbeat(peer) }
        .andThen { it.publishReachability(nowMillis) }
}

/**
 * Returns the nearest successors in the ring up to the third one that is not suspect.
 *
 * Each suspect one on the way adds one more, so that neighbours that died together, such as those of one zone, are
 * found in a few rounds although their own watchers are dead.
 */
private fun ControlState.monitoredSuccessors(): List<NodeId> {
    var missing = MONITORED_SUCCESSORS
    return members.table.region(identity.region).ring
        .after(identity.node)
        .takeWhile { node ->
            val isWanted = missing > 0
            missing += if (isAlive(node)) -1 else 1
            isWanted
        }.toList()
}

/** Relays of the other regions, and a random member of each unreachable one in case that its relays are gone. */
private fun ControlState.remotePeers(stamp: Stamp): List<NodeId> =
    members.table.regions.filterKeys { it != identity.region }.flatMap { (region, view) ->
        val relays = members.table.relays(region, relaysPerRegion)
        val isLost = relays.isEmpty() || isUnreachable(region)
        val extra = view.ring.entries.randomOrNull(stamp.random("region"))?.takeIf { isLost }
        relays + listOfNotNull(extra?.node)
    }

private fun ControlState.sendHeartbeat(peer: NodeId): Transition {
    val watch = members.detector.monitoredPeers[peer] ?: return unchanged()
    val number = members.detector.lastNumber + 1
    val heartbeat = PeerMessage.Heartbeat(number, applied?.id, members.table.digest)
    // A connection that went silent stays silent, while a new one may work.
    val isSilent = watch.lastSentNumber != 0L && watch.lastAckedNumber < watch.lastSentNumber
    return updateDetector { copy(lastNumber = number, monitoredPeers = monitoredPeers.put(peer, watch.copy(lastSentNumber = number))) }
        .let { if (isSilent) it.with(Effect.ClosePeer(peer)) else it.unchanged() }
        .andThen { it.send(peer, heartbeat) }
}

/** As a relay, tells in the own record which regions do not answer. */
private fun ControlState.publishReachability(nowMillis: Long): Transition {
    val own = members.localRecord ?: return unchanged()
    val sinceMillis = members.detector.relaySinceMillis
    val silent = if (sinceMillis == null) emptySet() else unresponsiveRegions(sinceMillis, nowMillis)
    if (silent == own.unreachableRegions) return unchanged()
    return publishLocalRecord(nowMillis, urgent = true) { copy(unreachableRegions = silent) }
}

private fun ControlState.unresponsiveRegions(sinceMillis: Long, nowMillis: Long): Set<RegionName> =
    members.table.regions.keys
        .filter { it != identity.region }
        .filter { region ->
            val lastHeardMillis = maxOf(sinceMillis, members.detector.regionLastHeardMillis[region] ?: sinceMillis)
            nowMillis - lastHeardMillis >= REGION_TIMEOUT_MILLIS
        }.toSet()

/** Contacts one dead member, so that both sides of a healed partition find each other, and forgets old ones. */
private fun ControlState.contactDeadMember(stamp: Stamp): Transition {
    val nowMillis = stamp.nowMillis
    val old = members.detector.deadSinceMillis.filterValues { nowMillis - it >= DEAD_RETENTION_MILLIS }.keys
    val kept = updateMembers {
        copy(
            table = old.fold(table) { table, node -> table.remove(node) },
            outbox = outbox.copy(received = old.fold(outbox.received) { received, node -> received.remove(node) }),
            detector = detector.copy(
                deadSinceMillis = old.fold(detector.deadSinceMillis) { dead, node -> dead.remove(node) },
            ),
        )
    }
    val dead = kept.members.detector.deadSinceMillis
    val recent = dead.filterValues { nowMillis - it < RECENT_DEATH_WINDOW_MILLIS }
    val waitMillis = stamp.jitterAroundMillis("dead", if (recent.isEmpty()) DEAD_CONTACT_INTERVAL_MILLIS else recentContactIntervalMillis())
    val next = kept.updateDetector { copy(nextDeadContactAtMillis = nowMillis + waitMillis) }
    val chosen = recent.ifEmpty { dead }.keys.randomOrNull(stamp.random("dead-choice")) ?: return next.unchanged()
    return next.send(chosen, PeerMessage.Heartbeat(0, applied?.id, members.table.digest))
}

private fun ControlState.recentContactIntervalMillis(): Long {
    val liveMembers = members.table.regions.values.sumOf { it.ring.entries.size }
    return (liveMembers * DEAD_CONTACT_INTERVAL_MILLIS_PER_MEMBER).coerceIn(MIN_DEAD_CONTACT_INTERVAL_MILLIS, DEAD_CONTACT_INTERVAL_MILLIS)
}
