package boragelever.core.control

import net.jqwik.api.AfterFailureMode
import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.Combinators
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotNull

/** Guards against interleavings of faults that violate an invariant of configurations or prevent convergence. */
internal class MeshPropertyTest {
    /** One step of a random run. */
    sealed interface Step {
        data class Publish(val node: Int) : Step

        data class Kill(val node: Int) : Step

        data class Pause(val node: Int) : Step

        data class Revive(val node: Int) : Step

        data class SetFaults(val faults: Faults) : Step

        data class SetPartition(val isPartitioned: Boolean) : Step

        data class SetStore(val isUp: Boolean) : Step
    }

    @Property(tries = 40, seed = "4711", afterFailure = AfterFailureMode.RANDOM_SEED)
    fun `random faults violate no invariant and the mesh converges`(
        @ForAll("runs") steps: List<Pair<Step, Int>>,
    ) {
        val mesh = FakeMesh(MeshSize(2, 2, 2), seed = steps.hashCode())
        mesh.nodes.forEach { mesh.start(it) }
        var version = 0L
        for ((step, waitMillis) in steps) {
            if (step is Step.Publish && mesh.nodes[step.node] in mesh.live()) {
                mesh.publish(mesh.nodes[step.node], ++version)
            }
            mesh.perform(step)
            mesh.runFor(waitMillis.toLong())
        }
        mesh.faults = Faults()
        mesh.isStoreUp = true
        mesh.heal()
        mesh.nodes.forEach { mesh.perform(Step.Revive(mesh.nodes.indexOf(it))) }
        mesh.offerStoredHead(mesh.nodes.first())
        assertNotNull(mesh.runUntil(60_000) { mesh.hasConverged(version) }, "no convergence at version $version")
        assertEquals(emptyList<String>(), mesh.nodes.flatMap { it.violations })
    }

    private fun FakeMesh.perform(step: Step) {
        when (step) {
            is Step.Publish -> Unit
            is Step.Kill -> kill(nodes[step.node])
            is Step.Pause -> nodes[step.node].isPaused = true
            is Step.Revive -> {
                val node = nodes[step.node]
                if (!node.isUp) {
                    start(node)
                } else if (node.isPaused) {
                    resume(node)
                }
            }
            is Step.SetFaults -> faults = step.faults
            is Step.SetPartition -> if (step.isPartitioned) partition { it.identity.region.value == "r0" } else heal()
            is Step.SetStore -> isStoreUp = step.isUp
        }
    }

    @Provide
    fun runs(): Arbitrary<List<Pair<Step, Int>>> {
        val node = Arbitraries.integers().between(0, 7)
        val faults = Combinators
            .combine(Arbitraries.integers().between(0, 30), Arbitraries.integers().between(0, 30))
            .`as` { loss, duplication -> Faults(loss / 100.0, duplication / 100.0, reorderMillis = loss * 10L) }
        val step = Arbitraries.oneOf<Step>(
            node.map { Step.Publish(it) },
            node.map { Step.Publish(it) },
            node.map { Step.Kill(it) },
            node.map { Step.Pause(it) },
            node.map { Step.Revive(it) },
            faults.map { Step.SetFaults(it) },
            Arbitraries.of(true, false).map { Step.SetPartition(it) },
            Arbitraries.of(true, false).map { Step.SetStore(it) },
        )
        val wait = Arbitraries.integers().between(0, 6_000)
        return Combinators.combine(step, wait).`as` { one, millis -> one to millis }.list().ofMinSize(3).ofMaxSize(20)
    }
}
