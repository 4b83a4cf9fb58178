package boragelever.node.proxy

import boragelever.core.EventContext
import boragelever.core.Fingerprint
import boragelever.core.InstanceId
import boragelever.core.NetworkAddress
import boragelever.core.ServiceName
import boragelever.core.control.UpstreamRecord
import boragelever.core.control.UpstreamState
import boragelever.core.routing.TrialId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

/** Guards against crash reports that blame the wrong requests, and against more than one trial of a quarantined one. */
class LocalUpstreamsTest {
    /** Steps on the upstreams of a node, and the observations that they must cause, as text. */
    internal class Case(private val name: String, val expected: List<String>, val steps: Host.() -> Unit) {
        override fun toString(): String = name
    }

    /** The upstreams of a node with a controlled clock. */
    internal class Host : TrafficClock {
        private var now = 0L
        val observed = mutableListOf<String>()
        val upstreams = LocalUpstreams(this) { observed += describe(it) }

        init {
            INSTANCES.forEach {
                val address = NetworkAddress("127.0.0.1:1")
                upstreams.limiterFor(UpstreamRecord(SERVICE, it, address, 2, 2, UpstreamState.SERVING))
            }
        }

        override fun nowMillis(): Long = now

        override fun epochMillis(): Long = now

        override fun eventContext(): EventContext = EventContext(now, 1)

        fun start(name: String, isTrial: Boolean = false) = upstreams.callStarted(A, Fingerprint(name), isTrial)

        fun complete(name: String) = upstreams.completedRequests.record(A, Fingerprint(name))

        fun crash() = upstreams.reportCrash(A)

        fun watch(vararg names: String) = upstreams.completedRequests.watch(names.map { Fingerprint(it) }.toSet())

        fun pass(millis: Long) {
            now += millis
        }

        fun tryOnce(number: Int) {
            observed += if (upstreams.trials.begin(TrialId(Fingerprint("f"), number))) "trial $number" else "no trial"
        }

        private fun describe(observation: ProxyObservation): String =
            when (observation) {
                is ProxyObservation.UpstreamCrashed -> "crash: " + observation.running.joinToString { request ->
                    val marks = listOf("completed".takeIf { request.hasCompleted }, "trial".takeIf { request.isTrial })
                    (listOf(request.fingerprint.value) + marks.filterNotNull()).joinToString(" ")
                }
                is ProxyObservation.RequestCompleted -> "completed: ${observation.fingerprint}"
            }
    }

    @ParameterizedTest
    @MethodSource("crashes", "completions", "trials")
    internal fun `the observations are as expected`(case: Case) {
        val host = Host()
        case.steps(host)
        assertEquals(case.expected, host.observed)
    }

    private companion object {
        val SERVICE = ServiceName("s")
        val A = InstanceId("a")
        val INSTANCES = listOf(A, InstanceId("b"))
        const val GENERATION_MILLIS = 300_000L

        @JvmStatic
        fun crashes(): List<Case> =
            listOf(
                Case("a crash lists the running requests once", listOf("crash: f, g", "crash: ")) {
                    start("f")
                    start("f")
                    start("g")
                    start("h").close()
                    crash()
                    crash()
                },
                Case("a request that has completed is marked", listOf("crash: f completed, g")) {
                    complete("f")
                    start("f")
                    start("g")
                    crash()
                },
                Case(
                    "a request that was sent to the crashed upstream is not listed again",
                    listOf("crash: f", "crash: "),
                ) {
                    start("f")
                    crash()
                    pass(999)
                    start("f")
                    crash()
                },
                Case("another crash lists the request again", listOf("crash: f", "crash: f")) {
                    start("f")
                    crash()
                    pass(1_000)
                    start("f")
                    crash()
                },
                Case("a trial is marked", listOf("crash: f trial")) {
                    start("f", isTrial = true)
                    crash()
                },
            )

        @JvmStatic
        fun completions(): List<Case> =
            listOf(
                Case("a completion of a watched request is observed once", listOf("completed: f")) {
                    watch("f")
                    repeat(2) { complete("f") }
                    complete("g")
                },
                Case("a completion before the watch is observed", listOf("completed: f")) {
                    complete("f")
                    watch("f", "g")
                },
                Case("a completion after the end of the watch is not observed", emptyList()) {
                    watch("f")
                    watch()
                    complete("f")
                },
                Case("a completion is remembered for five minutes", listOf("completed: f")) {
                    complete("f")
                    pass(GENERATION_MILLIS)
                    complete("g")
                    pass(GENERATION_MILLIS - 1)
                    watch("f")
                },
                Case("a completion is forgotten after ten minutes with calls", emptyList()) {
                    complete("f")
                    pass(GENERATION_MILLIS)
                    complete("g")
                    pass(GENERATION_MILLIS)
                    watch("f")
                },
                Case("a completion is forgotten after ten minutes without calls", emptyList()) {
                    complete("f")
                    pass(2 * GENERATION_MILLIS)
                    watch("f")
                },
                Case("a request that completes often is remembered among many others", listOf("completed: f")) {
                    repeat(20_000) {
                        complete("other-$it")
                        if (it % 1_000 == 0) complete("f")
                    }
                    watch("f")
                },
            )

        @JvmStatic
        fun trials(): List<Case> =
            listOf(
                Case("one call is the trial", listOf("trial 1", "no trial")) { repeat(2) { tryOnce(1) } },
                Case("the next trial follows the first", listOf("trial 1", "trial 2", "no trial")) {
                    listOf(1, 2, 1).forEach { tryOnce(it) }
                },
                Case("a trial that showed nothing is repeated later", listOf("trial 1", "no trial", "trial 1")) {
                    tryOnce(1)
                    pass(29_999)
                    tryOnce(1)
                    pass(1)
                    tryOnce(1)
                },
                Case("a trial that got no slot is repeated at once", listOf("trial 1", "trial 1")) {
                    tryOnce(1)
                    upstreams.trials.cancel(TrialId(Fingerprint("f"), 1))
                    tryOnce(1)
                },
            )
    }
}
