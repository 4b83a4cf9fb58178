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
import boragelever.core.store.StoreCommand
import boragelever.core.store.WriteId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

/** Guards against quarantine, upstream states and shutdown that take effect too early, too late or not at all. */
class NodeConcernsTest {
    /** Steps and the value that they must return. */
    internal class Case(
        private val name: String,
        val expected: Any?,
        val steps: ReducerDriver.() -> Any?,
    ) {
        override fun toString(): String = name
    }

    @ParameterizedTest
    @MethodSource("quarantine", "upstreams", "shutdown", "stopGrace", "rows", "snapshots")
    internal fun `the node reaches the expected state`(case: Case) {
        assertEquals(case.expected, case.steps(ReducerDriver().apply(1, configuration())))
    }

    private companion object {
        val FINGERPRINT = Fingerprint("f")
        const val QUARANTINE_MILLIS = 60_000L

        fun configuration(lifted: Set<Fingerprint> = emptySet()): Configuration =
            Configuration(
                services = mapOf(ServiceName("s") to ServiceConfig(drainMillis = 700_000)),
                quarantine = QuarantineConfig(deaths = 2, durationMillis = QUARANTINE_MILLIS, lifted = lifted),
            )

        fun ReducerDriver.crash(times: Int = 1): ReducerDriver =
            step { Event.UpstreamCrashed(it, InstanceId("x"), List(times) { InterruptedRequest(FINGERPRINT) }) }

        fun ReducerDriver.receiveDeath(number: Long, ageMillis: Long = 0, messageNumber: Long = number): ReducerDriver {
            val death = FingerprintDeath(FINGERPRINT, peers.first(), number, ageMillis)
            return receive(PeerMessage.QuarantineUpdate(messageNumber, listOf(death), TreeScope.SELF))
        }

        fun ReducerDriver.isQuarantined(): Boolean = FINGERPRINT in checkNotNull(state.snapshot).quarantined

        fun ReducerDriver.register(state: UpstreamState, ttlMillis: Long = 5_000): ReducerDriver =
            step { Event.UpstreamRegistered(it, sampleUpstream("u", state), ttlMillis) }

        fun ReducerDriver.states(): List<UpstreamState> =
            checkNotNull(state.membership.localRecord).upstreams.map { it.state }

        fun ReducerDriver.endpoints(): Int =
            checkNotNull(state.snapshot).services.getValue(ServiceName("s")).endpoints.size

        fun ReducerDriver.stopWithGrace(): ReducerDriver =
            step { Event.SettingsChanged(it, ReloadableSettings(stopGraceMillis = 6_000)) }
                .step { Event.StopRequested(it) }

        fun ReducerDriver.exits(): Boolean = Effect.Exit in effects

        @JvmStatic
        fun quarantine(): List<Case> =
            listOf(
                Case("one death does not quarantine", false) { crash().isQuarantined() },
                Case("a fingerprint that was in flight twice at one death counts once", false) {
                    crash(times = 2).isQuarantined()
                },
                Case("two deaths quarantine", true) { crash().crash().isQuarantined() },
                Case("a local death and one at a peer quarantine", true) { crash().receiveDeath(1).isQuarantined() },
                Case("a death received twice counts once", false) {
                    receiveDeath(1, messageNumber = 1).receiveDeath(1, messageNumber = 2).isQuarantined()
                },
                Case("an expired death does not count", false) {
                    crash().receiveDeath(1, ageMillis = QUARANTINE_MILLIS).isQuarantined()
                },
                Case("the quarantine ends", false) {
                    crash().crash().tick(QUARANTINE_MILLIS + 2_000).isQuarantined()
                },
                Case("the quarantine lasts for its duration", true) {
                    crash().crash().tick(QUARANTINE_MILLIS - 1_000).isQuarantined()
                },
                Case("a lifted fingerprint is released and its deaths are dropped", false) {
                    crash().crash().tick(100).apply(2, configuration(setOf(FINGERPRINT)))
                    crash().isQuarantined()
                },
                Case("a death before the lift does not count afterwards", false) {
                    tick(1_000).apply(2, configuration(setOf(FINGERPRINT)))
                    receiveDeath(1, ageMillis = 500).receiveDeath(2, ageMillis = 500).isQuarantined()
                },
                Case("two deaths after the lift quarantine again", true) {
                    apply(2, configuration(setOf(FINGERPRINT))).tick(100)
                    crash().crash().isQuarantined()
                },
                Case("a death is broadcast to the peers", 2) {
                    crash().sent.count { it is PeerMessage.QuarantineUpdate }
                },
            )

        @JvmStatic
        fun upstreams(): List<Case> =
            listOf(
                Case("a starting upstream gets no calls", 0) { register(UpstreamState.STARTING).endpoints() },
                Case("a serving upstream gets calls", 1) { register(UpstreamState.SERVING).endpoints() },
                Case("a draining upstream gets no calls", 0) {
                    register(UpstreamState.SERVING).register(UpstreamState.DRAINING).endpoints()
                },
                Case("a renewal is not broadcast", 0) {
                    register(UpstreamState.SERVING).register(UpstreamState.SERVING).effects.size
                },
                Case("a registration expires without renewal", emptyList<UpstreamState>()) {
                    register(UpstreamState.SERVING).tick(5_100).states()
                },
                Case("a renewed registration stays", listOf(UpstreamState.SERVING)) {
                    register(UpstreamState.SERVING).tick(4_000).register(UpstreamState.SERVING).tick(4_000).states()
                },
                Case("a crash removes the upstream and is broadcast immediately", 2) {
                    register(UpstreamState.SERVING)
                    step { Event.UpstreamCrashed(it, InstanceId("u-s"), emptyList()) }
                    sent.filterIsInstance<PeerMessage.MemberUpdate>().count {
                        it.records.single().record.upstreams.isEmpty()
                    }
                },
            )

        @JvmStatic
        fun shutdown(): List<Case> =
            listOf(
                Case("a stop drains the upstreams", listOf(UpstreamState.DRAINING)) {
                    register(UpstreamState.SERVING).step { Event.StopRequested(it) }.states()
                },
                Case("the node does not exit before the minimum drain time", false) {
                    step { Event.StopRequested(it) }.step { Event.CallsFinished(it) }.tick(1_900).exits()
                },
                Case("the node announces its leave before it exits", listOf(MemberStatus.DEAD)) {
                    step { Event.StopRequested(it) }.step { Event.CallsFinished(it) }.tick(2_000)
                    val updates = sent.filterIsInstance<PeerMessage.MemberUpdate>().flatMap { it.records }
                    updates.map { it.status }.filter { it != MemberStatus.ALIVE }.distinct()
                },
                Case("the announced leave is not refuted", 1_000L) {
                    step { Event.StopRequested(it) }.step { Event.CallsFinished(it) }.tick(2_000)
                    val own = checkNotNull(state.membership.localRecord)
                    receive(
                        PeerMessage.MemberUpdate(9, listOf(MemberStatusRecord(own, MemberStatus.DEAD)), TreeScope.SELF),
                    )
                    state.membership.localRecord?.incarnation?.value
                },
                Case("the node exits when no call is in flight", true) {
                    step { Event.StopRequested(it) }.step { Event.CallsFinished(it) }.tick(2_500).exits()
                },
                Case("the node waits for its calls", false) { step { Event.StopRequested(it) }.tick(600_000).exits() },
                Case("the node exits at the longest drain time of a service", true) {
                    step { Event.StopRequested(it) }.tick(700_500).exits()
                },
                Case("finished calls without a stop request have no effect", false) {
                    step { Event.CallsFinished(it) }.tick(5_000).exits()
                },
                Case("a pause raises the incarnation", 1_001L) {
                    tick(1_000)
                    nowMillis += 5_000
                    tick(100).state.membership.localRecord?.incarnation?.value
                },
                Case("a gap of 2 s is no pause", 1_000L) {
                    tick(1_000)
                    nowMillis += 1_900
                    tick(100).state.membership.localRecord?.incarnation?.value
                },
            )

        @JvmStatic
        fun stopGrace(): List<Case> =
            listOf(
                Case("the node waits for its calls until shortly before the end of the stop grace", false) {
                    stopWithGrace().tick(5_400).exits()
                },
                Case("the node exits shortly before the end of the stop grace", true) {
                    stopWithGrace().tick(5_500).exits()
                },
                Case("a call that arrives after the others have finished is waited for", false) {
                    stopWithGrace().step { Event.CallsFinished(it) }.tick(2_100)
                    step { Event.CallsResumed(it) }.tick(3_000).exits()
                },
                Case("the node exits when that call has finished", true) {
                    stopWithGrace().step { Event.CallsFinished(it) }.tick(2_100)
                    step { Event.CallsResumed(it) }.tick(1_000)
                    step { Event.CallsFinished(it) }.tick(100).exits()
                },
                Case("calls learn when the process exits", 5_500L) {
                    stopWithGrace()
                    checkNotNull(state.snapshot).exitMillis
                },
                Case("a second stop request changes nothing", 5_500L) {
                    stopWithGrace().tick(1_000).step { Event.StopRequested(it) }
                    checkNotNull(state.snapshot).exitMillis
                },
            )

        @JvmStatic
        fun rows(): List<Case> {
            val old = 1_000_000_000L - MEMBER_ROW_EXPIRY_MILLIS
            return listOf(
                Case("an expired row is ignored and deleted", emptyList<String>() to listOf("member/a")) {
                    scanRow("a", old)
                },
                Case("a fresh row is contacted", listOf("a:1") to emptyList<String>()) { scanRow("a", old + 10_000) },
            )
        }

        /** Returns the addresses found and the rows deleted after a scan that returns one row. */
        fun ReducerDriver.scanRow(name: String, renewedMillis: Long): Pair<List<String>, List<String>> {
            val own = checkNotNull(state.membership.localRecord)
            val address = NetworkAddress("$name:1")
            val value = RowValue.Member(NodeId(name), own.incarnation, own.region, own.zone, address, renewedMillis)
            val row = Row(RowKey(MEMBER_PREFIX + name), value, Revision(4), WriteId("w"))
            completeMemberScan(listOf(row))
            val removed = effects.filterIsInstance<Effect.CallStore>().mapNotNull {
                it.command as? StoreCommand.Transact
            }
            return state.membership.join.storedAddresses.map { it.value } to
                removed.flatMap { it.writes }.filterIsInstance<RowWrite.Delete>().map { it.key.value }
        }

        @JvmStatic
        fun snapshots(): List<Case> =
            listOf(
                Case("routes are ordered by descending prefix length", listOf("/other", "/all", "/r10", "/r1")) {
                    apply(2)
                    val prefixes = checkNotNull(state.snapshot).routes.map { it.config.pathPrefix }
                    prefixes.filter { it in setOf("/r1", "/all", "/r10", "/other") }
                },
                Case("a destination without a service is omitted", listOf(ServiceName("s"))) {
                    apply(2)
                    checkNotNull(state.snapshot).routes
                        .first { it.config.pathPrefix == "/other" }
                        .destinations.map { it.service }
                },
                Case("a tick installs no snapshot", 0) { tick(500).effects.count { it is Effect.InstallSnapshot } },
                Case("a refused document does not change the snapshot", ConfigVersion(1)) {
                    receive(PeerMessage.ConfigPush(sampleId(2), ConfigBody.Full(sampleDocument(2)), TreeScope.SELF))
                    step { Event.DocumentCompiled(it, ConfigVersion(2), CompileOutcome.Refused(listOf("unknown"))) }
                    checkNotNull(state.snapshot).config.version
                },
            )
    }
}
