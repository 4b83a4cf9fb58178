package boragelever.bench

import boragelever.core.config.CrossRegion

/** A run of the model with the names of its rows and columns in the report. */
internal data class NamedScenario(val table: String, val name: String, val variant: String, val run: CallScenario)

/** What a run of the model came to. */
internal class ScenarioOutcome(val scenario: NamedScenario, val result: CallModelResult)

private const val HEDGE_MILLIS = 100L

/** All runs of the model, each of [durationMillis] of virtual time. */
internal fun callScenarios(durationMillis: Long): List<NamedScenario> =
    localityScenarios(durationMillis) + faultScenarios(durationMillis) + hedgeScenarios(durationMillis)

private fun localityScenarios(durationMillis: Long): List<NamedScenario> =
    listOf(50, 80, 100).flatMap { load ->
        listOf(
            "last resort" to CallPolicy.Mesh(),
            "spill" to CallPolicy.Mesh(CrossRegion.SPILL),
            "round robin" to CallPolicy.RoundRobin,
        ).map { (variant, policy) ->
            val run = CallScenario(policy, CallFault.ZoneDown, load, durationMillis)
            NamedScenario("one zone down", "$load% load", variant, run)
        }
    }

private fun faultScenarios(durationMillis: Long): List<NamedScenario> {
    val cases = listOf(
        Triple("no fault", CallFault.None, 50),
        Triple("hung", CallFault.Hung, 50),
        Triple("flapping", CallFault.Flapping(), 50),
        Triple("lying report", CallFault.Slow(factor = 5, lies = true), 50),
        Triple("cold start", CallFault.ColdStart(atMillis = WARM_UP_MILLIS), 50),
        Triple("overload", CallFault.None, 150),
    )
    val policies = listOf("mesh" to CallPolicy.Mesh(CrossRegion.SPILL), "round robin" to CallPolicy.RoundRobin)
    return cases.flatMap { (name, fault, load) ->
        policies.map { (variant, policy) ->
            NamedScenario("faults", name, variant, CallScenario(policy, fault, load, durationMillis))
        }
    }
}

private fun hedgeScenarios(durationMillis: Long): List<NamedScenario> =
    listOf(30, 60, 80).flatMap { load ->
        listOf("retries" to 0L, "hedged" to HEDGE_MILLIS).map { (variant, hedge) ->
            val policy = CallPolicy.Mesh(CrossRegion.SPILL, hedgeAfterMillis = hedge)
            val fault = CallFault.Slow(factor = 5, lies = false)
            NamedScenario(
                "one slow upstream",
                "$load% load",
                variant,
                CallScenario(policy, fault, load, durationMillis),
            )
        }
    }

/** Runs the scenarios one after the other; each is deterministic. */
internal fun runScenarios(durationMillis: Long): List<ScenarioOutcome> =
    callScenarios(durationMillis).map { ScenarioOutcome(it, CallModel(it.run).run()) }
