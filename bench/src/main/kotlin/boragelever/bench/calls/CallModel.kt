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
private const val BOOKING_SHARE = 0.2
private const val KEYED_SHARE = 0.5
private const val DRAIN_MILLIS = 5_000L
private const val HISTOGRAM_MICROS = 60_000_000L

/** What became of the calls of one run. */
internal class CallModelResult {
    val latencies: Histogram = Histogram(HISTOGRAM_MICROS, 3)
    var calls: Long = 0
    var succeeded: Long = 0

    /** Attempts that were sent to a host of another region, and all attempts. */
    var crossRegion: Long = 0
    var attempts: Long = 0

    /** Calls that were reported as not run although an upstream ran them. */
    var falseNotRun: Int = 0

    /** Non-idempotent calls that ran more than once. */
    var doubleRuns: Int = 0

    val successPercent: Double get() = succeeded * 100.0 / maxOf(1, calls)
    val crossRegionPercent: Double get() = crossRegion * 100.0 / maxOf(1, attempts)

    fun millis(percentile: Double): Double = latencies.getValueAtPercentile(percentile) / MICROS_PER_MILLI.toDouble()
}

/**
 * Calls of 18 instances in virtual time.
 *
 * The decisions are those of the product: the reducers of both hops, the slot queue, the choice of the endpoint, the
 * ejection of outliers and the retry budget. The model adds only time: latencies, service times and faults.
 */
internal class CallModel(val scenario: CallScenario) {
    private class Timed(val atMicros: Long, val number: Long, val run: () -> Unit)

    private val queue = PriorityQueue<Timed>(compareBy({ it.atMicros }, { it.number }))
    private var scheduled = 0L
    private val random = Random(scenario.seed)
    private val calls = mutableListOf<ModelCall>()
    private val hosts = modelHosts()
    private val views = hosts.associateWith { ModelView(it, scenario.policy) }
    val result = CallModelResult()

    var nowMicros: Long = 0
        private set

    val context: EventContext get() = EventContext(nowMicros / MICROS_PER_MILLI, random.nextLong())

    /** Runs the scenario to its end and returns what was counted. */
    fun run(): CallModelResult {
        val up = hosts.filter { !isDown(it) }
        views.values.forEach { view -> view.compile(up.filter { !startsLate(it) }.associateWith { LONG_AGO }) }
        (scenario.fault as? CallFault.ColdStart)?.let { fault ->
            after(fault.atMillis * MICROS_PER_MILLI) {
                val all = up.associateWith { if (startsLate(it)) fault.atMillis else LONG_AGO }
                views.values.forEach { it.compile(all) }
            }
        }
        scheduleArrival(up)
        val endMicros = (scenario.durationMillis + DRAIN_MILLIS) * MICROS_PER_MILLI
        while (true) {
            val next = queue.poll()?.takeIf { it.atMicros <= endMicros } ?: break
            nowMicros = next.atMicros
            next.run()
        }
        calls.forEach { it.audit(result) }
        return result
    }

    fun after(micros: Long, run: () -> Unit) {
        queue += Timed(nowMicros + micros, scheduled++, run)
    }

    fun view(host: ModelHost): ModelView = views.getValue(host)

    fun host(address: String): ModelHost = hosts[address.substringAfterLast(':').toInt() - 1]

    /** What the upstream of [host] does with a request that arrives now. */
    fun behaviour(host: ModelHost): ModelBehaviour {
        val normal = exponential(SERVICE_MICROS.toDouble())
        val affected = host.index == 0
        val fault = scenario.fault
        val nowMillis = nowMicros / MICROS_PER_MILLI
        return when {
            fault is CallFault.Hung && affected -> ModelBehaviour.Hang
            fault is CallFault.Flapping && affected && nowMillis / fault.periodMillis % 2 == 1L -> ModelBehaviour.Break
            fault is CallFault.Slow && affected -> ModelBehaviour.Serve(normal * fault.factor)
            fault is CallFault.ColdStart && startsLate(host) ->
                ModelBehaviour.Serve((normal * fault.slowness(nowMillis)).toLong())
            else -> ModelBehaviour.Serve(normal)
        }
    }

    /** Load that the last hop of [host] reports. */
    fun reportedLoad(host: ModelHost): Int {
        val lies = (scenario.fault as? CallFault.Slow)?.lies == true && host.index == 0
        return if (lies) 0 else host.inUse
    }

    private fun scheduleArrival(up: List<ModelHost>) {
        val slots = up.size * SLOTS
        val perMicro = slots * scenario.loadPercent / 100.0 / SERVICE_MICROS
        after(exponential(1 / perMicro)) {
            if (nowMicros >= scenario.durationMillis * MICROS_PER_MILLI) return@after
            arrive(up)
            scheduleArrival(up)
        }
    }

    /** Callers are spread evenly over regions; those of a zone that is down use the other zone of their region. */
    private fun arrive(up: List<ModelHost>) {
        val region = random.nextInt(hosts.last().region + 1)
        val host = up.filter { it.region == region }.random(random)
        val booking = random.nextDouble() < BOOKING_SHARE
        val keyed = booking && random.nextDouble() < KEYED_SHARE
        val number = calls.size
        val request = CallRequest(
            method = if (booking) "POST" else "GET",
            target = "/scans/$number",
            key = if (keyed) IdempotencyKey("key-$number") else null,
        )
        val call = ModelCall(this, host, request, counted = nowMicros >= scenario.warmUpMillis * MICROS_PER_MILLI)
        calls += call
        call.on(CallEvent.Arrived(context, view(host).snapshot, callsInFlight = 1))
    }

    private fun isDown(host: ModelHost) = scenario.fault is CallFault.ZoneDown && host.zone == 0

    private fun startsLate(host: ModelHost) = scenario.fault is CallFault.ColdStart && host.index % 6 == 0

    private fun exponential(meanMicros: Double): Long = (-ln(1 - random.nextDouble()) * meanMicros).toLong()
}

/** What an upstream of the model does with one request. */
internal sealed interface ModelBehaviour {
    data class Serve(val micros: Long) : ModelBehaviour

    data object Hang : ModelBehaviour

    /** Breaks the connection without running the request. */
    data object Break : ModelBehaviour
}

private const val LONG_AGO = -1_000_000L

private fun CallFault.ColdStart.slowness(nowMillis: Long): Double {
    val warmth = ((nowMillis - atMillis).toDouble() / warmMillis).coerceIn(0.0, 1.0)
    return factor - (factor - 1) * warmth
}
