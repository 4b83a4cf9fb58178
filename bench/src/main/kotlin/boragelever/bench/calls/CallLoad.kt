package boragelever.bench.calls

import org.HdrHistogram.Histogram
import java.io.IOException
import java.util.concurrent.Callable
import java.util.concurrent.Executors
import java.util.concurrent.locks.LockSupport

private const val NANOS_PER_SECOND = 1_000_000_000L
private const val HIGHEST_NANOS = 60 * NANOS_PER_SECOND
private const val DIGITS = 3
private const val HTTP_OK = 200

/** Latencies in nanoseconds and the number of calls without a 200. */
internal class CallResult(val latencies: Histogram = newHistogram(), var failures: Long = 0) {
    fun add(other: CallResult) {
        latencies.add(other.latencies)
        failures += other.failures
    }

    fun micros(percentile: Double): Double = latencies.getValueAtPercentile(percentile) / 1_000.0
}

private fun newHistogram() = Histogram(HIGHEST_NANOS, DIGITS)

/** Load threads with their open connections to one target. */
internal class CallLoad(target: CallTarget, private val threads: Int, connections: Int) : AutoCloseable {
    private val clients = List(threads) { List(maxOf(1, connections / threads)) { CallClient(target) } }
    private val pool = Executors.newFixedThreadPool(threads) { Thread(it, "load").apply { isDaemon = true } }

    /**
     * Sends [perSecond] calls each second for [millis] on a fixed schedule.
     *
     * A call that its thread could not send on time, because the answer before it was late, counts from its planned
     * time; this corrects for coordinated omission. A late wake-up of an idle thread does not count, since it is the
     * generator's own and the same for each target.
     */
    fun openLoop(perSecond: Int, millis: Long): CallResult {
        val intervalNanos = NANOS_PER_SECOND / perSecond
        val calls = perSecond * millis / 1_000
        val startNanos = System.nanoTime() + intervalNanos
        return onEachThread { thread, own, result ->
            for (number in thread until calls step threads.toLong()) {
                val plannedNanos = startNanos + number * intervalNanos
                val busy = System.nanoTime() > plannedNanos
                sleepUntil(plannedNanos)
                val fromNanos = if (busy) plannedNanos else System.nanoTime()
                result.record(own[(number / threads % own.size).toInt()], fromNanos)
            }
        }
    }

    /** Sends call after call on each thread for [millis]. */
    fun closedLoop(millis: Long): CallResult {
        val endNanos = System.nanoTime() + millis * 1_000_000
        return onEachThread { _, own, result ->
            var number = 0
            while (System.nanoTime() < endNanos) result.record(own[number++ % own.size], System.nanoTime())
        }
    }

    override fun close() {
        pool.shutdownNow()
        clients.flatten().forEach { it.close() }
    }

    private fun onEachThread(run: (Long, List<CallClient>, CallResult) -> Unit): CallResult {
        val tasks = clients.mapIndexed { thread, own ->
            Callable { CallResult().also { run(thread.toLong(), own, it) } }
        }
        return CallResult().also { sum -> pool.invokeAll(tasks).forEach { sum.add(it.get()) } }
    }
}

private fun CallResult.record(client: CallClient, fromNanos: Long) {
    val status = try {
        client.call()
    } catch (failure: IOException) {
        0
    }
    latencies.recordValue(minOf(System.nanoTime() - fromNanos, HIGHEST_NANOS))
    if (status != HTTP_OK) failures += 1
}

private fun sleepUntil(nanos: Long) {
    while (true) {
        val left = nanos - System.nanoTime()
        if (left <= 0) return
        LockSupport.parkNanos(left)
    }
}
