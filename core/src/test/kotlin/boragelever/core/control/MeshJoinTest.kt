package boragelever.core.control

import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

/** Time in which a restarted process must have the state of the others; it is a requirement of the users' sites. */
private const val JOIN_BOUND_MILLIS = 4_000L

/** Guards against nodes that discover each other only seconds after a common start and refuse calls until then. */
class MeshJoinTest {
    /** The nodes [restarting], which have no seed addresses, restart after [outageMillis]. */
    internal class Case(
        private val name: String,
        private val seed: Int,
        val restarting: List<Int>,
        val outageMillis: Long,
        val isStoreUp: Boolean,
    ) {
        fun mesh() = FakeMesh(MeshSize(3, 2, 3, seeds = 0), seed)

        override fun toString(): String = "$name, seed $seed"
    }

    @ParameterizedTest
    @MethodSource("cases")
    internal fun `each node knows the upstreams of all others within 4 s of a restart`(case: Case) {
        val mesh = case.mesh()
        mesh.nodes.forEach { mesh.start(it) }
        mesh.runFor(8_000)
        mesh.nodes.forEach { mesh.registerUpstream(it, UpstreamState.SERVING) }
        assertNotNull(mesh.runUntil(JOIN_BOUND_MILLIS) { mesh.knowsAllUpstreams() }, "missing upstreams before restart")
        mesh.isStoreUp = case.isStoreUp
        val restarting = case.restarting.map { mesh.nodes[it] }
        restarting.forEach { mesh.kill(it) }
        mesh.runFor(case.outageMillis)
        restarting.forEach {
            mesh.start(it)
            mesh.registerUpstream(it, UpstreamState.SERVING)
        }
        assertNotNull(mesh.runUntil(JOIN_BOUND_MILLIS) { mesh.knowsAllUpstreams() }, "missing upstreams after restart")
    }

    @ParameterizedTest
    @MethodSource("seeds")
    internal fun `a new node knows the others within 4 s of the end of a store outage`(seed: Int) {
        val mesh = FakeMesh(MeshSize(3, 2, 3, seeds = 0), seed)
        val newNode = mesh.nodes.last()
        mesh.nodes.filter { it !== newNode }.forEach { mesh.start(it) }
        mesh.runFor(8_000)
        mesh.isStoreUp = false
        mesh.start(newNode)
        mesh.runFor(STORE_OUTAGE_MILLIS)
        mesh.nodes.forEach { mesh.registerUpstream(it, UpstreamState.SERVING) }
        mesh.isStoreUp = true
        assertNotNull(mesh.runUntil(JOIN_BOUND_MILLIS) { mesh.knowsAllUpstreams() }, "missing upstreams after outage")
    }

    private fun FakeMesh.knowsAllUpstreams(): Boolean =
        nodes.all { node -> nodes.all { node.knowsUpstreamOf(it.identity) } }

    private fun FakeNode.knowsUpstreamOf(other: NodeIdentity): Boolean {
        val member = state.membership.table[other.node] ?: return false
        return member.isLive && member.record.upstreams.any { it.state == UpstreamState.SERVING }
    }

    private companion object {
        val SEEDS = 1..12

        /** Outage that is long enough for several failed reads in a row. */
        const val STORE_OUTAGE_MILLIS = 10_000L

        @JvmStatic
        fun seeds(): List<Int> = SEEDS.toList()

        @JvmStatic
        fun cases(): List<Case> =
            SEEDS.map { Case("all nodes lose power", it, (0 until 18).toList(), 1_500, isStoreUp = true) } +
                SEEDS.map {
                    Case("three nodes while the store is down", it, listOf(1, 7, 13), 6_000, isStoreUp = false)
                }
    }
}
