package boragelever.core.control

import boragelever.core.RegionName
import boragelever.core.ZoneName
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

/** Guards against a failure of nodes, zones or links after which the mesh does not come together again. */
class MeshFailureTest {
    /** A failure in a settled mesh at version 1, and how long the mesh may take until it is settled at [version]. */
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
    @MethodSource("nodes", "links", "restarts")
    internal fun `the mesh settles after the failure`(case: Case) {
        val mesh = FakeMesh(case.size, seed = 11)
        mesh.nodes.forEach { mesh.start(it) }
        mesh.runFor(8_000)
        mesh.publish(mesh.nodes.first(), 1)
        assertNotNull(mesh.runUntil(8_000) { mesh.hasConverged(1) }, "settled before the failure")
        mesh.faults = case.faults
        case.failure(mesh)
        assertNotNull(mesh.runUntil(case.withinMillis) { mesh.hasConverged(case.version) }, "settled after the failure")
        assertEquals(emptyList<String>(), mesh.nodes.flatMap { it.violations })
    }

    private companion object {
        val TODAY = MeshSize(3, 2, 3)

        @JvmStatic
        fun nodes(): List<Case> =
            listOf(
                Case("a relay dies as a version is published", TODAY, 2, 4_000) {
                    relaysOf("r1").take(1).forEach { kill(it) }
                    publish(publisherOutside("r1"), 2)
                },
                Case("both relays die as a version is published", TODAY, 2, 4_000) {
                    relaysOf("r1").forEach { kill(it) }
                    publish(publisherOutside("r1"), 2)
                },
                Case("a zone head dies as a version is published", MeshSize(1, 4, 10), 2, 4_000) {
                    kill(headOf("r0", "z1"))
                    publish(nodes.first { it.identity.zone.value == "z0" }, 2)
                },
                Case("a zone dies", MeshSize(2, 2, 8), 1, 4_000) {
                    nodes.filter { it.isIn("r0") && it.identity.zone.value == "z1" }.forEach { kill(it) }
                },
                Case("all nodes of a region stop", TODAY, 1, 4_000) {
                    nodes.filter { it.isIn("r2") }.forEach { node ->
                        dispatch(node) { Event.StopRequested(it) }
                        dispatch(node) { Event.CallsFinished(it) }
                    }
                    runUntil(4_000) { nodes.none { it.isIn("r2") && it.isUp } }
                },
                Case("a node pauses for 10 s", TODAY, 2, 4_000) {
                    val paused = nodes[4]
                    paused.isPaused = true
                    publish(nodes.first(), 2)
                    runFor(10_000)
                    resume(paused)
                },
            )

        @JvmStatic
        fun links(): List<Case> =
            listOf(
                Case("one message in five is lost", TODAY, 2, 4_000, Faults(loss = 0.2)) { publish(nodes.last(), 2) },
                Case("a region is cut off for 20 s while a version is published", TODAY, 2, 5_000) {
                    partition { it.isIn("r2") }
                    publish(nodes.first(), 2)
                    runFor(20_000)
                    heal()
                },
                Case("a region is cut off and its relays die meanwhile", TODAY, 2, 15_000) {
                    partition { it.isIn("r2") }
                    runFor(5_000)
                    relaysOf("r2").forEach { kill(it) }
                    publish(nodes.first(), 2)
                    runFor(10_000)
                    heal()
                },
                Case("a zone is cut off for 20 s", MeshSize(1, 2, 6), 2, 30_000) {
                    partition { it.identity.zone.value == "z1" }
                    publish(nodes.first(), 2)
                    runFor(20_000)
                    heal()
                },
            )

        @JvmStatic
        fun restarts(): List<Case> =
            listOf(
                Case("all nodes restart and the store is up", TODAY, 1, 15_000) {
                    nodes.forEach { kill(it) }
                    nodes.forEach { start(it) }
                },
                Case("all nodes but one restart and the store is down", TODAY, 1, 15_000) {
                    isStoreUp = false
                    nodes.drop(1).forEach { kill(it) }
                    nodes.drop(1).forEach { start(it) }
                },
                Case("a node restarts with a lower incarnation", TODAY, 1, 4_000) {
                    kill(nodes[7])
                    nodes[7].generation = -5
                    start(nodes[7])
                },
                Case("nodes that know no address restart and the store is down", TODAY.copy(seeds = 0), 1, 4_000) {
                    isStoreUp = false
                    val restarting = listOf(nodes[1], nodes[7], nodes[13])
                    restarting.forEach { kill(it) }
                    runFor(6_000)
                    restarting.forEach { start(it) }
                },
                Case("a node restarts at once", TODAY, 1, 4_000) {
                    kill(nodes[7])
                    start(nodes[7])
                },
            )

        private fun FakeNode.isIn(region: String): Boolean = identity.region.value == region

        private fun FakeMesh.relaysOf(region: String): List<FakeNode> {
            val relays = nodes.first().state.membership.table.relays(RegionName(region), 2)
            return nodes.filter { it.identity.node in relays }
        }

        private fun FakeMesh.headOf(region: String, zone: String): FakeNode {
            val ring = nodes.first().state.membership.table.zone(RegionName(region), ZoneName(zone))
            return nodes.first { it.identity.node == ring.entries.first().node }
        }

        private fun FakeMesh.publisherOutside(region: String): FakeNode = nodes.first { it.isUp && !it.isIn(region) }
    }
}
