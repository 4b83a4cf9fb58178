package boragelever.bench.calls

import org.HdrHistogram.Histogram
import java.io.IOException
import java.util.concurrent.Callable
import java.util.concurrent.Executors
import java.util.concurrent.locks.LockSupport

private const val NANOS_PER_SECOND = 1_000_000_000L
private const val MAX_LATENCY_NANOS = 60 * NANOS_PER_SECOND
private const val SIGNIFICANT_DIGITS = 3
private const val HTTP_OK = 200

/** Latencies in nanoseconds and the number of calls that did not return status 200. */
internal class CallResult(val latencies: Histogram = newLatencyHistogram(), var failures: Long = 0) {
    fun add(other: CallResult) {
        latencies.add(other.latencies)
        failures += other.failures
    }

    fun micros(percentile: Double): Double = latencies.getValueAtPercentile(percentile) / 1_000.0
}

private fun newLatencyHistogram() = Histogram(MAX_LATENCY_NANOS, SIGNIFICANT_DIGITS)

/** Load generator with [threads] threads that send calls to one target over persistent connections. */
internal class CallLoad(target: CallTarget, private val threads: Int, connections: Int) : AutoCloseable {
    private val clients = List(threads) { List(maxOf(1, connections / threads)) { CallClient(target) } }
    private val pool = Executors.newFixedThreadPool(threads) { Thread(it, "load").apply { isDaemon = true } }

    /**
     * Sends [perSecond] calls per second for [millis] on a fixed schedule.
     *
     * If the previous response was late, so that its thread could not send a call on time, the latency of the call is
     * measured from its scheduled time; this corrects for coordinated omission. A late wake-up of an idle thread is not
     * included, since it is a delay of the load generator that is the same for each target.
     */
    fun openLoop(perSecond: Int, millis: Long): CallResult {
        val intervalNanos = NANOS_PER_SECOND / perSecond
        val calls = perSecond * millis / 1_000
        val startNanos = System.nanoTime() + intervalNanos
        return onEachThread { thread, assigned, result ->
            for (number in thread until calls step threads.toLong()) {
                val plannedNanos = startNanos + number * intervalNanos
                val isLate = System.nanoTime() > plannedNanos
                sleepUntil(plannedNanos)
                val measuredFromNanos = if (isLate) plannedNanos else System.nanoTime()
                result.record(assigned[(number / threads % assigned.size).toInt()], measuredFromNanos)
            }
        }
    }

    /** Sends calls back to back on each thread for [millis]. */
    fun closedLoop(millis: Long): CallResult {
        val endNanos = System.nanoTime() + millis * 1_000_000
        return onEachThread { _, assigned, result ->
            var number = 0
            while (System.nanoTime() < endNanos) result.record(assigned[number++ % assigned.size], System.nanoTime())
        }
    }

    override fun close() {
        pool.shutdownNow()
        clients.flatten().forEach { it.close() }
    }

    private fun onEachThread(run: (Long, List<CallClient>, CallResult) -> Unit): CallResult {
        val tasks = clients.mapIndexed { thread, assigned ->
            Callable { CallResult().also { run(thread.toLong(), assigned, it) } }
        }
        return CallResult().also { total -> pool.invokeAll(tasks).forEach { total.add(it.get()) } }
    }
}

private fun CallResult.record(client: CallClient, measuredFromNanos: Long) {
    val status = try {
        client.call()
    } catch (failure: IOException) {
        0
    }
    latencies.recordValue(minOf(System.nanoTime() - measuredFromNanos, MAX_LATENCY_NANOS))
    if (status != HTTP_OK) failures += 1
}

private fun sleepUntil(nanos: Long) {
    while (true) {
        val remainingNanos = nanos - System.nanoTime()
        if (remainingNanos <= 0) return
        LockSupport.parkNanos(remainingNanos)
    }
}
