package boragelever.core.control

import boragelever.core.ConfigVersion
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

/** Guards against an old configuration that stays in force while the open connections to the store are silent. */
class SilentSourceTest {
    /**
     * The connections go silent [silentAfterMillis] after a change that all watchers saw.
     *
     * The next change is written [writtenAfterMillis] later.
     */
    internal data class Case(val regions: Int, val silentAfterMillis: Long, val writtenAfterMillis: Long)

    @ParameterizedTest
    @MethodSource("cases")
    internal fun `a change is in force within 3 s of the silence and 2 s of its write`(case: Case) {
        val mesh = FakeMesh(MeshSize(case.regions, 1, 2, origin = ConfigOrigin.StoreRow), seed = 3)
        mesh.writeSource(1)
        mesh.nodes.forEach { mesh.start(it) }
        assertNotNull(mesh.runUntil(10_000) { mesh.hasConverged(1) }, "version 1 is not in force within 10 s")
        mesh.runFor(10_000)
        mesh.writeSource(2)
        mesh.runFor(case.silentAfterMillis)
        mesh.silenceStoreConnections()
        mesh.runFor(case.writtenAfterMillis)
        mesh.writeSource(3)
        val boundMillis = maxOf(CONTACT_MILLIS - case.writtenAfterMillis, APPLY_MILLIS)
        val elapsedMillis = mesh.runUntil(boundMillis) { mesh.allApplied(3) }
        assertNotNull(elapsedMillis, "version 3 is not in force after $boundMillis ms: ${mesh.applied()}")
    }

    private fun FakeMesh.allApplied(version: Long): Boolean =
        nodes.all { it.state.applied?.id.versionOrNone() == ConfigVersion(version) }

    private fun FakeMesh.applied(): List<String> = nodes.map { "${it.identity.node} ${it.state.applied?.id?.version}" }

    private companion object {
        /** The strictest bounds of the users' sites for contact after a disruption and for a configuration. */
        const val CONTACT_MILLIS = 3_000L
        const val APPLY_MILLIS = 2_000L

        @JvmStatic
        fun cases(): List<Case> =
            listOf(1, 2, 3, 5).flatMap { regions ->
                listOf(300L, 1_200L, 4_700L).flatMap { silentAfterMillis ->
                    listOf(10L, 100L, 900L, 1_500L).map { Case(regions, silentAfterMillis, it) }
                }
            }
    }
}
