package boragelever.core.control

import boragelever.core.ConfigVersion
import boragelever.core.config.Configuration
import boragelever.core.config.DisseminationConfig
import boragelever.core.config.DisseminationProfile
import boragelever.core.config.documentDelta
import boragelever.core.store.StoreCommand
import boragelever.core.store.StoreKeys
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

/** Guards against configurations that go back, are applied on the wrong base, or are sent more often than needed. */
class DisseminationReducerTest {
    /** What a node at version 2, which it got after version 1, sends after [steps]. */
    internal class Case(
        private val name: String,
        val expected: List<String>,
        val profile: DisseminationProfile = DisseminationProfile.CONVERGENCE,
        val steps: ReducerDriver.() -> Unit,
    ) {
        override fun toString(): String = name
    }

    @ParameterizedTest
    @MethodSource("received", "spread")
    internal fun `the node answers`(case: Case) {
        val configuration = Configuration(dissemination = DisseminationConfig(case.profile))
        val core = ReducerDriver().apply(1, configuration).apply(2, configuration)
        core.effects = emptyList()
        case.steps(core)
        assertEquals(case.expected, core.effects.mapNotNull { text(it) })
    }

    private companion object {
        fun text(effect: Effect): String? =
            when (effect) {
                is Effect.SendToPeer -> text(effect.message)
                is Effect.CompileDocument -> "compile ${effect.version}"
                is Effect.CallStore ->
                    "read head".takeIf { effect.command == StoreCommand.ReadRows(listOf(StoreKeys.HEAD)) }
                else -> null
            }

        fun text(message: PeerMessage): String? =
            when (message) {
                is PeerMessage.ConfigPush -> {
                    val body = message.body
                    val form = if (body is ConfigBody.Delta) "delta on ${body.delta.base.version}" else "full"
                    "push ${message.id.version} $form"
                }
                is PeerMessage.ConfigAck -> "ack ${message.applied?.version}"
                is PeerMessage.ConfigPull -> "pull above ${message.applied?.version}"
                else -> null
            }

        fun push(version: Long, body: ConfigBody = ConfigBody.Full(sampleDocument(version))): PeerMessage.ConfigPush =
            PeerMessage.ConfigPush(sampleId(version), body, TreeScope.SELF)

        fun delta(from: Long, to: Long): ConfigBody =
            ConfigBody.Delta(documentDelta(sampleId(from), sampleDocument(from), sampleDocument(to)))

        /** Publishes version 3 on this node; the lease makes it the origin. */
        fun ReducerDriver.publish() {
            state = state.offerConfig(sampleId(3), sampleDocument(3)).state
            val compiled = CompileOutcome.Compiled(checkNotNull(state.applied).configuration)
            step { Event.DocumentCompiled(it, ConfigVersion(3), compiled) }
        }

        @JvmStatic
        fun received(): List<Case> =
            listOf(
                Case("an older push", listOf("ack v2")) { receive(push(1)) },
                Case("the same push", listOf("ack v2")) { receive(push(2)) },
                Case("a newer push", listOf("compile v3")) { receive(push(3)) },
                Case("a newer push twice", emptyList()) {
                    receive(push(3))
                    receive(push(3))
                },
                Case("a document that does not match its digest", emptyList()) {
                    receive(push(3, ConfigBody.Full(sampleDocument(4))))
                },
                Case("a delta on the applied version", listOf("compile v3")) { receive(push(3, delta(2, 3))) },
                Case("a delta on another version", listOf("pull above v2")) { receive(push(4, delta(3, 4))) },
                Case("a pull from the version before", listOf("push v2 delta on v1")) {
                    receive(PeerMessage.ConfigPull(sampleId(1)))
                },
                Case("a pull without a version", listOf("push v2 full")) { receive(PeerMessage.ConfigPull(null)) },
                Case("a pull from a newer version", emptyList()) { receive(PeerMessage.ConfigPull(sampleId(3))) },
                Case("more pulls than are served at once", emptyList()) {
                    repeat(20) { receive(PeerMessage.ConfigPull(null)) }
                },
                Case("a heartbeat of a node that is ahead, pushed before the pull", emptyList()) {
                    receive(PeerMessage.Heartbeat(1, sampleId(3), 0))
                    apply(3)
                    tick(PULL_DELAY_MILLIS + TICK_MILLIS)
                },
                Case("a heartbeat of a node that is ahead", listOf("pull above v2")) {
                    receive(PeerMessage.Heartbeat(1, sampleId(3), 0))
                    tick(PULL_DELAY_MILLIS)
                },
            )

        @JvmStatic
        fun spread(): List<Case> =
            listOf(
                Case("the origin pushes", listOf("push v3 delta on v2", "push v3 full")) { publish() },
                Case(
                    "the origin assumes the previous version to save bytes",
                    listOf("push v3 delta on v2", "push v3 delta on v2"),
                    DisseminationProfile.BYTES,
                ) { publish() },
                Case("nobody pushes while all poll", emptyList(), DisseminationProfile.POLL) { publish() },
                Case("all poll", listOf("read head"), DisseminationProfile.POLL) { tick(2_600) },
                Case("an acknowledged push is not repeated", emptyList()) {
                    publish()
                    peers.forEach { receive(PeerMessage.ConfigAck(sampleId(3)), it) }
                    tick(1_000)
                    effects = effects.filterNot { it is Effect.CallStore }
                },
                Case("a push is repeated three times", List(3) { "push v3 full" }) {
                    publish()
                    receive(PeerMessage.ConfigAck(sampleId(3)))
                    tick(1_500)
                },
                Case("an isolated node reads the head", listOf("read head")) {
                    tick(ISOLATION_TIMEOUT_MILLIS + 2_600)
                },
            )
    }
}
