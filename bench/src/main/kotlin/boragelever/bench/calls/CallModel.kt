package boragelever.bench.calls

import boragelever.core.EventContext
import boragelever.core.IdempotencyKey
import boragelever.core.call.CallEvent
import boragelever.core.call.CallRequest
import org.HdrHistogram.Histogram
import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.random.Random

private const val MICROS_PER_MILLI = 1_000L
private const val NON_IDEMPOTENT_SHARE = 0.2
private const val KEYED_SHARE = 0.5
private const val DRAIN_MILLIS = 5_000L
private const val HISTOGRAM_MICROS = 60_000_000L

/** Latencies, outcomes and invariant violations of the calls of one run. */
internal class CallModelResult {
    val latencies: Histogram = Histogram(HISTOGRAM_MICROS, 3)
    var calls: Long = 0
    var succeeded: Long = 0

    /** Attempts that were sent to a host of another region; part of [attempts]. */
    var crossRegion: Long = 0
    var attempts: Long = 0

    /** Number of calls that were reported as not run although an upstream ran them. */
    var falseNotRunReports: Int = 0

    /** Number of non-idempotent calls that ran more than once. */
    var duplicateRuns: Int = 0

    val successPercent: Double get() = succeeded * 100.0 / maxOf(1, calls)
    val crossRegionPercent: Double get() = crossRegion * 100.0 / maxOf(1, attempts)

    fun millis(percentile: Double): Double = latencies.getValueAtPercentile(percentile) / MICROS_PER_MILLI.toDouble()
}

/**
 * Simulates calls to 18 upstream instances in virtual time.
 *
 * All decisions are made by production code: the reducers of both hops, the slot queue, endpoint selection, outlier
 * ejection and the retry budget. The model only adds network latencies, service times and faults.
 */
internal class CallModel(val scenario: CallScenario) {
    private class ScheduledAction(val atMicros: Long, val sequence: Long, val run: () -> Unit)

    private val queue = PriorityQueue<ScheduledAction>(compareBy({ it.atMicros }, { it.sequence }))
    private var nextSequence = 0L
    private val random = Random(scenario.seed)
    private val calls = mutableListOf<ModelCall>()
    private val hosts = createModelHosts()
    private val routers = hosts.associateWith { ModelRouter(it, scenario.policy) }
    val result = CallModelResult()

    var nowMicros: Long = 0
        private set

    val context: EventContext get() = EventContext(nowMicros / MICROS_PER_MILLI, random.nextLong())

    /** Runs the scenario to its end and returns the result. */
    fun run(): CallModelResult {
        val activeHosts = hosts.filter { !isDown(it) }
        routers.values.forEach { router ->
            router.compileSnapshot(activeHosts.filter { !startsLate(it) }.associateWith { WARMED_UP_SINCE_MILLIS })
        }
        (scenario.fault as? CallFault.ColdStart)?.let { fault ->
            after(fault.atMillis * MICROS_PER_MILLI) {
                val since = activeHosts.associateWith { if (startsLate(it)) fault.atMillis else WARMED_UP_SINCE_MILLIS }
                routers.values.forEach { it.compileSnapshot(since) }
            }
        }
        scheduleArrival(activeHosts)
        val endMicros = (scenario.durationMillis + DRAIN_MILLIS) * MICROS_PER_MILLI
        while (true) {
            val next = queue.poll()?.takeIf { it.atMicros <= endMicros } ?: break
            nowMicros = next.atMicros
            next.run()
        }
        calls.forEach { it.recordResult(result) }
        return result
    }

    fun after(micros: Long, run: () -> Unit) {
        queue += ScheduledAction(nowMicros + micros, nextSequence++, run)
    }

    fun router(host: ModelHost): ModelRouter = routers.getValue(host)

    fun host(address: String): ModelHost = hosts[address.substringAfterLast(':').toInt() - 1]

    /** Behaviour of the upstream of [host] for a request that arrives now. */
    fun behaviour(host: ModelHost): ModelBehaviour {
        val normal = exponential(MEAN_SERVICE_MICROS.toDouble())
        val isAffected = host.index == 0
        val fault = scenario.fault
        val nowMillis = nowMicros / MICROS_PER_MILLI
        return when {
            fault is CallFault.Hung && isAffected -> ModelBehaviour.Hang
            fault is CallFault.Flapping && isAffected && nowMillis / fault.periodMillis % 2 == 1L ->
                ModelBehaviour.ResetConnection
            fault is CallFault.Slow && isAffected -> ModelBehaviour.Serve(normal * fault.factor)
            fault is CallFault.ColdStart && startsLate(host) ->
                ModelBehaviour.Serve((normal * fault.slowdown(nowMillis)).toLong())
            else -> ModelBehaviour.Serve(normal)
        }
    }

    /** Load that the node of [host] reports as a last hop: the number of slots in use, or 0 if the fault hides it. */
    fun reportedLoad(host: ModelHost): Int {
        val reportsNoLoad = (scenario.fault as? CallFault.Slow)?.reportsNoLoad == true && host.index == 0
        return if (reportsNoLoad) 0 else host.slotsInUse
    }

    private fun scheduleArrival(activeHosts: List<ModelHost>) {
        val slots = activeHosts.size * SLOTS_PER_UPSTREAM
        val callsPerMicro = slots * scenario.loadPercent / 100.0 / MEAN_SERVICE_MICROS
        after(exponential(1 / callsPerMicro)) {
            if (nowMicros >= scenario.durationMillis * MICROS_PER_MILLI) return@after
            startCall(activeHosts)
            scheduleArrival(activeHosts)
        }
    }

    /**
     * Starts a call at a random node.
     *
     * Callers are distributed evenly over the regions; those of a zone that is down use the other zone of their region.
     */
    private fun startCall(activeHosts: List<ModelHost>) {
        val region = random.nextInt(hosts.last().region + 1)
        val host = activeHosts.filter { it.region == region }.random(random)
        val nonIdempotent = random.nextDouble() < NON_IDEMPOTENT_SHARE
        val hasKey = nonIdempotent && random.nextDouble() < KEYED_SHARE
        val number = calls.size
        val request = CallRequest(
            method = if (nonIdempotent) "POST" else "GET",
            target = "/scans/$number",
            key = if (hasKey) IdempotencyKey("key-$number") else null,
        )
        val call = ModelCall(this, host, request, isMeasured = nowMicros >= scenario.warmUpMillis * MICROS_PER_MILLI)
        calls += call
        call.handle(CallEvent.Arrived(context, router(host).snapshot, callsInFlight = 1))
    }

    private fun isDown(host: ModelHost) = scenario.fault is CallFault.ZoneDown && host.zone == 0

    private fun startsLate(host: ModelHost) = scenario.fault is CallFault.ColdStart && host.index % 6 == 0

    private fun exponential(meanMicros: Double): Long = (-ln(1 - random.nextDouble()) * meanMicros).toLong()
}

/** Behaviour of a simulated upstream for one request. */
internal sealed interface ModelBehaviour {
    data class Serve(val serviceMicros: Long) : ModelBehaviour

    /** Runs the request and never responds. */
    data object Hang : ModelBehaviour

    /** Resets the connection without running the request. */
    data object ResetConnection : ModelBehaviour
}

/** Start time of endpoints that have finished their slow start before the run begins. */
private const val WARMED_UP_SINCE_MILLIS = -1_000_000L

private fun CallFault.ColdStart.slowdown(nowMillis: Long): Double {
    val progress = ((nowMillis - atMillis).toDouble() / rampUpMillis).coerceIn(0.0, 1.0)
    return factor - (factor - 1) * progress
}
