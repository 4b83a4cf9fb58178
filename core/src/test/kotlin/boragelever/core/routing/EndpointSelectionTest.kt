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

/** Guards against calls that go to the wrong tier or endpoint. Shares are counted over a fixed sequence of seeds. */
class EndpointSelectionTest {
    internal class Case(
        val name: String,
        /** Load by endpoint name; the first letter of a name is its tier: `z`one, `r`egion or `o`ther region. */
        val load: Map<String, Int>,
        val config: ServiceConfig = ServiceConfig(slowStartMillis = 0),
        val ejected: Set<String> = emptySet(),
        /** Endpoints whose nodes are ejected as unreachable. */
        val unreachable: Set<String> = emptySet(),
        /** Endpoints whose nodes have restarted since then. */
        val restarted: Set<String> = emptySet(),
        val excluded: Set<String> = emptySet(),
        val newlyServing: Set<String> = emptySet(),
        val suspect: Set<String> = emptySet(),
        /** Percentage of calls that each endpoint must get; all others must get none. */
        val shares: Map<String, IntRange>,
    ) {
        override fun toString() = name
    }

    @ParameterizedTest
    @MethodSource("cases")
    internal fun `calls are distributed by tier, health and load`(case: Case) {
        val endpoints = case.load.keys.map { name ->
            endpoint(name, name in case.newlyServing, name !in case.suspect)
                .copy(incarnation = Incarnation(if (name in case.restarted) 2 else 1))
        }
        val service = CompiledService(ServiceName("s"), case.config, endpoints)
        val source = EndpointStatsSource { instance ->
            val isUnreachable = instance.value in case.unreachable
            val untilMillis = if (instance.value in case.ejected || isUnreachable) NOW + 1 else 0
            EndpointStats(case.load.getValue(instance.value), 0, untilMillis, Incarnation(1).takeIf { isUnreachable })
        }
        val excluded = case.excluded.map { InstanceId(it) }.toSet()
        val chosen = (1..CALLS).mapNotNull { selectEndpoint(service, source, EventContext(NOW, it.toLong()), excluded) }
            .groupingBy { it.instance.value }.eachCount()
        assertEquals(case.shares.keys, chosen.keys)
        chosen.forEach { (name, count) -> assertTrue(count * 100 / CALLS in case.shares.getValue(name), "$chosen") }
    }

    private companion object {
        const val CALLS = 1_000
        const val NOW = 10_000L
        const val SLOTS = 10
        val ALL = 100..100

        fun endpoint(name: String, isNew: Boolean, trusted: Boolean) =
            Endpoint(
                instance = InstanceId(name),
                service = ServiceName("s"),
                node = NodeId(name),
                callAddress = NetworkAddress("127.0.0.1:1"),
                region = RegionName("r"),
                zone = ZoneName("z"),
                tier = LocalityTier.entries["zro".indexOf(name.first())],
                slots = SLOTS,
                servingSinceMillis = if (isNew) NOW else 0,
                trusted = trusted,
            )

        fun across(crossRegion: CrossRegion) =
            ServiceConfig(slowStartMillis = 0, locality = LocalityConfig(crossRegion = crossRegion))

        @JvmStatic
        fun cases(): List<Case> = CASES

        val CASES = listOf(
            Case(
                "calls stay in the zone while it has free slots",
                mapOf("z1" to 5, "r1" to 0),
                shares = mapOf("z1" to ALL),
            ),
            Case(
                "a busy zone overflows gradually",
                mapOf("z1" to 9, "r1" to 0),
                shares = mapOf("z1" to 10..30, "r1" to 70..90),
            ),
            Case("a full zone overflows completely", mapOf("z1" to 10, "r1" to 0), shares = mapOf("r1" to ALL)),
            Case(
                "a busy zone does not overflow to a full tier",
                mapOf("z1" to 9, "r1" to 10),
                shares = mapOf("z1" to ALL),
            ),
            Case(
                "with last_resort, a full zone does not overflow to another region",
                mapOf("z1" to 10, "o1" to 0),
                across(CrossRegion.LAST_RESORT),
                shares = mapOf("z1" to ALL),
            ),
            Case(
                "calls go to another region if the local one has no endpoint",
                mapOf("o1" to 0),
                shares = mapOf("o1" to ALL),
            ),
            Case(
                "with never, calls do not leave the region",
                mapOf("o1" to 0),
                across(CrossRegion.NEVER),
                shares = emptyMap(),
            ),
            Case(
                "with spill, a full region overflows to another one",
                mapOf("z1" to 10, "o1" to 0),
                across(CrossRegion.SPILL),
                shares = mapOf("o1" to ALL),
            ),
            Case(
                "the less loaded endpoint of a tier is chosen",
                mapOf("z1" to 4, "z2" to 0),
                shares = mapOf("z2" to ALL),
            ),
            Case(
                "a new endpoint does not get its full share immediately",
                mapOf("z1" to 0, "z2" to 0),
                ServiceConfig(slowStartMillis = 10_000),
                newlyServing = setOf("z2"),
                shares = mapOf("z1" to ALL),
            ),
            Case(
                "an ejected endpoint gets no calls",
                mapOf("z1" to 0, "z2" to 0, "z3" to 0),
                ejected = setOf("z1"),
                shares = mapOf("z2" to 40..60, "z3" to 40..60),
            ),
            Case(
                "an endpoint whose node is unreachable gets no calls",
                mapOf("z1" to 0, "z2" to 0),
                unreachable = setOf("z1"),
                shares = mapOf("z2" to ALL),
            ),
            Case(
                "an unreachable endpoint gets calls again after its node restarts",
                mapOf("z1" to 0, "z2" to 0),
                unreachable = setOf("z1"),
                restarted = setOf("z1"),
                shares = mapOf("z1" to 40..60, "z2" to 40..60),
            ),
            Case(
                "an endpoint ejected for failures stays ejected after its node restarts",
                mapOf("z1" to 0, "z2" to 0),
                ejected = setOf("z1"),
                restarted = setOf("z1"),
                shares = mapOf("z2" to ALL),
            ),
            Case(
                "ejection is ignored below the panic threshold",
                mapOf("z1" to 0, "z2" to 0, "z3" to 0, "z4" to 0),
                ejected = setOf("z1", "z2", "z3"),
                shares = mapOf("z1" to 15..35, "z2" to 15..35, "z3" to 15..35, "z4" to 15..35),
            ),
            Case(
                "a retry goes to an endpoint that has not been tried",
                mapOf("z1" to 0, "r1" to 0),
                excluded = setOf("z1"),
                shares = mapOf("r1" to ALL),
            ),
            Case(
                "an endpoint of a suspect node is used only as a last resort",
                mapOf("z1" to 0, "r1" to 9),
                suspect = setOf("z1"),
                shares = mapOf("r1" to ALL),
            ),
            Case("a service without endpoints yields no endpoint", emptyMap(), shares = emptyMap()),
        )
    }
}

