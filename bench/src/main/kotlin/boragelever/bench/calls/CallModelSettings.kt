package boragelever.bench.calls

import boragelever.core.ServiceName
import boragelever.core.config.CrossRegion
import boragelever.core.config.LocalityConfig
import boragelever.core.config.OutlierConfig
import boragelever.core.config.QueueConfig
import boragelever.core.config.RetryConfig
import boragelever.core.config.RouteConfig
import boragelever.core.config.ServiceConfig

/** How a calling node of the model chooses endpoints. */
internal sealed interface CallPolicy {
    /** The decisions of the product. */
    data class Mesh(
        val crossRegion: CrossRegion = CrossRegion.LAST_RESORT,
        val hedgeAfterMillis: Long = 0,
    ) : CallPolicy

    /** Each instance in turn wherever it is, one attempt, no ejection. */
    data object RoundRobin : CallPolicy
}

/** What is wrong in a run of the model. */
internal sealed interface CallFault {
    data object None : CallFault

    /** All hosts of one zone are gone and known to be gone. */
    data object ZoneDown : CallFault

    /** One upstream accepts calls and never answers. */
    data object Hung : CallFault

    /** One upstream serves for [periodMillis], then breaks connections for as long. */
    data class Flapping(val periodMillis: Long = 1_000) : CallFault

    /** One upstream is slower by [factor] and, if [lies], reports no load. */
    data class Slow(val factor: Int, val lies: Boolean) : CallFault

    /** One upstream of each region appears at [atMillis] and is slower at first. */
    data class ColdStart(val atMillis: Long, val factor: Int = 10, val warmMillis: Long = 5_000) : CallFault
}

/** One run of the model. */
internal data class CallScenario(
    val policy: CallPolicy,
    val fault: CallFault,
    /** Offered load in percent of the slots that are up. */
    val loadPercent: Int,
    val durationMillis: Long,
    /** Calls that begin before this time only bring the model into its usual state. */
    val warmUpMillis: Long = 0,
    val seed: Long = CALL_SEED,
)

/** Mean time that a call runs in an upstream. */
internal const val SERVICE_MICROS: Long = 20_000

internal const val SLOTS: Int = 9
internal val SERVICE: ServiceName = ServiceName("scanhub")

/** Settings of the route: a short deadline, so that a hung call ends within the run. */
internal fun CallPolicy.route(): RouteConfig {
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

internal fun CallPolicy.service(): ServiceConfig {
    val crossRegion = (this as? CallPolicy.Mesh)?.crossRegion ?: CrossRegion.SPILL
    return ServiceConfig(
        queue = QueueConfig(maxWaiting = 9, maxWaitMillis = 200),
        outlier = OutlierConfig(),
        locality = LocalityConfig(crossRegion = crossRegion),
    )
}
