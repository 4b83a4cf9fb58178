package boragelever.bench.calls

import boragelever.core.config.CrossRegion
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory

private const val WARM_UP_MILLIS = 200L
private const val DURATION_MILLIS = 1_500L

private class Case(
    val name: String,
    val fault: CallFault,
    val loadPercent: Int,
    val isExpected: (CallModelResult) -> Boolean,
)

/** Guards against simulated faults without an effect, and against call reducers that violate their invariants. */
class CallModelTest {
    private val cases = listOf(
        Case("all calls succeed without a fault", CallFault.None, 40) { it.succeeded == it.calls },
        Case("few attempts leave their region in a zone failure", CallFault.ZoneDown, 40) { it.crossRegionPercent < 5 },
        Case("few calls fail while an upstream hangs", CallFault.Hung, 40) { it.successPercent in 97.0..99.999 },
        Case("few calls fail while an upstream flaps", CallFault.Flapping(200), 40) {
            it.successPercent in 97.0..99.999
        },
        Case("excess calls are shed under overload", CallFault.None, 150) { it.successPercent in 50.0..75.0 },
    )

    @TestFactory
    fun table(): List<DynamicTest> =
        cases.map { case ->
            DynamicTest.dynamicTest(case.name) {
                val scenario = CallScenario(
                    CallPolicy.Mesh(CrossRegion.SPILL),
                    case.fault,
                    case.loadPercent,
                    DURATION_MILLIS,
                    WARM_UP_MILLIS,
                )
                val result = CallModel(scenario).run()
                assertEquals(0, result.falseNotRunReports, "number of calls reported as not run although they ran")
                assertEquals(0, result.duplicateRuns, "number of non-idempotent calls that ran more than once")
                assertEquals(result.calls, result.latencies.totalCount, "number of calls with an outcome")
                assertTrue(
                    case.isExpected(result),
                    "unexpected success ${result.successPercent}% or cross-region ${result.crossRegionPercent}%",
                )
                val repeated = CallModel(scenario).run()
                assertEquals(result.succeeded, repeated.succeeded, "successful calls of a run with the same seed")
            }
        }
}