/** Guards against ejections of unreachable endpoints that are too long, too short or prolonged by parallel calls. */
class UnreachableEndpointTest {
    internal class Case(val name: String, val health: EndpointHealth, val expected: EndpointHealth) {
        override fun toString() = name
    }

    @ParameterizedTest
    @MethodSource("cases")
    internal fun `an unreachable endpoint is ejected for a limited time`(case: Case) {
        assertEquals(case.expected, afterUnreachable(case.health, 1_000, Incarnation(7)))
    }

    private companion object {
        fun health(ejections: Int, untilMillis: Long, incarnation: Long) =
            EndpointHealth(0, ejections, untilMillis, Incarnation(incarnation))

        @JvmStatic
        fun cases(): List<Case> = listOf(
            Case("the first ejection is short enough for a restart", EndpointHealth(), health(1, 1_500, 7)),
            Case("the ejection time grows while the node stays unreachable", health(2, 900, 7), health(3, 3_000, 7)),
            Case("further calls during an ejection do not prolong it", health(1, 1_200, 7), health(1, 1_200, 7)),
            Case("a restarted node starts with the first ejection time", health(3, 2_500, 6), health(1, 1_500, 7)),
        )
    }
}

/** Guards against failing endpoints that stay in use and against the ejection of too many endpoints. */
class OutlierEjectionTest {
    internal class Case(
        val name: String,
        val health: EndpointHealth,
        val ejected: Int,
        val total: Int,
        val expected: EndpointHealth,
    ) {
        override fun toString() = name
    }

    @ParameterizedTest
    @MethodSource("cases")
    internal fun `a failure updates the health`(case: Case) {
        assertEquals(case.expected, afterFailure(case.health, OutlierConfig(), 1_000, case.ejected, case.total))
    }

    private companion object {
        @JvmStatic
        fun cases(): List<Case> = listOf(
            Case("one failure does not eject", EndpointHealth(), 0, 4, EndpointHealth(1)),
            Case("consecutive failures eject an endpoint", EndpointHealth(4), 0, 4, EndpointHealth(0, 1, 6_000)),
            Case(
                "the ejection time doubles with each ejection",
                EndpointHealth(4, 2),
                0,
                4,
                EndpointHealth(0, 3, 21_000),
            ),
            Case("the ejection time is limited", EndpointHealth(4, 90), 0, 4, EndpointHealth(0, 91, 161_000)),
            Case("no more than the maximum percentage is ejected", EndpointHealth(4), 2, 4, EndpointHealth(5)),
            Case("the last endpoint is not ejected", EndpointHealth(4), 0, 1, EndpointHealth(5)),
        )
    }
}
