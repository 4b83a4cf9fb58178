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

/** Guards against a configuration that is replaced by an older one, built on the wrong base, or sent needlessly. */
class DisseminationReducerTest {
    /** Effects of [steps] on a node that has applied version 1 and then version 2. */
    internal class Case(
        private val name: String,
        val expected: List<String>,
        val profile: DisseminationProfile = DisseminationProfile.CONVERGENCE,
        val steps: ReducerDriver.() -> Unit,
    ) {
        override fun toString(): String = name
    }

    @ParameterizedTest
    @MethodSource("receivedMessages", "dissemination")
    internal fun `the node responds with the expected effects`(case: Case) {
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

        /** Offers version 3 to the node and completes its compilation, as after a publication by this node. */
        fun ReducerDriver.publish() {
            state = state.offerConfig(sampleId(3), sampleDocument(3)).state
            val compiled = CompileOutcome.Compiled(checkNotNull(state.applied).configuration)
            step { Event.DocumentCompiled(it, ConfigVersion(3), compiled) }
        }

        @JvmStatic
        fun receivedMessages(): List<Case> =
            listOf(
                Case("an older push is acknowledged with the applied version", listOf("ack v2")) { receive(push(1)) },
                Case("a push of the applied version is acknowledged", listOf("ack v2")) { receive(push(2)) },
                Case("a push of a newer version is compiled", listOf("compile v3")) { receive(push(3)) },
                Case("a repeated push has no effect while it is compiled", emptyList()) {
                    receive(push(3))
                    receive(push(3))
                },
                Case("a document that does not match its digest is ignored", emptyList()) {
                    receive(push(3, ConfigBody.Full(sampleDocument(4))))
                },
                Case("a delta on the applied version is compiled", listOf("compile v3")) {
                    receive(push(3, delta(2, 3)))
                },
                Case("a delta on another version causes a pull", listOf("pull above v2")) {
                    receive(push(4, delta(3, 4)))
                },
                Case("the reply to a pull from the previous version is a delta", listOf("push v2 delta on v1")) {
                    receive(PeerMessage.ConfigPull(sampleId(1)))
                },
                Case("the reply to a pull without a version is the full document", listOf("push v2 full")) {
                    receive(PeerMessage.ConfigPull(null))
                },
                Case("a pull from a newer version gets no reply", emptyList()) {
                    receive(PeerMessage.ConfigPull(sampleId(3)))
                },
                Case("a pull above the rate limit gets no reply", emptyList()) {
                    repeat(20) { receive(PeerMessage.ConfigPull(null)) }
                },
                Case("a push of the newer version replaces the pull", emptyList()) {
                    receive(PeerMessage.Heartbeat(1, sampleId(3), 0))
                    apply(3)
                    tick(PULL_DELAY_MILLIS + TICK_MILLIS)
                },
                Case("a heartbeat with a newer version causes a pull", listOf("pull above v2")) {
                    receive(PeerMessage.Heartbeat(1, sampleId(3), 0))
                    tick(PULL_DELAY_MILLIS)
                },
            )

        @JvmStatic
        fun dissemination(): List<Case> =
            listOf(
                Case("the publishing node pushes", listOf("push v3 delta on v2", "push v3 full")) { publish() },
                Case(
                    "the publishing node assumes the previous version in the profile that saves bytes",
                    listOf("push v3 delta on v2", "push v3 delta on v2"),
                    DisseminationProfile.BYTES,
                ) { publish() },
                Case("no node pushes in the polling profile", emptyList(), DisseminationProfile.POLL) { publish() },
                Case("a node polls the head", listOf("read head"), DisseminationProfile.POLL) { tick(2_600) },
                Case("an acknowledged push is not retried", emptyList()) {
                    publish()
                    peers.forEach { receive(PeerMessage.ConfigAck(sampleId(3)), it) }
                    tick(1_000)
                    effects = effects.filterNot { it is Effect.CallStore }
                },
                Case("an unacknowledged push is retried three times", List(3) { "push v3 full" }) {
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
