package boragelever.node

import boragelever.core.control.ControlState
import boragelever.core.control.LeaseState
import boragelever.core.control.LifecycleState
import boragelever.core.control.Member
import boragelever.core.control.MemberStatus
import boragelever.core.control.StoreHealth
import boragelever.core.control.folderErrors
import boragelever.core.control.lastResponseAgeMillis
import boragelever.node.admin.AddressStatus
import boragelever.node.admin.ConfigStatus
import boragelever.node.admin.MemberStatusLine
import boragelever.node.admin.MembersStatus
import boragelever.node.admin.NodeStatus
import boragelever.node.admin.PublisherStatus
import boragelever.node.admin.QuarantineStatus
import boragelever.node.admin.StoreStatus
import boragelever.node.admin.UpstreamStatus

/** Version of this program, as shown by the `version` command and the status. */
public const val PROGRAM_VERSION: String = "0.1.0"

/** Returns why this node is not ready for calls, or `null` if it is ready. */
internal fun ControlState.notReadyReason(): String? =
    when {
        lifecycle is LifecycleState.Draining -> "the node is stopping"
        applied == null -> "no configuration is in force yet; check the store, the folder and the seeds"
        snapshot == null -> "the routing snapshot of the configuration is not compiled yet"
        else -> null
    }

/** Builds the status from the control state and the statistics of the node. */
internal class StatusBuilder(
    private val clock: Clock,
    private val noticeCounters: NoticeCounters,
    private val store: MeteredPlatform,
    private val addresses: NodeAddresses,
) {
    fun build(state: ControlState): NodeStatus {
        val nowMillis = clock.nowMillis()
        val reason = state.notReadyReason()
        return NodeStatus(
            node = state.identity.node.value,
            region = state.identity.region.value,
            zone = state.identity.zone.value,
            program = PROGRAM_VERSION,
            lifecycle = state.lifecycle.lowercaseName(),
            ready = reason == null,
            notReady = reason,
            config = state.configStatus(nowMillis),
            publisher = state.publisherStatus(),
            store = state.storeStatus(nowMillis),
            members = state.membersStatus(),
            upstreams = state.upstreamStatus(),
            quarantine =
                state.quarantine.quarantined.map { (fingerprint, quarantine) ->
                    QuarantineStatus(
                        fingerprint.value,
                        maxOf(0, quarantine.endMillis - nowMillis),
                        state.quarantine.deaths[fingerprint]?.size ?: 0,
                        quarantine.trial?.let { maxOf(0, it.startMillis - nowMillis) },
                    )
                },
            addresses = addresses.status(),
        )
    }

    private fun ControlState.configStatus(nowMillis: Long): ConfigStatus? {
        val applied = applied ?: return null
        val ageMillis =
            noticeCounters.lastApplied.get()?.takeIf { it.id == applied.id }?.let { nowMillis - it.atMillis }
        return ConfigStatus(applied.id.version.value, applied.id.digest.value, applied.document.entries.size, ageMillis)
    }

    private fun ControlState.publisherStatus(): PublisherStatus {
        val leaseState = lease
        return PublisherStatus(
            holdsLease = leaseState is LeaseState.Held,
            epoch =
                when (leaseState) {
                    is LeaseState.Held -> leaseState.epoch
                    is LeaseState.Observing -> leaseState.observed?.epoch
                    is LeaseState.Reading -> leaseState.observed?.epoch
                    is LeaseState.Acquiring -> leaseState.attempt.observed?.epoch
                    is LeaseState.ConfirmingAcquisition -> leaseState.attempt.observed?.epoch
                }?.value,
            folderErrors = publisher.folderErrors,
        )
    }

    private fun ControlState.storeStatus(nowMillis: Long): StoreStatus {
        val stats = this@StatusBuilder.store.stats
        val health = store.health
        return StoreStatus(
            reachable = health is StoreHealth.Reachable,
            answerAgeMs = store.lastResponseAgeMillis(nowMillis),
            failure = (health as? StoreHealth.Unreachable)?.failure?.message,
            reads = stats.reads,
            writes = stats.writes,
            failures = stats.failures,
        )
    }
}

/** Returns the number of members by lowercase status name; statuses without members map to 0. */
internal fun ControlState.membersByStatus(): Map<String, Int> {
    val counts = membership.table.members.values.groupingBy { it.status }.eachCount()
    return MemberStatus.entries.associate { it.lowercaseName() to (counts[it] ?: 0) }
}

private fun ControlState.membersStatus(): MembersStatus {
    val counts = membersByStatus()
    return MembersStatus(
        alive = counts.getValue(MemberStatus.ALIVE.lowercaseName()),
        suspect = counts.getValue(MemberStatus.SUSPECT.lowercaseName()),
        dead = counts.getValue(MemberStatus.DEAD.lowercaseName()),
        list = membership.table.members.values.sortedBy { it.record.node }.map { it.statusLine() },
    )
}

private fun Member.statusLine(): MemberStatusLine =
    MemberStatusLine(
        record.node.value,
        record.region.value,
        record.zone.value,
        if (record.leaving) "leaving" else status.lowercaseName(),
        record.upstreams.size,
    )

private fun ControlState.upstreamStatus(): List<UpstreamStatus> =
    discovery.upstreams.values.map { it.record }.sortedBy { it.instance.value }.map {
        UpstreamStatus(
            it.service.value,
            it.instance.value,
            it.address.value,
            it.slots,
            it.connections,
            it.state.name.lowercase(),
        )
    }

private fun LifecycleState.lowercaseName(): String =
    when (this) {
        is LifecycleState.Starting -> "starting"
        is LifecycleState.Running -> "running"
        is LifecycleState.Draining -> "draining"
    }

private fun NodeAddresses.status(): AddressStatus = AddressStatus(proxy.value, hop.value, peer.value, admin.value)
