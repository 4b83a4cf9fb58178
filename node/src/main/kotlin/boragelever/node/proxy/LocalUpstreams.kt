package boragelever.node.proxy

import boragelever.core.Fingerprint
import boragelever.core.InstanceId
import boragelever.core.control.UpstreamRecord
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** Shortest interval between two crash reports without running calls, since each refused connection causes one. */
private const val MIN_EMPTY_REPORT_INTERVAL_MILLIS = 1_000L

/** Slots and running calls of the upstreams on this host. */
internal class LocalUpstreams(private val clock: TrafficClock, private val observer: ProxyObserver) {
    private class Entry(slots: Int) {
        val limiter = SlotLimiter(slots)
        val running = ConcurrentHashMap<Long, Fingerprint>()
        val lastEmptyReportMillis = AtomicLong(Long.MIN_VALUE / 2)
    }

    private val entries = ConcurrentHashMap<InstanceId, Entry>()
    private val lastCallNumber = AtomicLong()

    /** Returns the slot limiter of [upstream], resized to its registered number of slots. */
    fun limiterFor(upstream: UpstreamRecord): SlotLimiter {
        val limiter = entries.computeIfAbsent(upstream.instance) { Entry(upstream.slots) }.limiter
        limiter.resize(upstream.slots)
        return limiter
    }

    /** Returns the load of an instance, or `null` if it has received no call. */
    fun load(instance: InstanceId): ReportedLoad? = entries[instance]?.limiter?.let { ReportedLoad(it.load, it.slots) }

    /** Lists a call as running in an upstream until the returned handle is closed. */
    fun callStarted(instance: InstanceId, fingerprint: Fingerprint): AutoCloseable {
        val running = entries[instance]?.running ?: return AutoCloseable { }
        val number = lastCallNumber.incrementAndGet()
        running[number] = fingerprint
        return AutoCloseable { running.remove(number) }
    }

    /**
     * Reports the crash of an upstream with the calls that were running in it.
     *
     * All of them fail at about the same time. Each call is listed in one report only, so that one crash counts once.
     */
    fun reportCrash(instance: InstanceId) {
        val entry = entries[instance] ?: return
        val numbers = entry.running.keys.toList()
        val fingerprints = numbers.mapNotNull { entry.running.remove(it) }.distinct()
        if (fingerprints.isEmpty()) {
            val now = clock.nowMillis()
            val last = entry.lastEmptyReportMillis.get()
            val isDue = now - last >= MIN_EMPTY_REPORT_INTERVAL_MILLIS &&
                entry.lastEmptyReportMillis.compareAndSet(last, now)
            if (!isDue) return
        }
        observer.onObservation(ProxyObservation.UpstreamCrashed(instance, fingerprints))
    }
}
