package boragelever.core.routing

import boragelever.core.EventContext
import boragelever.core.Incarnation
import boragelever.core.InstanceId
import boragelever.core.NetworkAddress
import boragelever.core.NodeId
import boragelever.core.RegionName
import boragelever.core.ServiceName
import boragelever.core.ZoneName
import boragelever.core.config.CrossRegion
import boragelever.core.config.LocalityConfig
import boragelever.core.config.OutlierConfig
import boragelever.core.config.ServiceConfig
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

/** Each case guards against the failure that it names; shares are counted over a fixed sequence of seeds. */
class EndpointSelectionTest {
    internal class Case(
        val failure: String,
        /** Endpoints as `name` to load; the first letter is the tier: `z`one, `r`egion, `o`ther region. */
        val load: Map<String, Int>,
        val config: ServiceConfig = ServiceConfig(slowStartMillis = 0),
        val ejected: Set<String> = emptySet(),
        /** Endpoints whose nodes could not be reached a moment ago. */
        val unreachable: Set<String> = emptySet(),
        /** Endpoints whose nodes have started again since then. */
        val restarted: Set<String> = emptySet(),
        val excluded: Set<String> = emptySet(),
        val young: Set<String> = emptySet(),
        val suspect: Set<String> = emptySet(),
        /** Percentage of the calls that each endpoint must get; others must get none. */
        val shares: Map<String, IntRange>,
    ) {
        override fun toString() = failure
    }

    @ParameterizedTest
    @MethodSource("cases")
    internal fun `calls go where they can be served`(case: Case) {
        val endpoints = case.load.keys.map { name ->
            endpoint(name, name in case.young, name !in case.suspect)
                .copy(incarnation = Incarnation(if (name in case.restarted) 2 else 1))
        }
        val service = CompiledService(ServiceName("s"), case.config, endpoints)
        val view = EndpointStatsSource { instance ->
            val isUnreachable = instance.value in case.unreachable
            val until = if (instance.value in case.ejected || isUnreachable) NOW + 1 else 0
            EndpointStats(case.load.getValue(instance.value), 0, until, Incarnation(1).takeIf { isUnreachable })
        }
        val excluded = case.excluded.map { InstanceId(it) }.toSet()
        val chosen = (1..CALLS).mapNotNull { selectEndpoint(service, view, EventContext(NOW, it.toLong()), excluded) }
            .groupingBy { it.instance.value }.eachCount()
        assertEquals(case.shares.keys, chosen.keys)
        chosen.forEach { (name, count) -> assertTrue(count * 100 / CALLS in case.shares.getValue(name), "$chosen") }
    }

