package boragelever.core.control

import boragelever.core.NodeId
import boragelever.core.RegionName
import boragelever.core.Stamp
import kotlinx.collections.immutable.toPersistentMap

/** Silence of all relays of a region after which it counts as unreachable; two heartbeats and their answers. */
internal const val REGION_SILENT_MILLIS: Long = 2_500

/** Time after which other nodes than the one that raised a suspicion, and lies in another region, end it. */
private const val REMOTE_DEAD_AFTER_MILLIS = 10_000L

/** Time for which dead members are remembered and contacted; longer than partitions between regions last. */
private const val FORGET_DEAD_MILLIS = 1_800_000L

/** Mean wait between two contacts with dead members, of which none died lately. */
private const val DEAD_CONTACT_MILLIS = 10_000L

/** Time for which a death counts as recent: a process that was killed is back within it. */
private const val RECENT_DEATH_MILLIS = 30_000L

/** Shortest mean wait between two contacts while a death is recent. */
private const val RECENT_CONTACT_MILLIS = 2_000L

/** Part of that wait for each live member, all of which contact the dead ones. */
private const val RECENT_CONTACT_MILLIS_PER_MEMBER = 100L

/** Largest number of times that repeated refutations double the silence needed. */
private const val MAX_DOUBLINGS = 4

/** Time after which a refutation no longer counts; above the longest silence that refutations can lead to. */
private const val REFUTATION_MEMORY_MILLIS = 60_000L

/** Sends heartbeats that are due and judges the peers that stay silent. */
internal fun ControlState.tickDetector(stamp: Stamp): Transition =
    checkWatches(stamp.nowMillis)
        .andThen { it.checkSuspects(stamp.nowMillis) }
        .andThen { if (it.isHeartbeatDue(stamp)) it.sendHeartbeats(stamp) else it.withoutEffects() }
        .andThenIf(stamp.nowMillis >= membership.detector.nextDeadContactMillis) { it.contactDead(stamp) }

private fun ControlState.isHeartbeatDue(stamp: Stamp): Boolean =
    stamp.nowMillis >= membership.detector.nextHeartbeatMillis

internal inline fun ControlState.updateDetector(change: DetectorState.() -> DetectorState): ControlState =
    updateMembership { copy(detector = detector.change()) }

/** Forgets all silences: after a pause they tell nothing about the peers. */
internal fun ControlState.restartDetector(nowMillis: Long): ControlState =
    updateDetector {
        copy(
            watches = watches.mapValues { (_, watch) -> watch.copy(heardMillis = nowMillis) }.toPersistentMap(),
            suspects = suspects.mapValues { (_, it) -> it.copy(sinceMillis = nowMillis) }.toPersistentMap(),
            regionHeard = regionHeard.mapValues { nowMillis }.toPersistentMap(),
        )
    }

/** Notes that [peer] sent a message. */
internal fun ControlState.noteHeard(peer: NodeId, nowMillis: Long): ControlState {
    val watch = membership.detector.watches[peer]
    val region = membership.table[peer]?.record?.region
    return updateMembership { copy(lastContactMillis = nowMillis) }.updateDetector {
        copy(
            watches = if (watch == null) watches else watches.put(peer, watch.copy(heardMillis = nowMillis)),
            regionHeard = if (region == null) regionHeard else regionHeard.put(region, nowMillis),
        )
    }
}

internal fun ControlState.noteAnswered(peer: NodeId, number: Long): ControlState {
    val watch = membership.detector.watches[peer] ?: return this
    if (number <= watch.answered) return this
    return updateDetector { copy(watches = watches.put(peer, watch.copy(answered = number))) }
}

private fun ControlState.checkWatches(nowMillis: Long): Transition {
    val silent = membership.detector.watches.filter { (node, watch) ->
        nowMillis - watch.heardMillis >= watch.patienceMillis(nowMillis) && isOwnRegion(node) && isAlive(node)
    }
    return foldTransitions(silent.keys) { state, node ->
        val suspicion = Suspicion(nowMillis, raisedHere = true)
        state
            .updateDetector { copy(suspects = suspects.put(node, suspicion), nextHeartbeatMillis = nowMillis) }
            .judge(node, MemberStatus.SUSPECT, nowMillis, announce = true)
    }
}

/**
 * Silence after which the peer is suspect. The second refutation in a row and each further one doubles it: the link
 * between the two nodes is then broken, and not the peer.
 */
private fun Watch.patienceMillis(nowMillis: Long): Long =
    SUSPECT_AFTER_MILLIS shl (recentRefutations(nowMillis) - 1).coerceIn(0, MAX_DOUBLINGS)

/** Number of refutations in a row, or zero if the last one is long ago. */
internal fun Watch.recentRefutations(nowMillis: Long): Int =
    if (refutedMillis != null && nowMillis - refutedMillis < REFUTATION_MEMORY_MILLIS) refutations else 0

private fun ControlState.isOwnRegion(node: NodeId): Boolean = membership.table[node]?.record?.region == identity.region

private fun ControlState.isAlive(node: NodeId): Boolean = membership.table[node]?.status == MemberStatus.ALIVE

private fun ControlState.checkSuspects(nowMillis: Long): Transition {
    val expired = membership.detector.suspects.filter { (node, suspicion) ->
        val region = membership.table[node]?.record?.region
        val isOwn = suspicion.raisedHere || region == identity.region
        val boundMillis = if (isOwn) DEAD_AFTER_MILLIS else REMOTE_DEAD_AFTER_MILLIS
        nowMillis - suspicion.sinceMillis >= boundMillis && (region == null || !isUnreachable(region))
    }
    return foldTransitions(expired.entries) { state, (node, suspicion) ->
        state.judge(node, MemberStatus.DEAD, nowMillis, announce = suspicion.raisedHere)
    }
}

