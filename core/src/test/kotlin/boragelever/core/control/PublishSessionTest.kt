package boragelever.core.control

import boragelever.core.GoldenScope
import boragelever.core.GoldenSession
import boragelever.core.Session
import boragelever.core.store.RowValue
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

/** Runs complete sessions of nodes against a fake store; each scenario names the failure that it guards against. */
class PublishSessionTest {
    @ParameterizedTest(name = "{0}")
    @MethodSource("scenarios")
    fun `the store ends with the last saved folder`(scenario: Scenario) {
        val session = Session(scenario.nodes)
        scenario.script(session)
        assertEquals(scenario.version, session.head?.version?.value, "version")
        assertEquals(scenario.published, session.published, "document")
        if (scenario.errors != null) assertEquals(scenario.errors, session.status?.errors, "status row")
        val holder = (session.lease as RowValue.Lease).holder
        assertEquals(session.head?.configId, session.state(holder).applied?.id, "applied by the holder")
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("goldenScenarios")
    fun `the session matches its golden file`(scenario: Scenario) {
        val golden = GoldenSession(SCOPE)
        scenario.script(Session(scenario.nodes, golden))
        golden.verify(scenario.name)
    }

    private companion object {
        val SCOPE =
            GoldenScope(
                owners = setOf(RequestOwner.LEASE, RequestOwner.PUBLISHER, RequestOwner.CONFIG),
                summary = {
                    val lease = it.lease::class.simpleName
                    val phase = it.publisher.phase::class.simpleName
                    "lease $lease, publisher $phase, applied ${it.applied?.id?.version ?: "none"}"
                },
                concerns = {
                    listOf(
                        it.store.breaker,
                        it.lease,
                        it.publisher,
                        it.applied?.id,
                        it.pendingConfig?.id,
                        it.refusedConfig,
                        it.headRead,
                    )
                },
                shows = ::isShown,
            )

        fun isShown(effect: Effect): Boolean =
            when (effect) {
                is Effect.ListFolder, is Effect.ReadFolder, is Effect.MergeFolder, is Effect.CompileDocument -> true
                is Effect.Report ->
                    when (effect.notice) {
                        is Notice.MemberChanged, is Notice.Quarantined, is Notice.ProcessResumed -> false
                        else -> true
                    }
                else -> false
            }

        @JvmStatic
        fun scenarios(): List<Scenario> = PUBLISH_SCENARIOS

        @JvmStatic
        fun goldenScenarios(): List<Scenario> = PUBLISH_SCENARIOS.filter { it.golden }
    }
}
