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
    val expect: (CallModelResult) -> Boolean,
)

/** Guards against a model whose faults have no effect, and against broken promises of the reducers it drives. */
class CallModelTest {
    private val cases = listOf(
        Case("all calls succeed without a fault", CallFault.None, 40) { it.succeeded == it.calls },
        Case("a call leaves its region only if it must", CallFault.ZoneDown, 40) { it.crossRegionPercent < 5 },
        Case("a hung upstream costs few calls", CallFault.Hung, 40) { it.successPercent in 97.0..99.999 },
        Case("an upstream that flaps costs few calls", CallFault.Flapping(200), 40) {
            it.successPercent in 97.0..99.999
        },
        Case("an overload is shed", CallFault.None, 150) { it.successPercent in 50.0..75.0 },
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
                assertEquals(0, result.falseNotRun, "calls reported as not run that ran")
                assertEquals(0, result.doubleRuns, "non-idempotent calls that ran twice")
                assertEquals(result.calls, result.latencies.totalCount, "calls without an outcome")
                assertTrue(
                    case.expect(result),
                    "success ${result.successPercent}%, cross ${result.crossRegionPercent}%",
                )
                val again = CallModel(scenario).run()
                assertEquals(result.succeeded, again.succeeded, "the same seed gives another result")
            }
        }
}
