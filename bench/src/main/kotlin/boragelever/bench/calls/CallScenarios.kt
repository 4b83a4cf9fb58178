package boragelever.bench.calls

import boragelever.core.config.CrossRegion
import java.util.concurrent.Callable
import java.util.concurrent.Executors

/** A scenario with the table, row and variant under which the report shows it. */
internal data class NamedScenario(val table: String, val name: String, val variant: String, val run: CallScenario)

/** Result of one scenario. */
internal class ScenarioOutcome(val scenario: NamedScenario, val result: CallModelResult)

/** Duration of each run in virtual time. */
internal data class ModelPlan(val warmUpMillis: Long, val measuredMillis: Long) {
    fun scenario(policy: CallPolicy, fault: CallFault, loadPercent: Int): CallScenario =
        CallScenario(policy, fault, loadPercent, warmUpMillis + measuredMillis, warmUpMillis)
}

private const val HEDGE_DELAY_MILLIS = 100L
private const val MODEL_THREADS = 4

/** All scenarios of the call model. */
internal fun callScenarios(plan: ModelPlan): List<NamedScenario> =
    localityScenarios(plan) + faultScenarios(plan) + hedgeScenarios(plan)

private fun localityScenarios(plan: ModelPlan): List<NamedScenario> =
    listOf(50, 80, 100).flatMap { load ->
        listOf(
            "last resort" to CallPolicy.Mesh(),
            "spill" to CallPolicy.Mesh(CrossRegion.SPILL),
            "round robin" to CallPolicy.RoundRobin,
        ).map { (variant, policy) ->
            val run = plan.scenario(policy, CallFault.ZoneDown, load)
            NamedScenario("one zone down", "$load% load", variant, run)
        }
    }

private fun faultScenarios(plan: ModelPlan): List<NamedScenario> {
    val cases = listOf(
        Triple("no fault", CallFault.None, 50),
        Triple("hung", CallFault.Hung, 50),
        Triple("flapping", CallFault.Flapping(), 50),
        Triple("lying report", CallFault.Slow(factor = 5, reportsNoLoad = true), 50),
        Triple("cold start", CallFault.ColdStart(atMillis = plan.warmUpMillis), 50),
        Triple("overload", CallFault.None, 150),
    )
    val policies = listOf("mesh" to CallPolicy.Mesh(CrossRegion.SPILL), "round robin" to CallPolicy.RoundRobin)
    return cases.flatMap { (name, fault, load) ->
        policies.map { (variant, policy) ->
            NamedScenario("faults", name, variant, plan.scenario(policy, fault, load))
        }
    }
}

private fun hedgeScenarios(plan: ModelPlan): List<NamedScenario> =
    listOf(30, 60, 80).flatMap { load ->
        listOf("retries" to 0L, "hedged" to HEDGE_DELAY_MILLIS).map { (variant, hedgeMillis) ->
            val policy = CallPolicy.Mesh(CrossRegion.SPILL, hedgeAfterMillis = hedgeMillis)
            val fault = CallFault.Slow(factor = 5, reportsNoLoad = false)
            NamedScenario(
                "one slow upstream",
                "$load% load",
                variant,
                plan.scenario(policy, fault, load),
            )
        }
    }

/** Runs the scenarios concurrently; each run is deterministic. */
internal fun runScenarios(plan: ModelPlan): List<ScenarioOutcome> {
    val pool = Executors.newFixedThreadPool(MODEL_THREADS)
    try {
        val tasks = callScenarios(plan).map { Callable { ScenarioOutcome(it, CallModel(it.run).run()) } }
        return pool.invokeAll(tasks).map { it.get() }
    } finally {
        pool.shutdownNow()
    }
}
