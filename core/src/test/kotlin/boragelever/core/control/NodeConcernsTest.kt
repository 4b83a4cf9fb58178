package boragelever.core.control

import boragelever.core.ConfigVersion
import boragelever.core.Fingerprint
import boragelever.core.InstanceId
import boragelever.core.NetworkAddress
import boragelever.core.NodeId
import boragelever.core.ServiceName
import boragelever.core.config.Configuration
import boragelever.core.config.QuarantineConfig
import boragelever.core.config.ServiceConfig
import boragelever.core.store.Revision
import boragelever.core.store.Row
import boragelever.core.store.RowKey
import boragelever.core.store.RowValue
import boragelever.core.store.RowWrite
import boragelever.core.store.StoreAnswer
import boragelever.core.store.StoreCommand
import boragelever.core.store.WriteId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

/** Guards against quarantine, upstream states and shutdown that take effect too early, too late or not at all. */
class NodeConcernsTest {
    /** Steps and a value that they must lead to. */
    internal class Case(
        private val name: String,
        val expected: Any?,
        val steps: CoreDriver.() -> Any?,
    ) {
        override fun toString(): String = name
    }

    @ParameterizedTest
    @MethodSource("quarantine", "upstreams", "shutdown", "rows", "snapshots")
    internal fun `the steps lead to the result`(case: Case) {
        assertEquals(case.expected, case.steps(CoreDriver().apply(1, configuration())))
    }

