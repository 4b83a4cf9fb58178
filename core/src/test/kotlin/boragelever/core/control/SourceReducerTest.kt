package boragelever.core.control

import boragelever.core.ConfigVersion
import boragelever.core.store.ConfigSourceSnapshot
import boragelever.core.store.Revision
import boragelever.core.store.StoreCommand
import boragelever.core.store.StoreFailure
import boragelever.core.store.StoreResult
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

/** Guards against nodes that miss a configuration of the source, and against all nodes watching it at the same time. */
class SourceReducerTest {
    /** The commands to the store and the compiled documents that [steps] must lead to. */
    internal class Case(
        private val name: String,
        val expected: List<String>,
        val steps: Driver.() -> Unit,
    ) {
        override fun toString(): String = name
    }

    /** Runs one node of a region of three. */
    internal class Driver {
        val node = ReducerDriver(MeshSize(1, 1, 3)).apply {
            state = state.copy(identity = state.identity.copy(origin = ConfigOrigin.StoreRow))
        }
        val observed = mutableListOf<String>()
        private var openRequest: RequestId? = null

        fun tick(millis: Long) = recordEffects(node.tick(millis))

        fun complete(result: StoreResult) {
            val request = checkNotNull(openRequest) { "no command is in flight" }
            openRequest = null
            recordEffects(node.step { Event.StoreCommandCompleted(it, request, result) })
        }

        fun read(version: Long?, revision: Long) {
            val config = version?.let { ConfigSourceSnapshot(ConfigVersion(it), sampleDocument(it)) }
            complete(StoreResult.ConfigSourceRead(Revision(revision), config))
        }

        fun fail() = complete(StoreResult.StoreFailed(StoreFailure.Unavailable("down")))

        fun report() = recordEffects(node.receive(PeerMessage.SourceReport(null)))

        private fun recordEffects(driver: ReducerDriver) {
            driver.effects.forEach { effect ->
                when (effect) {
                    is Effect.CallStore -> recordCall(effect)
                    is Effect.CompileDocument -> observed += "compile ${effect.version}"
                    else -> Unit
                }
            }
        }

        private fun recordCall(effect: Effect.CallStore) {
            when (val command = effect.command) {
                is StoreCommand.ReadConfigSource -> observed += "read"
                is StoreCommand.AwaitConfigSource -> observed += "await ${command.after.value}"
                else -> return
            }
            openRequest = effect.request
        }
    }

    @ParameterizedTest
    @MethodSource("cases")
    internal fun `the node watches the source only without a region watcher`(case: Case) {
        val driver = Driver()
        case.steps(driver)
        assertEquals(case.expected, driver.observed)
    }

    private companion object {
        @JvmStatic
        fun cases(): List<Case> =
            listOf(
                Case("a node without a region watcher reads, then waits", listOf("read", "compile v3", "await 7")) {
                    tick(100)
                    read(version = 3, revision = 7)
                },
                Case("each wait continues from the last revision", listOf("read", "await 7", "await 9")) {
                    tick(100)
                    read(version = null, revision = 7)
                    read(version = null, revision = 9)
                },
                Case("a lost history restarts the watch with a read", listOf("read", "await 7", "read")) {
                    tick(100)
                    read(version = null, revision = 7)
                    complete(StoreResult.ConfigSourceHistoryLost)
                },
                Case("an older version is not applied", listOf("read", "compile v3", "await 7", "await 8")) {
                    tick(100)
                    read(version = 3, revision = 7)
                    read(version = 2, revision = 8)
                },
                Case("the watch resumes after an outage", listOf("read", "read")) {
                    tick(100)
                    fail()
                    tick(1_200)
                },
                Case("a node with a region watcher sends no command", emptyList()) {
                    if (node.state.isRegionWatcher()) node.becomeFollower()
                    report()
                    tick(1_000)
                },
                Case("a node takes over when the watcher stops reporting", listOf("read")) {
                    if (node.state.isRegionWatcher()) node.becomeFollower()
                    report()
                    tick(1_200)
                },
            )

        /** Gives the node the name of the member with the lowest rank as watcher of its region. */
        fun ReducerDriver.becomeFollower() {
            val last = state.membership.table.relays(state.identity.region, 3).last()
            state = state.copy(identity = state.identity.copy(node = last))
            check(!state.isRegionWatcher()) { "$last is to follow another watcher" }
        }
    }
}
