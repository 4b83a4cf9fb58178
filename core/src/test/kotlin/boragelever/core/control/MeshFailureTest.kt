package boragelever.core.control

import boragelever.core.RegionName
import boragelever.core.ZoneName
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

/** Guards against a mesh that does not converge again after a failure of nodes, zones or links. */
class MeshFailureTest {
    /** A [failure] in a mesh that has converged at version 1, and the time in which it must converge at [version]. */
    internal class Case(
        private val name: String,
        val size: MeshSize,
        val version: Long,
        val withinMillis: Long,
        val faults: Faults = Faults(),
        val failure: FakeMesh.() -> Unit,
    ) {
        override fun toString(): String = name
    }

    @ParameterizedTest
    @MethodSource("nodeFailures", "linkFailures", "restarts")
    internal fun `the mesh converges after the failure`(case: Case) {
        val mesh = FakeMesh(case.size, seed = 11)
        mesh.nodes.forEach { mesh.start(it) }
        mesh.runFor(8_000)
        mesh.publish(mesh.nodes.first(), 1)
        assertNotNull(mesh.runUntil(8_000) { mesh.hasConverged(1) }, "no convergence before the failure")
        mesh.faults = case.faults
        case.failure(mesh)
        assertNotNull(mesh.runUntil(case.withinMillis) { mesh.hasConverged(case.version) }, "no convergence in time")
        assertEquals(emptyList<String>(), mesh.nodes.flatMap { it.violations })
    }

    private companion object {
        val EIGHTEEN_NODES = MeshSize(3, 2, 3)

        @JvmStatic
        fun nodeFailures(): List<Case> =
            listOf(
                Case("a relay is killed while a version is published", EIGHTEEN_NODES, 2, 4_000) {
                    relaysOf("r1").take(1).forEach { kill(it) }
                    publish(publisherOutside("r1"), 2)
                },
                Case("both relays are killed while a version is published", EIGHTEEN_NODES, 2, 4_000) {
                    relaysOf("r1").forEach { kill(it) }
                    publish(publisherOutside("r1"), 2)
                },
                Case("a zone head is killed while a version is published", MeshSize(1, 4, 10), 2, 4_000) {
                    kill(zoneHeadOf("r0", "z1"))
                    publish(nodes.first { it.identity.zone.value == "z0" }, 2)
                },
                Case("all nodes of a zone are killed", MeshSize(2, 2, 8), 1, 4_000) {
                    nodes.filter { it.isIn("r0") && it.identity.zone.value == "z1" }.forEach { kill(it) }
                },
                Case("all nodes of a region stop", EIGHTEEN_NODES, 1, 4_000) {
                    nodes.filter { it.isIn("r2") }.forEach { node ->
                        dispatch(node) { Event.StopRequested(it) }
                        dispatch(node) { Event.CallsFinished(it) }
                    }
                    runUntil(4_000) { nodes.none { it.isIn("r2") && it.isUp } }
                },
                Case("a node pauses for 10 s", EIGHTEEN_NODES, 2, 4_000) {
                    val paused = nodes[4]
                    paused.isPaused = true
                    publish(nodes.first(), 2)
                    runFor(10_000)
                    resume(paused)
                },
            )

        @JvmStatic
        fun linkFailures(): List<Case> =
            listOf(
                Case("one message in five is lost", EIGHTEEN_NODES, 2, 4_000, Faults(loss = 0.2)) {
                    publish(nodes.last(), 2)
                },
                Case("a region is partitioned for 20 s while a version is published", EIGHTEEN_NODES, 2, 5_000) {
                    partition { it.isIn("r2") }
                    publish(nodes.first(), 2)
                    runFor(20_000)
                    heal()
                },
                Case("a region is partitioned and its relays are killed meanwhile", EIGHTEEN_NODES, 2, 15_000) {
                    partition { it.isIn("r2") }
                    runFor(5_000)
                    relaysOf("r2").forEach { kill(it) }
                    publish(nodes.first(), 2)
                    runFor(10_000)
                    heal()
                },
                Case("a zone is partitioned for 20 s", MeshSize(1, 2, 6), 2, 30_000) {
                    partition { it.identity.zone.value == "z1" }
                    publish(nodes.first(), 2)
                    runFor(20_000)
                    heal()
                },
            )

        @JvmStatic
        fun restarts(): List<Case> =
            listOf(
                Case("all nodes restart while the store is up", EIGHTEEN_NODES, 1, 15_000) {
                    nodes.forEach { kill(it) }
                    nodes.forEach { start(it) }
                },
                Case("all nodes but one restart while the store is down", EIGHTEEN_NODES, 1, 15_000) {
                    isStoreUp = false
                    nodes.drop(1).forEach { kill(it) }
                    nodes.drop(1).forEach { start(it) }
                },
                Case("a node restarts with a lower incarnation", EIGHTEEN_NODES, 1, 4_000) {
                    kill(nodes[7])
                    nodes[7].generation = -5
                    start(nodes[7])
                },
                Case("nodes without seeds restart while the store is down", EIGHTEEN_NODES.copy(seeds = 0), 1, 4_000) {
                    isStoreUp = false
                    val restarting = listOf(nodes[1], nodes[7], nodes[13])
                    restarting.forEach { kill(it) }
                    runFor(6_000)
                    restarting.forEach { start(it) }
                },
                Case("a node restarts immediately", EIGHTEEN_NODES, 1, 4_000) {
                    kill(nodes[7])
                    start(nodes[7])
                },
            )

        private fun FakeNode.isIn(region: String): Boolean = identity.region.value == region

        private fun FakeMesh.relaysOf(region: String): List<FakeNode> {
            val relays = nodes.first().state.membership.table.relays(RegionName(region), 2)
            return nodes.filter { it.identity.node in relays }
        }

        private fun FakeMesh.zoneHeadOf(region: String, zone: String): FakeNode {
            val ring = nodes.first().state.membership.table.zone(RegionName(region), ZoneName(zone))
            return nodes.first { it.identity.node == ring.entries.first().node }
        }

        private fun FakeMesh.publisherOutside(region: String): FakeNode = nodes.first { it.isUp && !it.isIn(region) }
    }
}
