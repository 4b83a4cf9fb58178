package boragelever.core.control

import boragelever.core.Stamp

internal fun reduceMembership(state: ControlState, event: Event): Transition =
    when (event) {
        is Event.Started -> state.startMembership(event.stamp).withoutEffects()
        is Event.Ticked -> state.tickMembership(event.stamp)
        is Event.PeerConnected -> state.connected(event.record, event.stamp.nowMillis)
        is Event.PeerMessageReceived -> state.peerMessage(event)
        is Event.PeerUnreachable -> state.failOverAll(event.peer, event.stamp.nowMillis)
        is Event.StoreCommandCompleted -> state.rowsAnswered(event)
        else -> state.withoutEffects()
    }

private fun ControlState.startMembership(stamp: Stamp): ControlState {
    val own = MemberRecord(
        node = identity.node,
        incarnation = identity.incarnation,
        sequence = 0,
        region = identity.region,
        zone = identity.zone,
        peerAddress = identity.peerAddress,
        callAddress = identity.callAddress,
    )
    val table = membership.table.put(Member(own, MemberStatus.ALIVE, stamp.nowMillis))
    val firstMillis = stamp.nowMillis + stamp.jitterMillis("heartbeat", HEARTBEAT_MILLIS)
    return updateMembership { copy(own = own, table = table) }
        .updateDetector { copy(nextHeartbeatMillis = firstMillis) }
        .startJoin(stamp)
        .startRows(stamp)
}

private fun ControlState.tickMembership(stamp: Stamp): Transition {
    val nowMillis = stamp.nowMillis
    val isPaused = pausedMillis != null
    val resumed = if (isPaused) restartDetector(nowMillis) else this
    return resumed
        .withoutEffects()
        .andThenIf(isPaused && !hasAnnouncedLeave) { it.raiseIncarnation(identity.incarnation, nowMillis) }
        .andThenIf(isDeparting(nowMillis)) { it.announceEnd(nowMillis) }
        .andThen { it.tickDetector(stamp) }
        .andThen { it.tickJoin(stamp) }
        .andThen { it.adjustScans(stamp).tickRows(stamp) }
        .andThen { it.tickOutbox(nowMillis) }
}

private fun ControlState.isDeparting(nowMillis: Long): Boolean =
    (lifecycle as? LifecycleState.Draining)?.leaveAnnouncedMillis == nowMillis

private fun ControlState.peerMessage(event: Event.PeerMessageReceived): Transition {
    val nowMillis = event.stamp.nowMillis
    val from = event.from
    val heard = noteHeard(from, nowMillis)
    return when (val message = event.message) {
        is PeerMessage.Heartbeat ->
            heard
                .send(from, PeerMessage.HeartbeatAck(message.number, applied?.id, membership.table.digest))
                .andThen { it.tellStatus(from) }
                .andThen { it.compareTables(from, message.membersDigest, nowMillis) }
        is PeerMessage.HeartbeatAck ->
            heard
                .noteAnswered(from, message.number)
                .tellStatus(from)
                .andThen { it.compareTables(from, message.membersDigest, nowMillis) }
        is PeerMessage.MemberUpdate -> heard.receiveUpdate(from, message, nowMillis)
        is PeerMessage.MemberAck -> heard.recordAck(from, message.number).withoutEffects()
        is PeerMessage.MemberSummary -> heard.answerSummary(from, message, nowMillis)
        is PeerMessage.MemberPull -> heard.answerPull(from, message, nowMillis)
        else -> heard.withoutEffects()
    }
}
