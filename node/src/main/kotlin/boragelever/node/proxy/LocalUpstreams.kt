package boragelever.node.proxy

import boragelever.core.Fingerprint
import boragelever.core.InstanceId
import boragelever.core.control.UpstreamRecord
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** Smallest interval between two reports that name no running call, since each refused connection causes one. */
private const val MIN_EMPTY_REPORT_INTERVAL_MILLIS = 1_000L

/** Slots and running calls of the upstreams beside this node. */
internal class LocalUpstreams(private val clock: TrafficClock, private val observer: ProxyObserver) {
    private class Entry(slots: Int) {
        val limiter = SlotLimiter(slots)
        val running = ConcurrentHashMap<Long, Fingerprint>()
        val lastEmptyReportMillis = AtomicLong(Long.MIN_VALUE / 2)
    }

    private val entries = ConcurrentHashMap<InstanceId, Entry>()
    private val lastCallNumber = AtomicLong()

    /** The gate of [upstream] with the announced number of slots. */
    fun limiter(upstream: UpstreamRecord): SlotLimiter {
        val limiter = entries.computeIfAbsent(upstream.instance) { Entry(upstream.slots) }.limiter
        limiter.resize(upstream.slots)
        return limiter
    }

    /** Load of an instance, or `null` if it has carried no call. */
    fun load(instance: InstanceId): ReportedLoad? =
        entries[instance]?.limiter?.let { ReportedLoad(it.load, it.slots) }

    /** Notes that a call is being sent to the upstream. The returned handle ends that. */
    fun callStarted(instance: InstanceId, fingerprint: Fingerprint): AutoCloseable {
        val running = entries[instance]?.running ?: return AutoCloseable { }
        val number = lastCallNumber.incrementAndGet()
        running[number] = fingerprint
        return AutoCloseable { running.remove(number) }
    }

    /**
     * Reports the death of an upstream with the calls that were running in it.
     *
     * All of them fail at about the same time; each call is named in one report only, so that one death counts once.
     */
    fun reportDeath(instance: InstanceId) {
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
        observer.onObservation(ProxyObservation.UpstreamDied(instance, fingerprints))
    }
}