    private companion object {
        val CRASHER = Fingerprint("f")
        const val REFUSAL_MILLIS = 60_000L

        fun configuration(lifted: Set<Fingerprint> = emptySet()): Configuration =
            Configuration(
                services = mapOf(ServiceName("s") to ServiceConfig(drainMillis = 700_000)),
                quarantine = QuarantineConfig(deaths = 2, durationMillis = REFUSAL_MILLIS, lifted = lifted),
            )

        fun CoreDriver.die(times: Int = 1): CoreDriver =
            step { Event.UpstreamDied(it, InstanceId("x"), List(times) { CRASHER }) }

        fun CoreDriver.told(number: Long, ageMillis: Long = 0, messageNumber: Long = number): CoreDriver {
            val death = FingerprintDeath(CRASHER, peers.first(), number, ageMillis)
            return receive(PeerMessage.QuarantineUpdate(messageNumber, listOf(death), TreeScope.SELF))
        }

        fun CoreDriver.isRefused(): Boolean = CRASHER in checkNotNull(state.snapshot).quarantined

        fun CoreDriver.announce(state: UpstreamState, ttlMillis: Long = 5_000): CoreDriver =
            step { Event.UpstreamAnnounced(it, sampleUpstream("u", state), ttlMillis) }

        fun CoreDriver.ownStates(): List<UpstreamState> =
            checkNotNull(state.members.localRecord).upstreams.map { it.state }

        fun CoreDriver.endpoints(): Int = checkNotNull(
            state.snapshot,
        ).services.getValue(ServiceName("s")).endpoints.size

        fun CoreDriver.exits(): Boolean = Effect.Exit in effects

        @JvmStatic
        fun quarantine(): List<Case> =
            listOf(
                Case("one death does not refuse", false) { die().isRefused() },
                Case("a fingerprint that ran twice in one death counts once", false) {
                    die(times = 2).isRefused()
                },
                Case("two deaths refuse", true) { die().die().isRefused() },
                Case("a death here and one elsewhere refuse", true) { die().told(1).isRefused() },
                Case("the same death told twice counts once", false) {
                    told(1, messageNumber = 1).told(1, messageNumber = 2).isRefused()
                },
                Case("an old death does not count", false) {
                    die().told(1, ageMillis = REFUSAL_MILLIS).isRefused()
                },
                Case("the refusal ends", false) {
                    die().die().tick(REFUSAL_MILLIS + 2_000).isRefused()
                },
                Case("the refusal lasts until its end", true) {
                    die().die().tick(REFUSAL_MILLIS - 1_000).isRefused()
                },
                Case("a lifted fingerprint is released and its deaths forgotten", false) {
                    die().die().tick(100).apply(2, configuration(setOf(CRASHER)))
                    die().isRefused()
                },
                Case("a death before the lift does not count afterwards", false) {
                    tick(1_000).apply(2, configuration(setOf(CRASHER)))
                    told(1, ageMillis = 500).told(2, ageMillis = 500).isRefused()
                },
                Case("two deaths after the lift refuse again", true) {
                    apply(2, configuration(setOf(CRASHER))).tick(100)
                    die().die().isRefused()
                },
                Case("a death is told to the peers", 2) {
                    die().sent.count { it is PeerMessage.QuarantineUpdate }
                },
            )

        @JvmStatic
        fun upstreams(): List<Case> =
            listOf(
                Case("a starting upstream gets no calls", 0) { announce(UpstreamState.STARTING).endpoints() },
                Case("a serving upstream gets calls", 1) { announce(UpstreamState.SERVING).endpoints() },
                Case("a draining upstream gets no calls", 0) {
                    announce(UpstreamState.SERVING).announce(UpstreamState.DRAINING).endpoints()
                },
                Case("a renewal is not broadcast", 0) {
                    announce(UpstreamState.SERVING).announce(UpstreamState.SERVING).effects.size
                },
                Case("an announcement without renewal ends", emptyList<UpstreamState>()) {
                    announce(UpstreamState.SERVING).tick(5_100).ownStates()
                },
                Case("a renewed announcement stays", listOf(UpstreamState.SERVING)) {
                    announce(UpstreamState.SERVING).tick(4_000).announce(UpstreamState.SERVING).tick(4_000).ownStates()
                },
                Case("a death takes the upstream out and is broadcast at once", 2) {
                    announce(UpstreamState.SERVING)
                    step { Event.UpstreamDied(it, InstanceId("u-s"), emptyList()) }
                    sent.filterIsInstance<PeerMessage.MemberUpdate>().count {
                        it.records.single().record.upstreams.isEmpty()
                    }
                },
            )

        @JvmStatic
        fun shutdown(): List<Case> =
            listOf(
                Case("a stop drains the upstreams", listOf(UpstreamState.DRAINING)) {
                    announce(UpstreamState.SERVING).step { Event.StopRequested(it) }.ownStates()
                },
                Case("the node stays until its peers know", false) {
                    step { Event.StopRequested(it) }.step { Event.CallsFinished(it) }.tick(1_900).exits()
                },
                Case("the node announces its end before it exits", listOf(MemberStatus.DEAD)) {
                    step { Event.StopRequested(it) }.step { Event.CallsFinished(it) }.tick(2_000)
                    val updates = sent.filterIsInstance<PeerMessage.MemberUpdate>().flatMap { it.records }
                    updates.map { it.status }.filter { it != MemberStatus.ALIVE }.distinct()
                },
                Case("the announced end is not refuted", 1_000L) {
                    step { Event.StopRequested(it) }.step { Event.CallsFinished(it) }.tick(2_000)
                    val own = checkNotNull(state.members.localRecord)
                    receive(
                        PeerMessage.MemberUpdate(9, listOf(MemberStatusRecord(own, MemberStatus.DEAD)), TreeScope.SELF),
                    )
                    state.members.localRecord?.incarnation?.value
                },
                Case("the node exits when no call is left", true) {
                    step { Event.StopRequested(it) }.step { Event.CallsFinished(it) }.tick(2_500).exits()
                },
                Case("the node waits for its calls", false) { step { Event.StopRequested(it) }.tick(600_000).exits() },
                Case("the node exits at the longest bound", true) {
                    step { Event.StopRequested(it) }.tick(700_500).exits()
                },
                Case("calls that finish without a stop mean nothing", false) {
                    step { Event.CallsFinished(it) }.tick(5_000).exits()
                },
                Case("a pause raises the incarnation", 1_001L) {
                    tick(1_000)
                    nowMillis += 5_000
                    tick(100).state.members.localRecord?.incarnation?.value
                },
                Case("a gap of 2 s is no pause", 1_000L) {
                    tick(1_000)
                    nowMillis += 1_900
                    tick(100).state.members.localRecord?.incarnation?.value
                },
            )

        @JvmStatic
        fun rows(): List<Case> {
            val old = 1_000_000_000L - MEMBER_ROW_EXPIRY_MILLIS
            return listOf(
                Case("an old row is ignored and removed", emptyList<String>() to listOf("member/a")) {
                    scanned("a", old)
                },
                Case("a fresh row is contacted", listOf("a:1") to emptyList<String>()) { scanned("a", old + 10_000) },
            )
        }

        /** Returns the addresses found and the rows removed after a scan that finds one row. */
        fun CoreDriver.scanned(name: String, renewedMillis: Long): Pair<List<String>, List<String>> {
            val scan = tick(1_000).effects.filterIsInstance<Effect.CallStore>().first {
                it.command is StoreCommand.ScanRows
            }
            val own = checkNotNull(state.members.localRecord)
            val address = NetworkAddress("$name:1")
            val value = RowValue.Member(NodeId(name), own.incarnation, own.region, own.zone, address, renewedMillis)
            val row = Row(RowKey(MEMBER_PREFIX + name), value, Revision(4), WriteId("w"))
            step { Event.StoreAnswered(it, scan.request, StoreAnswer.RowsRead(listOf(row))) }
            val removed = effects.filterIsInstance<Effect.CallStore>().mapNotNull {
                it.command as? StoreCommand.Transact
            }
            return state.members.join.storedAddresses.map { it.value } to
                removed.flatMap { it.writes }.filterIsInstance<RowWrite.Delete>().map { it.key.value }
        }

        @JvmStatic
        fun snapshots(): List<Case> =
            listOf(
                Case("the longest prefix is tried first", listOf("/other", "/all", "/r10", "/r1")) {
                    apply(2)
                    val prefixes = checkNotNull(state.snapshot).routes.map { it.config.pathPrefix }
                    prefixes.filter { it in setOf("/r1", "/all", "/r10", "/other") }
                },
                Case("a destination without a service is left out", listOf(ServiceName("s"))) {
                    apply(2)
                    checkNotNull(state.snapshot).routes.first {
                        it.config.pathPrefix == "/other"
                    }.destinations.map { it.service }
                },
                Case("a tick installs nothing", 0) { tick(500).effects.count { it is Effect.InstallSnapshot } },
                Case("a refused document changes nothing", ConfigVersion(1)) {
                    receive(PeerMessage.ConfigPush(sampleId(2), ConfigBody.Full(sampleDocument(2)), TreeScope.SELF))
                    step { Event.DocumentCompiled(it, ConfigVersion(2), CompileOutcome.Refused(listOf("unknown"))) }
                    checkNotNull(state.snapshot).config.version
                },
            )
    }
}
