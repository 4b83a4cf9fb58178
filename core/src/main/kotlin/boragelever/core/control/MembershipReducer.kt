package boragelever.core.control

import boragelever.core.EventContext

internal fun reduceMembership(state: ControlState, event: Event): Transition =
    when (event) {
        is Event.Started -> state.startMembership(event.context).withoutEffects()
        is Event.Ticked -> state.tickMembership(event.context)
        is Event.PeerConnected -> state.handlePeerConnected(event.record, event.context.nowMillis)
        is Event.PeerMessageReceived -> state.handlePeerMessage(event)
        is Event.PeerUnreachable -> state.failOverAll(event.peer, event.context.nowMillis)
        is Event.StoreCommandCompleted -> state.handleMemberRowsResult(event)
        else -> state.withoutEffects()
    }

private fun ControlState.startMembership(context: EventContext): ControlState {
    val localRecord = MemberRecord(
        node = identity.node,
        incarnation = identity.incarnation,
        sequence = 0,
        region = identity.region,
        zone = identity.zone,
        peerAddress = identity.peerAddress,
        callAddress = identity.callAddress,
    )
    val table = membership.table.put(Member(localRecord, MemberStatus.ALIVE, context.nowMillis))
    val firstHeartbeatMillis = context.nowMillis + context.jitterMillis("heartbeat", HEARTBEAT_INTERVAL_MILLIS)
    return updateMembership { copy(localRecord = localRecord, table = table) }
        .updateDetector { copy(nextHeartbeatAtMillis = firstHeartbeatMillis) }
        .startJoin(context)
        .scheduleFirstScan(context)
}

private fun ControlState.tickMembership(context: EventContext): Transition {
    val nowMillis = context.nowMillis
    val isPaused = pausedMillis != null
    val resumed = if (isPaused) resetDetectorTimers(nowMillis) else this
    return resumed
        .withoutEffects()
        .andThenIf(isPaused && !hasAnnouncedLeave) { it.raiseIncarnation(identity.incarnation, nowMillis) }
        .andThenIf(announcesLeaveAt(nowMillis)) { it.broadcastLeave(nowMillis) }
        .andThen { it.tickDetector(context) }
        .andThen { it.tickJoin(context) }
        .andThen { it.adjustScans(context).tickMemberRows(context) }
        .andThen { it.tickOutbox(nowMillis) }
}

private fun ControlState.announcesLeaveAt(nowMillis: Long): Boolean =
    (lifecycle as? LifecycleState.Draining)?.leaveAnnouncedMillis == nowMillis

private fun ControlState.heartbeatAck(number: Long): PeerMessage =
    PeerMessage.HeartbeatAck(number, applied?.id, membership.table.digest, quarantine.digest)

private fun ControlState.handlePeerMessage(event: Event.PeerMessageReceived): Transition {
    val nowMillis = event.context.nowMillis
    val from = event.from
    val recorded = recordContact(from, nowMillis)
    return when (val message = event.message) {
        is PeerMessage.Heartbeat ->
            recorded
                .send(from, heartbeatAck(message.number))
                .andThen { it.notifyOfStatus(from) }
                .andThen { it.compareDigests(from, message.membersDigest, nowMillis) }
        is PeerMessage.HeartbeatAck ->
            recorded
                .recordHeartbeatAck(from, message.number)
                .notifyOfStatus(from)
                .andThen { it.compareDigests(from, message.membersDigest, nowMillis) }
        is PeerMessage.MemberUpdate -> recorded.handleMemberUpdate(from, message, nowMillis)
        is PeerMessage.MemberAck -> recorded.recordAck(from, message.number).withoutEffects()
        is PeerMessage.MemberSummary -> recorded.handleSummary(from, message, nowMillis)
        is PeerMessage.MemberPull -> recorded.handleMemberPull(from, message, nowMillis)
        else -> recorded.withoutEffects()
    }
}
