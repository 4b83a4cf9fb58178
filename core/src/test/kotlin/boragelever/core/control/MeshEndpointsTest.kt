package boragelever.core.control

import boragelever.core.ServiceName
import boragelever.core.routing.Endpoint
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

/**
 * Guards against calls to upstreams that are no longer available, and against snapshots that drop the upstreams of a
 * region that is only unreachable.
 */
class MeshEndpointsTest {
    /** [action] in a mesh in which all upstreams serve, and the endpoint that every node must see afterwards. */
    internal class Case(
        private val name: String,
        val size: MeshSize,
        val withinMillis: Long,
        val action: FakeMesh.() -> Unit,
        val expected: (FakeNode, Endpoint?) -> Boolean,
    ) {
        override fun toString(): String = "$name, $size"
    }

    @ParameterizedTest
    @MethodSource("announcedChanges", "failures")
    internal fun `every snapshot reflects the change in time`(case: Case) {
        val mesh = FakeMesh(case.size, seed = 5)
        mesh.nodes.forEach { mesh.start(it) }
        mesh.runFor(8_000)
        mesh.publish(mesh.nodes.first(), 1)
        mesh.nodes.forEach { mesh.registerUpstream(it, UpstreamState.SERVING) }
        val all = mesh.nodes.size
        assertNotNull(mesh.runUntil(10_000) { mesh.nodes.all { it.endpoints().size == all && it.allTrusted() } })
        mesh.faults = Faults(loss = 0.01)
        case.action(mesh)
        val appliedAfterMillis = mesh.runUntil(case.withinMillis) {
            mesh.live().all { case.expected(it, it.endpointOf(mesh.affectedNode())) }
        }
        assertNotNull(appliedAfterMillis, "not in every snapshot within ${case.withinMillis} ms")
        assertEquals(emptyList<String>(), mesh.nodes.flatMap { it.violations })
    }

    private companion object {
        val EIGHTEEN_NODES = MeshSize(3, 2, 3)
        val HUNDRED_NODES = MeshSize(2, 2, 25)

        /** Time within which every node must apply the draining, deregistration or leave of an upstream. */
        const val LEAVE_BOUND_MILLIS = 2_000L

        /** Time within which every node must drop a dead node: the timeouts of the failure detector and two ticks. */
        const val DEATH_BOUND_MILLIS = SUSPECT_AFTER_MILLIS + DEAD_AFTER_MILLIS + 2 * TICK_MILLIS

        val isRemoved: (FakeNode, Endpoint?) -> Boolean = { _, endpoint -> endpoint == null }

        @JvmStatic
        fun announcedChanges(): List<Case> =
            listOf(EIGHTEEN_NODES, HUNDRED_NODES).flatMap { size ->
                listOf(
                    Case("the upstream drains", size, LEAVE_BOUND_MILLIS, {
                        registerUpstream(affectedNode(), UpstreamState.DRAINING)
                    }, isRemoved),
                    Case("the upstream deregisters", size, LEAVE_BOUND_MILLIS, {
                        val instance =
                            sampleUpstream(affectedNode().identity.node.value, UpstreamState.SERVING).instance
                        dispatch(affectedNode()) { Event.UpstreamDeregistered(it, instance) }
                    }, isRemoved),
                    Case("the node stops", size, LEAVE_BOUND_MILLIS, {
                        dispatch(affectedNode()) { Event.StopRequested(it) }
                    }, isRemoved),
                )
            }

        @JvmStatic
        fun failures(): List<Case> =
            listOf(
                Case("the node is killed", EIGHTEEN_NODES, DEATH_BOUND_MILLIS, { kill(affectedNode()) }, isRemoved),
                Case("the node is killed", HUNDRED_NODES, DEATH_BOUND_MILLIS, { kill(affectedNode()) }, isRemoved),
                Case("the region is partitioned", EIGHTEEN_NODES, 5_000, {
                    partition { it.identity.region == affectedNode().identity.region }
                }, { node, endpoint ->
                    endpoint != null && endpoint.trusted == (node.identity.region == endpoint.region)
                }),
                Case("the region is partitioned for 60 s and heals", EIGHTEEN_NODES, 5_000, {
                    partition { it.identity.region == affectedNode().identity.region }
                    runFor(60_000)
                    heal()
                }, { node, endpoint -> endpoint != null && node.allTrusted() }),
            )

        private fun FakeMesh.affectedNode(): FakeNode = nodes[nodes.size - 2]

        private fun FakeNode.endpoints(): List<Endpoint> =
            state.snapshot?.services?.get(ServiceName("s"))?.endpoints.orEmpty()

        private fun FakeNode.allTrusted(): Boolean = endpoints().all { it.trusted }

        private fun FakeNode.endpointOf(node: FakeNode): Endpoint? =
            endpoints().firstOrNull { it.node == node.identity.node }
    }
}