    private companion object {
        const val CALLS = 1_000
        const val NOW = 10_000L
        const val SLOTS = 10
        val ALL = 100..100

        fun endpoint(name: String, young: Boolean, trusted: Boolean) =
            Endpoint(
                instance = InstanceId(name),
                service = ServiceName("s"),
                node = NodeId(name),
                callAddress = NetworkAddress("127.0.0.1:1"),
                region = RegionName("r"),
                zone = ZoneName("z"),
                tier = LocalityTier.entries["zro".indexOf(name.first())],
                slots = SLOTS,
                servingSinceMillis = if (young) NOW else 0,
                trusted = trusted,
            )

        fun across(crossRegion: CrossRegion) =
            ServiceConfig(slowStartMillis = 0, locality = LocalityConfig(crossRegion = crossRegion))

        @JvmStatic
        fun cases(): List<Case> = CASES

        val CASES = listOf(
            Case("a near endpoint is passed over", mapOf("z1" to 5, "r1" to 0), shares = mapOf("z1" to ALL)),
            Case(
                "a busy zone overflows all at once",
                mapOf("z1" to 9, "r1" to 0),
                shares = mapOf("z1" to 10..30, "r1" to 70..90),
            ),
            Case("a full zone keeps its calls", mapOf("z1" to 10, "r1" to 0), shares = mapOf("r1" to ALL)),
            Case("a busy zone overflows into a full one", mapOf("z1" to 9, "r1" to 10), shares = mapOf("z1" to ALL)),
            Case(
                "a call crosses regions too early",
                mapOf("z1" to 10, "o1" to 0),
                across(CrossRegion.LAST_RESORT),
                shares = mapOf("z1" to ALL),
            ),
            Case("a lost region loses its calls", mapOf("o1" to 0), shares = mapOf("o1" to ALL)),
            Case("a call leaves its region", mapOf("o1" to 0), across(CrossRegion.NEVER), shares = emptyMap()),
            Case(
                "a region does not overflow",
                mapOf("z1" to 10, "o1" to 0),
                across(CrossRegion.SPILL),
                shares = mapOf("o1" to ALL),
            ),
            Case("load is not compared", mapOf("z1" to 4, "z2" to 0), shares = mapOf("z2" to ALL)),
            Case(
                "a new endpoint gets its full share at once",
                mapOf("z1" to 0, "z2" to 0),
                ServiceConfig(slowStartMillis = 10_000),
                young = setOf("z2"),
                shares = mapOf("z1" to ALL),
            ),
            Case(
                "an ejected endpoint gets calls",
                mapOf("z1" to 0, "z2" to 0, "z3" to 0),
                ejected = setOf("z1"),
                shares = mapOf("z2" to 40..60, "z3" to 40..60),
            ),
            Case(
                "an endpoint whose node was not reached gets calls",
                mapOf("z1" to 0, "z2" to 0),
                unreachable = setOf("z1"),
                shares = mapOf("z2" to ALL),
            ),
            Case(
                "an endpoint is left out although its node has started again",
                mapOf("z1" to 0, "z2" to 0),
                unreachable = setOf("z1"),
                restarted = setOf("z1"),
                shares = mapOf("z1" to 40..60, "z2" to 40..60),
            ),
            Case(
                "an endpoint that failed is used as soon as its node has started again",
                mapOf("z1" to 0, "z2" to 0),
                ejected = setOf("z1"),
                restarted = setOf("z1"),
                shares = mapOf("z2" to ALL),
            ),
            Case(
                "ejection concentrates the load on a small rest",
                mapOf("z1" to 0, "z2" to 0, "z3" to 0, "z4" to 0),
                ejected = setOf("z1", "z2", "z3"),
                shares = mapOf("z1" to 15..35, "z2" to 15..35, "z3" to 15..35, "z4" to 15..35),
            ),
            Case(
                "a retry goes to the endpoint that failed",
                mapOf("z1" to 0, "r1" to 0),
                excluded = setOf("z1"),
                shares = mapOf("r1" to ALL),
            ),
            Case(
                "an endpoint of a suspect node is used like the others",
                mapOf("z1" to 0, "r1" to 9),
                suspect = setOf("z1"),
                shares = mapOf("r1" to ALL),
            ),
            Case("a service without endpoints hangs", emptyMap(), shares = emptyMap()),
        )
    }
}

/** Each case guards against the failure that it names. */
class UnreachableEndpointTest {
    internal class Case(val failure: String, val health: EndpointHealth, val expected: EndpointHealth) {
        override fun toString() = failure
    }

    @ParameterizedTest
    @MethodSource("cases")
    internal fun `a node that is not reached is left out for a time`(case: Case) {
        assertEquals(case.expected, afterUnreachable(case.health, 1_000, Incarnation(7)))
    }

    private companion object {
        fun health(ejections: Int, untilMillis: Long, incarnation: Long) =
            EndpointHealth(0, ejections, untilMillis, Incarnation(incarnation))

        @JvmStatic
        fun cases(): List<Case> = listOf(
            Case("a node that restarts is left out for long", EndpointHealth(), health(1, 1_500, 7)),
            Case("a dead node is tried as often as a living one", health(2, 900, 7), health(3, 3_000, 7)),
            Case("each of many calls lengthens the time", health(1, 1_200, 7), health(1, 1_200, 7)),
            Case("a new process inherits the time of the old one", health(3, 2_500, 6), health(1, 1_500, 7)),
        )
    }
}

/** Each case guards against the failure that it names. */
class OutlierEjectionTest {
    internal class Case(
        val failure: String,
        val health: EndpointHealth,
        val ejected: Int,
        val total: Int,
        val expected: EndpointHealth,
    ) {
        override fun toString() = failure
    }

    @ParameterizedTest
    @MethodSource("cases")
    internal fun `a failure changes the health`(case: Case) {
        assertEquals(case.expected, afterFailure(case.health, OutlierConfig(), 1_000, case.ejected, case.total))
    }

    private companion object {
        @JvmStatic
        fun cases(): List<Case> = listOf(
            Case("one failure ejects", EndpointHealth(), 0, 4, EndpointHealth(1)),
            Case("a failing endpoint stays in", EndpointHealth(4), 0, 4, EndpointHealth(0, 1, 6_000)),
            Case("a flapping endpoint returns as soon", EndpointHealth(4, 2), 0, 4, EndpointHealth(0, 3, 21_000)),
            Case("the ejection time overflows", EndpointHealth(4, 90), 0, 4, EndpointHealth(0, 91, 161_000)),
            Case("more than the share is ejected", EndpointHealth(4), 2, 4, EndpointHealth(5)),
            Case("the last endpoint is ejected", EndpointHealth(4), 0, 1, EndpointHealth(5)),
        )
    }
}
