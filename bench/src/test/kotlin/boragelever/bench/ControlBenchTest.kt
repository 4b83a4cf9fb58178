package boragelever.bench

import boragelever.core.config.DisseminationProfile
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.EnumSource

class ControlBenchTest {
    /** Guards against figures that no second run repeats, and against a digest that does not see the events. */
    @ParameterizedTest
    @CsvSource("7, 7, true", "7, 8, false")
    fun `a seed fixes every event`(first: Long, second: Long, isSame: Boolean) {
        val digests = listOf(first, second).map { seed -> run(DisseminationProfile.BYTES, seed).digest }
        if (isSame) assertEquals(digests[0], digests[1]) else assertNotEquals(digests[0], digests[1])
    }

    /** Guards against figures of a mesh that breaks a promise or does not converge under loss and churn. */
    @ParameterizedTest
    @EnumSource(DisseminationProfile::class)
    fun `18 nodes with 1 percent loss converge without violations`(profile: DisseminationProfile) {
        val result = run(profile, seed = 7)
        assertEquals(Promise.entries.associateWith { 0 }, result.violations)
        assertTrue(result.isSettled, "all nodes hold the newest version and know exactly the live nodes")
        assertTrue(result.changes.versions > 0, "versions were published")
        val expected = result.changes.versions.toLong() * MESH_SIZES.first().nodes
        assertEquals(expected, result.changes.perNode.totalCount, "each version is in force on each node")
    }

    private fun run(profile: DisseminationProfile, seed: Long): ControlResult =
        measure(MeshSettings(MESH_SIZES.first(), profile, seed, LinkSettings(loss = 0.01)), SCENARIO)

    private companion object {
        val SCENARIO = ControlOptions().quick().scenario
    }
}
