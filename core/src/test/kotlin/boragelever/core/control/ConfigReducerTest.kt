package boragelever.core.control

import boragelever.core.ConfigVersion
import boragelever.core.Digest
import boragelever.core.Session
import boragelever.core.config.ConfigDocument
import boragelever.core.config.ConfigId
import boragelever.core.config.Configuration
import boragelever.core.config.EntryKey
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.Arguments
import org.junit.jupiter.params.provider.Arguments.arguments
import org.junit.jupiter.params.provider.MethodSource

/** Guards against a node that applies an older version, a document with a wrong digest or a partial document. */
class ConfigReducerTest {
    @ParameterizedTest(name = "{0}")
    @MethodSource("offers")
    fun `only the newest valid document is applied`(
        @Suppress("unused") name: String,
        steps: List<Step>,
        applied: Long?,
        pending: Long?,
    ) {
        val session = Session()
        val end =
            steps.fold(session.state(session.nodes.first())) { state, step ->
                when (step) {
                    is Step.Offer -> state.offerConfig(step.id, document(step.version)).state
                    is Step.Compiled -> {
                        val context = session.eventContext(session.nodes.first())
                        reduceConfig(
                            state,
                            Event.DocumentCompiled(context, ConfigVersion(step.version), step.outcome),
                        ).state
                    }
                }
            }
        assertEquals(applied, end.applied?.id?.version?.value, "applied")
        assertEquals(pending, end.pendingConfig?.id?.version?.value, "pending")
        end.applied?.let { assertEquals(document(it.id.version.value), it.document) }
    }

    sealed interface Step {
        data class Offer(val version: Long, val digest: Digest? = null) : Step {
            val id get() = ConfigId(ConfigVersion(version), digest ?: document(version).digest())
        }

        data class Compiled(val version: Long, val outcome: CompileOutcome = COMPILED) : Step
    }

    private companion object {
        val COMPILED = CompileOutcome.Compiled(Configuration())
        val REFUSED = CompileOutcome.Refused(listOf("unknown key"))

        fun document(version: Long) = ConfigDocument(mapOf(EntryKey("k") to "$version"))

        fun offer(version: Long) = Step.Offer(version)

        fun compiled(version: Long) = Step.Compiled(version)

        @JvmStatic
        fun offers(): List<Arguments> =
            listOf(
                arguments("first", listOf(offer(1), compiled(1)), 1L, null),
                arguments("being compiled", listOf(offer(1)), null, 1L),
                arguments("wrong digest", listOf(Step.Offer(1, Digest("0")), compiled(1)), null, null),
                arguments("older than applied", listOf(offer(2), compiled(2), offer(1), compiled(1)), 2L, null),
                arguments("same as applied", listOf(offer(2), compiled(2), offer(2)), 2L, null),
                arguments("older than the one being compiled", listOf(offer(2), offer(1), compiled(2)), 2L, null),
                arguments("newer while compiling", listOf(offer(1), offer(2), compiled(1), compiled(2)), 2L, null),
                arguments("compiled after a newer one", listOf(offer(1), offer(2), compiled(2), compiled(1)), 2L, null),
                arguments("refused", listOf(offer(1), compiled(1), offer(2), Step.Compiled(2, REFUSED)), 1L, null),
                arguments(
                    "refused and offered again",
                    listOf(offer(1), Step.Compiled(1, REFUSED), offer(1)),
                    null,
                    null,
                ),
                arguments(
                    "newer than a refused one",
                    listOf(offer(1), Step.Compiled(1, REFUSED), offer(2), compiled(2)),
                    2L,
                    null,
                ),
            )
    }
}
