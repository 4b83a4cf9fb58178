package boragelever.core.control

import boragelever.core.GoldenScope
import boragelever.core.GoldenSession
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

/** Guards against unnoticed changes of a node's behaviour while links or all of its peers fail. */
class MeshSessionTest {
    /** A session that is recorded from the point of view of one node. */
    internal class Case(val name: String, val size: MeshSize, val script: FakeMesh.() -> Unit) {
        override fun toString(): String = name
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("cases")
    internal fun `the session equals its golden file`(case: Case) {
        val golden = GoldenSession(SCOPE)
        val observed = case.size.identities().first().node
        case.script(FakeMesh(case.size, seed = 3, golden, observed))
        golden.verify(case.name)
    }

    private companion object {
        val SCOPE = GoldenScope(
            owners = setOf(RequestOwner.MEMBERSHIP),
            summary = { state -> "applied ${state.applied?.id?.version ?: "none"}, members ${members(state)}" },
            concerns = { state ->
                listOf(
                    members(state),
                    state.membership.localRecord,
                    state.membership.table.digest,
                    state.membership.join.hasJoined,
                    state.applied?.id,
                    state.membership.table.regions.keys.filter { state.isUnreachable(it) },
                )
            },
            shows = ::isShown,
        )

        fun members(state: ControlState): List<String> =
            state.membership.table.members.values
                .map { "${it.record.node} ${it.record.incarnation}.${it.record.sequence} ${it.status}" }
                .sorted()

        fun isShown(effect: Effect): Boolean =
            when (effect) {
                is Effect.SendToPeer -> effect.message !is PeerMessage.Heartbeat && !effect.message.isAck()
                is Effect.ContactAddress, is Effect.ClosePeer, is Effect.InstallSnapshot -> true
                is Effect.Report -> effect.notice is Notice.MemberChanged
                else -> false
            }

        private fun PeerMessage.isAck(): Boolean = this is PeerMessage.HeartbeatAck || this is PeerMessage.MemberAck

        @JvmStatic
        fun cases(): List<Case> =
            listOf(
                Case("region-partition", MeshSize(2, 1, 2)) {
                    nodes.forEach { start(it) }
                    runFor(4_000)
                    publish(nodes.first(), 1)
                    nodes.forEach { registerUpstream(it, UpstreamState.SERVING) }
                    runFor(2_000)
                    partition { it.identity.region.value == "r1" }
                    runFor(6_000)
                    publish(nodes.first(), 2)
                    runFor(4_000)
                    heal()
                    runFor(5_000)
                },
                Case("herd-restart", MeshSize(1, 2, 2)) {
                    nodes.forEach { start(it) }
                    runFor(4_000)
                    publish(nodes.first(), 1)
                    runFor(2_000)
                    nodes.forEach { kill(it) }
                    runFor(1_000)
                    nodes.forEach { start(it) }
                    runFor(10_000)
                },
            )
    }
}
