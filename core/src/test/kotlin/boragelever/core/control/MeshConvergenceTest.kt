package boragelever.core.control

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.api.Named.named
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.Arguments
import org.junit.jupiter.params.provider.Arguments.arguments
import org.junit.jupiter.params.provider.MethodSource

/** Guards against nodes that do not discover each other, and against nodes that keep an old configuration. */
class MeshConvergenceTest {
    @ParameterizedTest
    @MethodSource("meshes")
    internal fun `every node discovers all others and applies the published version`(size: MeshSize, faults: Faults) {
        val mesh = FakeMesh(size, seed = 7)
        mesh.faults = faults
        mesh.nodes.forEach { mesh.start(it) }
        val agreedAfterMillis = mesh.runUntil(20_000) { mesh.membersAgree() }
        assertNotNull(agreedAfterMillis, "the member tables do not agree within 20 s")
        mesh.publish(mesh.nodes.first(), 1)
        assertNotNull(mesh.runUntil(4_000) { mesh.hasConverged(1) }, "version 1 is not applied on every node")
        mesh.runFor(5_000)
        mesh.publish(mesh.nodes.last(), 2)
        val convergedAfterMillis = mesh.runUntil(4_000) { mesh.hasConverged(2) }
        assertNotNull(convergedAfterMillis, "version 2 is not applied on every node")
        assertEquals(emptyList<String>(), mesh.nodes.flatMap { it.violations })
    }

    private companion object {
        @JvmStatic
        fun meshes(): List<Arguments> =
            listOf(
                arguments(named("two nodes", MeshSize(1, 1, 2)), named("healthy", Faults())),
                arguments(named("18 nodes", MeshSize(3, 2, 3)), named("healthy", Faults())),
                arguments(named("18 nodes", MeshSize(3, 2, 3)), named("lossy", Faults(0.05, 0.05, 30))),
                arguments(named("100 nodes", MeshSize(2, 2, 25)), named("1% loss", Faults(0.01))),
            )
    }
}
