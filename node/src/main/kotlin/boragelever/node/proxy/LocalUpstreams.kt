package boragelever.node.proxy

import boragelever.core.Fingerprint
import boragelever.core.InstanceId
import boragelever.core.control.InterruptedRequest
import boragelever.core.control.UpstreamRecord
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** Shortest interval between two crash reports without running calls, since each refused connection causes one. */
private const val MIN_EMPTY_REPORT_INTERVAL_MILLIS = 1_000L

/** Time after a crash within which a call on a connection that the crash closed reports the same crash once more. */
private const val SAME_CRASH_MILLIS = 1_000L

/** Slots and running calls of the upstreams on this host. */
internal class LocalUpstreams(private val clock: TrafficClock, private val observer: ProxyObserver) {
    private class RunningCall(val fingerprint: Fingerprint, val isTrial: Boolean)

    private class Entry(slots: Int) {
        val limiter = SlotLimiter(slots)
        val running = ConcurrentHashMap<Long, RunningCall>()
        var lastEmptyReportMillis = Long.MIN_VALUE / 2

        @Volatile
        var lastCrashMillis = Long.MIN_VALUE / 2

        /** Requests of the last crash report. */
        var lastReported = emptySet<Fingerprint>()
    }

    private val entries = ConcurrentHashMap<InstanceId, Entry>()
    private val lastCallNumber = AtomicLong()

    /** Requests that the upstreams have completed. */
    val completedRequests = CompletedRequests(clock) { instance, fingerprint ->
        observer.onObservation(ProxyObservation.RequestCompleted(instance, fingerprint))
    }

    /** Trials of quarantined requests. */
    val trials = QuarantineTrials(clock)

    /** Returns the slot limiter of [upstream], resized to its registered number of slots. */
    fun limiterFor(upstream: UpstreamRecord): SlotLimiter {
        val limiter = entries.computeIfAbsent(upstream.instance) { Entry(upstream.slots) }.limiter
        limiter.resize(upstream.slots)
        return limiter
    }

    /** Returns the load of an instance, or `null` if it has received no call. */
    fun load(instance: InstanceId): ReportedLoad? = entries[instance]?.limiter?.let { ReportedLoad(it.load, it.slots) }

    /** Lists a call as running in an upstream until the returned handle is closed. */
    fun callStarted(instance: InstanceId, fingerprint: Fingerprint, isTrial: Boolean = false): AutoCloseable {
        val running = entries[instance]?.running ?: return AutoCloseable { }
        val number = lastCallNumber.incrementAndGet()
        running[number] = RunningCall(fingerprint, isTrial)
        return AutoCloseable { running.remove(number) }
    }

    /** Returns whether an upstream has crashed since [sinceMillis]. */
    fun hasCrashedSince(instance: InstanceId, sinceMillis: Long): Boolean =
        entries[instance]?.let { it.lastCrashMillis >= sinceMillis } ?: false

    /**
     * Reports the crash of an upstream with the calls that were running in it.
     *
     * All of them fail at about the same time. Each request is listed in one report, so that one crash counts once.
     */
    fun reportCrash(instance: InstanceId) {
        val entry = entries[instance] ?: return
        val crash = synchronized(entry) { takeCrash(instance, entry) } ?: return
        observer.onObservation(crash)
    }

    private fun takeCrash(instance: InstanceId, entry: Entry): ProxyObservation.UpstreamCrashed? {
        val nowMillis = clock.nowMillis()
        val calls = entry.running.keys.toList().mapNotNull { entry.running.remove(it) }
        val isSameCrash = nowMillis - entry.lastCrashMillis < SAME_CRASH_MILLIS
        val reported = if (isSameCrash) entry.lastReported else emptySet()
        val interrupted = calls.groupBy { it.fingerprint }.filterKeys { it !in reported }
            .map { (fingerprint, same) ->
                InterruptedRequest(fingerprint, fingerprint in completedRequests, same.any { it.isTrial })
            }
        if (interrupted.isEmpty()) {
            if (nowMillis - entry.lastEmptyReportMillis < MIN_EMPTY_REPORT_INTERVAL_MILLIS) return null
            entry.lastEmptyReportMillis = nowMillis
        } else {
            entry.lastReported = reported + interrupted.map { it.fingerprint }
            entry.lastCrashMillis = nowMillis
        }
        return ProxyObservation.UpstreamCrashed(instance, interrupted)
    }
}
