package boragelever.bench.calls

import boragelever.core.ServiceName
import boragelever.core.config.CrossRegion
import boragelever.core.config.LocalityConfig
import boragelever.core.config.OutlierConfig
import boragelever.core.config.QueueConfig
import boragelever.core.config.RetryConfig
import boragelever.core.config.RouteConfig
import boragelever.core.config.ServiceConfig

/** Endpoint selection policy of the simulated first hops. */
internal sealed interface CallPolicy {
    /** The policy of the production code. */
    data class Mesh(
        val crossRegion: CrossRegion = CrossRegion.LAST_RESORT,
        val hedgeAfterMillis: Long = 0,
    ) : CallPolicy

    /** Round robin over all instances regardless of locality, with a single attempt and without outlier ejection. */
    data object RoundRobin : CallPolicy
}

/** Fault that a run of the model simulates. */
internal sealed interface CallFault {
    data object None : CallFault

    /** All hosts of one zone are down, and all nodes know it. */
    data object ZoneDown : CallFault

    /** One upstream accepts requests and never responds. */
    data object Hung : CallFault

    /** One upstream alternates between serving and resetting connections, for [periodMillis] each. */
    data class Flapping(val periodMillis: Long = 1_000) : CallFault

    /** One upstream is slower by [factor]; if [reportsNoLoad] is set, its last hop reports a load of 0. */
    data class Slow(val factor: Int, val reportsNoLoad: Boolean) : CallFault

    /** One upstream per region starts at [atMillis], slower by [factor]; it reaches full speed after [rampUpMillis]. */
    data class ColdStart(val atMillis: Long, val factor: Int = 10, val rampUpMillis: Long = 5_000) : CallFault
}

/** One run of the model. */
internal data class CallScenario(
    val policy: CallPolicy,
    val fault: CallFault,
    /** Offered load in percent of the slots of all hosts that are up. */
    val loadPercent: Int,
    val durationMillis: Long,
    /** Calls that start before this time warm up the model and are not measured. */
    val warmUpMillis: Long = 0,
    val seed: Long = CALL_SEED,
)

/** Mean service time of a request in an upstream. */
internal const val MEAN_SERVICE_MICROS: Long = 20_000

internal const val SLOTS_PER_UPSTREAM: Int = 9
internal val SERVICE: ServiceName = ServiceName("scanhub")

/** Route configuration for the policy; the deadline is short, so that a call to a hung upstream ends within the run. */
internal fun CallPolicy.routeConfig(): RouteConfig {
    val retry = when (this) {
        is CallPolicy.Mesh -> RetryConfig(attemptTimeoutMillis = 500, hedgeAfterMillis = hedgeAfterMillis)
        is CallPolicy.RoundRobin -> RetryConfig(maxAttempts = 1, attemptTimeoutMillis = 2_000)
    }
    return RouteConfig(
        pathPrefix = "/",
        destinations = mapOf(SERVICE to 1),
        timeoutMillis = 2_000,
        retry = retry,
    )
}

internal fun CallPolicy.serviceConfig(): ServiceConfig {
    val crossRegion = (this as? CallPolicy.Mesh)?.crossRegion ?: CrossRegion.SPILL
    return ServiceConfig(
        queue = QueueConfig(maxWaiting = 9, maxWaitMillis = 200),
        outlier = OutlierConfig(),
        locality = LocalityConfig(crossRegion = crossRegion),
    )
}
