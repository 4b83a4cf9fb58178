package boragelever.core.call

import boragelever.core.config.ServiceConfig
import boragelever.core.routing.CompiledService
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource

/** Guards against more connections to an instance than its service allows. */
class HopSlotsTest {
    @ParameterizedTest
    @CsvSource("9, 130, 9", "9, 4, 4", "9, 9, 9")
    fun `the smaller of slots and connection limit limits the calls of an instance`(
        slots: Int,
        maxConnections: Int,
        expected: Int,
    ) {
        val service = CompiledService(CallScript.SERVICE, ServiceConfig(maxConnections = maxConnections), emptyList())
        val snapshot = CallScript.SNAPSHOT.copy(
            services = mapOf(service.name to service),
            localUpstreams = mapOf(CallScript.A.instance to CallScript.UPSTREAM.copy(slots = slots)),
        )
        val effects = reduceCall(CallScript.HOP, CallScript.arrived(snapshot)).effects
        assertEquals(expected, effects.filterIsInstance<CallEffect.AcquireSlot>().single().upstream.slots)
    }
}
