package boragelever.core.control

import boragelever.core.ServiceName
import boragelever.core.routing.Endpoint
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

/** Guards against calls that are sent to upstreams that have left, and against losing those that only look gone. */
class MeshEndpointsTest {
    /** What happens in a mesh whose upstreams all serve, and what the endpoints must then be like at every node. */
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
    @MethodSource("departures", "losses")
    internal fun `every snapshot follows in time`(case: Case) {
        val mesh = FakeMesh(case.size, seed = 5)
        mesh.nodes.forEach { mesh.start(it) }
        mesh.runFor(8_000)
        mesh.publish(mesh.nodes.first(), 1)
        mesh.nodes.forEach { mesh.announce(it, UpstreamState.SERVING) }
        val all = mesh.nodes.size
        assertNotNull(mesh.runUntil(10_000) { mesh.nodes.all { it.endpoints().size == all && it.allTrusted() } })
        mesh.faults = Faults(loss = 0.01)
        case.action(mesh)
        val took = mesh.runUntil(case.withinMillis) {
            mesh.live().all { case.expected(it, it.endpointOf(mesh.leaver())) }
        }
        assertNotNull(took, "in every snapshot within ${case.withinMillis} ms")
        assertEquals(emptyList<String>(), mesh.nodes.flatMap { it.violations })
    }

    private companion object {
        val TODAY = MeshSize(3, 2, 3)
        val HUNDRED = MeshSize(2, 2, 25)

        /** An announced departure must be known everywhere after 2 s. */
        const val DEPARTURE_BOUND_MILLIS = 2_000L

        /** Silence, suspicion, and two ticks. */
        const val DEATH_BOUND_MILLIS = SUSPECT_AFTER_MILLIS + DEAD_AFTER_MILLIS + 2 * TICK_MILLIS

        val gone: (FakeNode, Endpoint?) -> Boolean = { _, endpoint -> endpoint == null }

        @JvmStatic
        fun departures(): List<Case> =
            listOf(TODAY, HUNDRED).flatMap { size ->
                listOf(
                    Case("the upstream drains", size, DEPARTURE_BOUND_MILLIS, {
                        announce(leaver(), UpstreamState.DRAINING)
                    }, gone),
                    Case("the upstream deregisters", size, DEPARTURE_BOUND_MILLIS, {
                        val instance = sampleUpstream(leaver().identity.node.value, UpstreamState.SERVING).instance
                        dispatch(leaver()) { Event.UpstreamDeregistered(it, instance) }
                    }, gone),
                    Case("the node stops", size, DEPARTURE_BOUND_MILLIS, {
                        dispatch(leaver()) { Event.StopRequested(it) }
                    }, gone),
                )
            }

        @JvmStatic
        fun losses(): List<Case> =
            listOf(
                Case("the node dies", TODAY, DEATH_BOUND_MILLIS, { kill(leaver()) }, gone),
                Case("the node dies", HUNDRED, DEATH_BOUND_MILLIS, { kill(leaver()) }, gone),
                Case("the region is cut off", TODAY, 5_000, {
                    partition { it.identity.region == leaver().identity.region }
                }, { node, endpoint ->
                    endpoint != null && endpoint.trusted == (node.identity.region == endpoint.region)
                }),
                Case("the region is cut off for long and heals", TODAY, 5_000, {
                    partition { it.identity.region == leaver().identity.region }
                    runFor(60_000)
                    heal()
                }, { node, endpoint -> endpoint != null && node.allTrusted() }),
            )

        private fun FakeMesh.leaver(): FakeNode = nodes[nodes.size - 2]

        private fun FakeNode.endpoints(): List<Endpoint> =
            state.snapshot?.services?.get(ServiceName("s"))?.endpoints.orEmpty()

        private fun FakeNode.allTrusted(): Boolean = endpoints().all { it.trusted }

        private fun FakeNode.endpointOf(node: FakeNode): Endpoint? =
            endpoints().firstOrNull { it.node == node.identity.node }
    }
}
