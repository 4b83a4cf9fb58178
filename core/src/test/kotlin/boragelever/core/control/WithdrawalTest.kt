package boragelever.core.control

import boragelever.core.Incarnation
import boragelever.core.InstanceId
import boragelever.core.NetworkAddress
import boragelever.core.ServiceName
import boragelever.core.Withdrawal
import boragelever.core.store.Revision
import boragelever.core.store.Row
import boragelever.core.store.RowKey
import boragelever.core.store.RowValue
import boragelever.core.store.RowWrite
import boragelever.core.store.StoreCommand
import boragelever.core.store.StoreFailure
import boragelever.core.store.StoreResult
import boragelever.core.store.WriteId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

/** Guards against the loss of an acknowledged leave of an upstream when its node restarts. */
class WithdrawalTest {
    /** Steps and the value that they must return. */
    internal class Case(private val name: String, val expected: Any?, val steps: ReducerDriver.() -> Any?) {
        override fun toString(): String = name
    }

    @ParameterizedTest
    @MethodSource("history", "acknowledgements")
    internal fun `the node reaches the expected state`(case: Case) {
        assertEquals(case.expected, case.steps(ReducerDriver()))
    }

    private companion object {
        const val TTL_MILLIS = 60_000L
        val COMMITTED = StoreResult.Committed(emptyList())
        val INSTANCE = InstanceId("a")
        val DEREGISTERED = Withdrawal(INSTANCE, 5, Long.MAX_VALUE)
        val DRAINING = Withdrawal(INSTANCE, 5, 3)

        fun ReducerDriver.register(
            sequence: Long,
            state: UpstreamState = UpstreamState.SERVING,
            started: Long = 5,
        ): ReducerDriver {
            val record = UpstreamRecord(ServiceName("s"), INSTANCE, NetworkAddress("127.0.0.1:1"), 9, 130, state)
            return step { Event.UpstreamRegistered(it, record, TTL_MILLIS, RegistrationOrder(started, sequence)) }
        }

        fun ReducerDriver.deregister(): ReducerDriver = step { Event.UpstreamDeregistered(it, INSTANCE, 5) }

        fun ReducerDriver.upstreams(): List<UpstreamState> =
            checkNotNull(state.membership.localRecord).upstreams.map { it.state }

        fun ReducerDriver.withdrawals(): List<Withdrawal> = checkNotNull(state.membership.localRecord).withdrawals

        fun ReducerDriver.ownRow(vararg withdrawals: Withdrawal): Row {
            val own = checkNotNull(state.membership.localRecord)
            val value =
                RowValue.Member(
                    own.node,
                    own.incarnation,
                    own.region,
                    own.zone,
                    own.peerAddress,
                    0,
                    withdrawals.asList(),
                )
            return Row(RowKey(MEMBER_PREFIX + own.node.value), value, Revision(4), WriteId("w"))
        }

        /** Receives the record of the previous process of this node from a peer. */
        fun ReducerDriver.receivePrevious(vararg withdrawals: Withdrawal): ReducerDriver {
            val own = checkNotNull(state.membership.localRecord)
            val previous = own.copy(incarnation = own.incarnation, sequence = 0, withdrawals = withdrawals.asList())
            val update = MemberStatusRecord(previous, MemberStatus.ALIVE)
            return receive(PeerMessage.MemberUpdate(1, listOf(update), TreeScope.SELF, isReply = true))
        }

        /** Returns the withdrawals that this node sends to a peer which it knew with one and which has restarted. */
        fun ReducerDriver.returnedToPeer(): List<Withdrawal> {
            val peer = checkNotNull(state.membership.table[peers.first()]).record
            val before = peer.copy(sequence = 1, withdrawals = listOf(DEREGISTERED))
            val restarted = peer.copy(incarnation = Incarnation(peer.incarnation.value + 1))
            val update = MemberStatusRecord(before, MemberStatus.ALIVE)
            receive(PeerMessage.MemberUpdate(1, listOf(update), TreeScope.SELF))
            step { Event.PeerConnected(it, restarted) }
            val replies = sent.filterIsInstance<PeerMessage.MemberUpdate>().filter { it.isReply }
            return replies.flatMap { it.records }.flatMap { it.record.withdrawals }
        }

        @JvmStatic
        fun history(): List<Case> =
            listOf(
                Case("a registration is held until the row of the node is read", emptyList<UpstreamState>()) {
                    register(1).upstreams()
                },
                Case("a held registration is used after the scan", listOf(UpstreamState.SERVING)) {
                    register(1).completeMemberScan().upstreams()
                },
                Case("a held registration is used if the store does not answer", listOf(UpstreamState.SERVING)) {
                    register(1).tick(3_000).upstreams()
                },
                Case("a draining upstream is not held", listOf(UpstreamState.DRAINING)) {
                    register(1, UpstreamState.DRAINING).upstreams()
                },
                Case("a held registration is dropped after a later deregistration", emptyList<UpstreamState>()) {
                    register(1).deregister().completeMemberScan().upstreams()
                },
                Case("the row outdates a held registration", emptyList<UpstreamState>()) {
                    register(1).completeMemberScan(listOf(ownRow(DEREGISTERED))).upstreams()
                },
                Case("the row outdates a later registration", emptyList<UpstreamState>()) {
                    completeMemberScan(listOf(ownRow(DEREGISTERED))).register(9).upstreams()
                },
                Case("the row outdates a registration before the draining", emptyList<UpstreamState>()) {
                    completeMemberScan(listOf(ownRow(DRAINING))).register(2).upstreams()
                },
                Case("the row does not outdate the draining", listOf(UpstreamState.DRAINING)) {
                    completeMemberScan(listOf(ownRow(DRAINING))).register(4, UpstreamState.DRAINING).upstreams()
                },
                Case("the row does not outdate a restarted upstream", listOf(UpstreamState.SERVING)) {
                    completeMemberScan(listOf(ownRow(DEREGISTERED))).register(1, started = 6).upstreams()
                },
                Case("a peer's record of the previous process removes the upstream", emptyList<UpstreamState>()) {
                    register(1).tick(3_000).receivePrevious(DEREGISTERED).upstreams()
                },
                Case("the withdrawals of the previous process are published again", listOf(DEREGISTERED)) {
                    completeMemberScan(listOf(ownRow(DEREGISTERED))).withdrawals()
                },
                Case("a withdrawal is dropped after a minute", emptyList<Withdrawal>()) {
                    completeMemberScan().register(1).deregister().tick(61_000).withdrawals()
                },
                Case("a peer returns the withdrawals to a restarted node", listOf(DEREGISTERED)) { returnedToPeer() },
            )

        fun ReducerDriver.acknowledged(): Boolean = Effect.AcknowledgeLeave(INSTANCE) in effects

        fun ReducerDriver.writtenWithdrawals(): List<Withdrawal> =
            effects.filterIsInstance<Effect.CallStore>()
                .mapNotNull { it.command as? StoreCommand.Transact }
                .flatMap { it.writes }
                .filterIsInstance<RowWrite.Put>()
                .flatMap { (it.value as RowValue.Member).withdrawals }

        fun ReducerDriver.completeWrite(result: StoreResult): ReducerDriver {
            val request = checkNotNull(state.membership.rows.writeRequest)
            return step { Event.StoreCommandCompleted(it, request, result) }
        }

        /** Completes the scan and the first write of this node's row. */
        fun ReducerDriver.join(): ReducerDriver =
            completeMemberScan().tick(1_000).completeWrite(COMMITTED)

        @JvmStatic
        fun acknowledgements(): List<Case> =
            listOf(
                Case("a deregistration is written at once", listOf(DEREGISTERED)) {
                    join().register(1).deregister().writtenWithdrawals()
                },
                Case("the first draining registration is written at once", listOf(DRAINING)) {
                    join().register(1).register(3, UpstreamState.DRAINING).writtenWithdrawals()
                },
                Case("a leave is not acknowledged before it is written", false) {
                    join().register(1).deregister().acknowledged()
                },
                Case("a leave is acknowledged once it is written", true) {
                    join().register(1).deregister().completeWrite(COMMITTED).acknowledged()
                },
                Case("a failed write does not acknowledge", false) {
                    val failed = StoreResult.StoreFailed(StoreFailure.OutcomeUnknown("lost"))
                    join().register(1).deregister().completeWrite(failed).acknowledged()
                },
                Case("a leave is acknowledged after 500 ms if the store does not answer", true) {
                    join().register(1).deregister().tick(500).acknowledged()
                },
                Case("a leave during another write is written after it", listOf(DEREGISTERED)) {
                    join().register(1).register(3, UpstreamState.DRAINING).deregister()
                    completeWrite(COMMITTED).writtenWithdrawals()
                },
                Case(
                    "a repeated draining registration is acknowledged without a write",
                    true to emptyList<Withdrawal>(),
                ) {
                    join().register(3, UpstreamState.DRAINING).completeWrite(COMMITTED)
                    register(4, UpstreamState.DRAINING)
                    acknowledged() to writtenWithdrawals()
                },
                Case("the deregistration of an unknown upstream without a start is acknowledged", true) {
                    join().step { Event.UpstreamDeregistered(it, INSTANCE) }.acknowledged()
                },
            )
    }
}
