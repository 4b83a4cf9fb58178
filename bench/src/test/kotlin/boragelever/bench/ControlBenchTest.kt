package boragelever.bench

import boragelever.core.config.DisseminationProfile
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.EnumSource

class ControlBenchTest {
    /** Guards against runs that are not reproducible, and against a digest that does not depend on the events. */
    @ParameterizedTest
    @CsvSource("7, 7, true", "7, 8, false")
    fun `runs have the same digest only for the same seed`(first: Long, second: Long, isSame: Boolean) {
        val digests = listOf(first, second).map { seed -> run(DisseminationProfile.BYTES, seed).digest }
        if (isSame) assertEquals(digests[0], digests[1]) else assertNotEquals(digests[0], digests[1])
    }

    /** Guards against measuring a mesh that violates an invariant or does not converge under packet loss and churn. */
    @ParameterizedTest
    @EnumSource(DisseminationProfile::class)
    fun `18 nodes with 1 percent packet loss converge without violations`(profile: DisseminationProfile) {
        val result = run(profile, seed = 7)
        assertEquals(Invariant.entries.associateWith { 0 }, result.violations)
        assertTrue(result.hasConverged, "running nodes differ in their version or in the members they list as alive")
        assertTrue(result.changes.publishedVersions > 0, "no version was published")
        val expected = result.changes.publishedVersions.toLong() * MESH_SIZES.first().nodes
        assertEquals(expected, result.changes.applyDelayMicros.totalCount, "a version was not applied on each node")
    }

    private fun run(profile: DisseminationProfile, seed: Long): ControlResult =
        runScenario(MeshSettings(MESH_SIZES.first(), profile, seed, LinkSettings(loss = 0.01)), SCENARIO)

    private companion object {
        val SCENARIO = ControlOptions().quick().scenario
    }
}
