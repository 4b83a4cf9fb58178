package boragelever.core.control

import boragelever.core.ConfigVersion
import boragelever.core.store.Revision
import boragelever.core.store.SourcedConfig
import boragelever.core.store.StoreAnswer
import boragelever.core.store.StoreCommand
import boragelever.core.store.StoreFailure
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

/** Guards against nodes that miss a configuration of the platform's operator or all ask the store for it. */
class SourceReducerTest {
    /** What the node asks the store and applies after [steps]. */
    internal class Case(
        private val failure: String,
        val expected: List<String>,
        val steps: Driver.() -> Unit,
    ) {
        override fun toString(): String = failure
    }

    /** A node beside others of its region; [first] is the member that watches for the region. */
    internal class Driver {
        val core = ReducerDriver(MeshSize(1, 1, 3)).apply {
            state = state.copy(identity = state.identity.copy(origin = ConfigOrigin.StoreRow))
        }
        val seen = mutableListOf<String>()
        private var open: RequestId? = null

        fun tick(millis: Long) = note(core.tick(millis))

        fun answer(answer: StoreAnswer) {
            val request = checkNotNull(open) { "no request is open" }
            open = null
            note(core.step { Event.StoreCommandCompleted(it, request, answer) })
        }

        fun read(version: Long?, revision: Long) {
            val config = version?.let { SourcedConfig(ConfigVersion(it), sampleDocument(it)) }
            answer(StoreAnswer.SourceRead(Revision(revision), config))
        }

        fun fail() = answer(StoreAnswer.StoreFailed(StoreFailure.Unavailable("down")))

        fun report() = note(core.receive(PeerMessage.SourceReport(null)))

        private fun note(core: ReducerDriver) {
            core.effects.forEach { effect ->
                when (effect) {
                    is Effect.CallStore -> noteCall(effect)
                    is Effect.CompileDocument -> seen += "compile ${effect.version}"
                    else -> Unit
                }
            }
        }

        private fun noteCall(effect: Effect.CallStore) {
            when (val command = effect.command) {
                is StoreCommand.ReadConfigSource -> seen += "read"
                is StoreCommand.AwaitConfigSource -> seen += "await ${command.after.value}"
                else -> return
            }
            open = effect.request
        }
    }

    @ParameterizedTest
    @MethodSource("cases")
    internal fun `the node watches`(case: Case) {
        val driver = Driver()
        case.steps(driver)
        assertEquals(case.expected, driver.seen)
    }

    private companion object {
        @JvmStatic
        fun cases(): List<Case> =
            listOf(
                Case("a node that nobody covers waits", listOf("read", "compile v3", "await 7")) {
                    tick(100)
                    read(version = 3, revision = 7)
                },
                Case("a change is missed between two waits", listOf("read", "await 7", "await 9")) {
                    tick(100)
                    read(version = null, revision = 7)
                    read(version = null, revision = 9)
                },
                Case("a lost history ends the watch", listOf("read", "await 7", "read")) {
                    tick(100)
                    read(version = null, revision = 7)
                    answer(StoreAnswer.SourceHistoryLost)
                },
                Case("an older version is applied", listOf("read", "compile v3", "await 7", "await 8")) {
                    tick(100)
                    read(version = 3, revision = 7)
                    read(version = 2, revision = 8)
                },
                Case("an outage ends the watch", listOf("read", "read")) {
                    tick(100)
                    fail()
                    tick(1_200)
                },
                Case("a covered node asks the store", emptyList()) {
                    if (core.state.isRegionWatcher()) core.becomeFollower()
                    report()
                    tick(1_000)
                },
                Case("a node stays covered by a silent watcher", listOf("read")) {
                    if (core.state.isRegionWatcher()) core.becomeFollower()
                    report()
                    tick(1_200)
                },
            )

        /** Gives the node the name of a member that comes after the others in the order of its region. */
        fun ReducerDriver.becomeFollower() {
            val last = state.membership.table.relays(state.identity.region, 3).last()
            state = state.copy(identity = state.identity.copy(node = last))
            check(!state.isRegionWatcher()) { "$last is to follow another watcher" }
        }
    }
}