private fun ControlState.sendHeartbeats(stamp: Stamp): Transition {
    val nowMillis = stamp.nowMillis
    val relays = membership.table.relays(identity.region, relaysPerRegion)
    val isRelay = identity.node in relays
    val remote = if (isRelay) remotePeers(stamp) else emptyList()
    val targets = (watchedSuccessors() + remote).toSet()
    val detector = membership.detector
    val watches = targets.associateWith { detector.watches[it] ?: Watch(nowMillis) }.toPersistentMap()
    val relaySinceMillis = if (isRelay) detector.relaySinceMillis ?: nowMillis else null
    return updateDetector {
        copy(
            watches = watches,
            relaySinceMillis = relaySinceMillis,
            nextHeartbeatMillis = nowMillis + HEARTBEAT_MILLIS,
        )
    }.foldTransitions(targets) { state, peer -> state.sendHeartbeat(peer) }
        .andThen { it.publishReachability(nowMillis) }
}

/**
 * Returns the nearest successors in the ring up to the third one that is not suspect.
 *
 * Each suspect one on the way adds one more, so that neighbours that died together, such as those of one zone, are
 * found in a few rounds although their own watchers are dead.
 */
private fun ControlState.watchedSuccessors(): List<NodeId> {
    var missing = WATCHED_SUCCESSORS
    return membership.table.region(identity.region).ring
        .after(identity.node)
        .takeWhile { node ->
            val isWanted = missing > 0
            missing += if (isAlive(node)) -1 else 1
            isWanted
        }.toList()
}

/** Relays of the other regions, and a random member of each unreachable one in case that its relays are gone. */
private fun ControlState.remotePeers(stamp: Stamp): List<NodeId> =
    membership.table.regions.filterKeys { it != identity.region }.flatMap { (region, view) ->
        val relays = membership.table.relays(region, relaysPerRegion)
        val isLost = relays.isEmpty() || isUnreachable(region)
        val extra = view.ring.entries.randomOrNull(stamp.random("region"))?.takeIf { isLost }
        relays + listOfNotNull(extra?.node)
    }

private fun ControlState.sendHeartbeat(peer: NodeId): Transition {
    val watch = membership.detector.watches[peer] ?: return withoutEffects()
    val number = membership.detector.lastNumber + 1
    val heartbeat = PeerMessage.Heartbeat(number, applied?.id, membership.table.digest)
    // A connection that went silent stays silent, while a new one may work.
    val isSilent = watch.sent != 0L && watch.answered < watch.sent
    return updateDetector { copy(lastNumber = number, watches = watches.put(peer, watch.copy(sent = number))) }
        .let { if (isSilent) it.with(Effect.ClosePeer(peer)) else it.withoutEffects() }
        .andThen { it.send(peer, heartbeat) }
}

/** As a relay, tells in the own record which regions do not answer. */
private fun ControlState.publishReachability(nowMillis: Long): Transition {
    val own = membership.own ?: return withoutEffects()
    val sinceMillis = membership.detector.relaySinceMillis
    val silent = if (sinceMillis == null) emptySet() else silentRegions(sinceMillis, nowMillis)
    if (silent == own.unreachableRegions) return withoutEffects()
    return publishOwn(nowMillis, urgent = true) { copy(unreachableRegions = silent) }
}

private fun ControlState.silentRegions(sinceMillis: Long, nowMillis: Long): Set<RegionName> =
    membership.table.regions.keys
        .filter { it != identity.region }
        .filter { region ->
            val heardMillis = maxOf(sinceMillis, membership.detector.regionHeard[region] ?: sinceMillis)
            nowMillis - heardMillis >= REGION_SILENT_MILLIS
        }.toSet()

/** Contacts one dead member, so that both sides of a healed partition find each other, and forgets old ones. */
private fun ControlState.contactDead(stamp: Stamp): Transition {
    val nowMillis = stamp.nowMillis
    val old = membership.detector.dead.filterValues { nowMillis - it >= FORGET_DEAD_MILLIS }.keys
    val kept = updateMembership {
        copy(
            table = old.fold(table) { table, node -> table.forget(node) },
            outbox = outbox.copy(received = old.fold(outbox.received) { received, node -> received.remove(node) }),
            detector = detector.copy(
                dead = old.fold(detector.dead) { dead, node -> dead.remove(node) },
            ),
        )
    }
    val dead = kept.membership.detector.dead
    val recent = dead.filterValues { nowMillis - it < RECENT_DEATH_MILLIS }
    val waitMillis = stamp.spreadMillis("dead", if (recent.isEmpty()) DEAD_CONTACT_MILLIS else recentContactMillis())
    val next = kept.updateDetector { copy(nextDeadContactMillis = nowMillis + waitMillis) }
    val chosen = recent.ifEmpty { dead }.keys.randomOrNull(stamp.random("dead-choice")) ?: return next.withoutEffects()
    return next.send(chosen, PeerMessage.Heartbeat(0, applied?.id, membership.table.digest))
}

private fun ControlState.recentContactMillis(): Long {
    val liveMembers = membership.table.regions.values.sumOf { it.ring.entries.size }
    return (liveMembers * RECENT_CONTACT_MILLIS_PER_MEMBER).coerceIn(RECENT_CONTACT_MILLIS, DEAD_CONTACT_MILLIS)
}
