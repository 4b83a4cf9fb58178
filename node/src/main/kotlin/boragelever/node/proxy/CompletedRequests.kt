package boragelever.node.proxy

import boragelever.core.Fingerprint
import boragelever.core.InstanceId
import java.util.concurrent.ConcurrentHashMap

/** Entries after which a generation is replaced; bounds the memory to about 2 MB. */
private const val MAX_GENERATION_ENTRIES = 4_096

/** Age after which a generation is replaced. An entry is thus remembered for five to ten minutes. */
private const val GENERATION_MILLIS = 300_000L

/**
 * The requests that local upstreams have completed recently: evidence that they crash no upstream.
 *
 * Two generations of entries replace an expiry of each entry. A request that completes often is in the newer one.
 *
 * @param onWatchedCompletion called once for each watched request that has completed or completes.
 */
internal class CompletedRequests(
    private val clock: TrafficClock,
    private val onWatchedCompletion: (InstanceId, Fingerprint) -> Unit,
) {
    private class Generation(val startedMillis: Long) {
        val instances = ConcurrentHashMap<Fingerprint, InstanceId>()
    }

    /** The older and the newer generation, replaced together. */
    private class Generations(val older: Generation, val newer: Generation) {
        fun instanceOf(fingerprint: Fingerprint): InstanceId? =
            newer.instances[fingerprint] ?: older.instances[fingerprint]
    }

    @Volatile
    private var generations = clock.nowMillis().let { Generations(Generation(it), Generation(it)) }

    private val watched = ConcurrentHashMap.newKeySet<Fingerprint>()

    /** Records that [instance] completed a request with [fingerprint]. */
    fun record(instance: InstanceId, fingerprint: Fingerprint) {
        currentGenerations().newer.instances[fingerprint] = instance
        if (watched.isNotEmpty() && watched.remove(fingerprint)) onWatchedCompletion(instance, fingerprint)
    }

    operator fun contains(fingerprint: Fingerprint): Boolean = currentGenerations().instanceOf(fingerprint) != null

    /** Watches [fingerprints] instead of the previous ones. */
    fun watch(fingerprints: Set<Fingerprint>) {
        watched.retainAll(fingerprints)
        watched.addAll(fingerprints)
        // The look-up follows the registration, so that a completion in between is not missed.
        fingerprints.forEach { fingerprint ->
            val instance = currentGenerations().instanceOf(fingerprint)
            if (instance != null && watched.remove(fingerprint)) onWatchedCompletion(instance, fingerprint)
        }
    }

    private fun currentGenerations(): Generations {
        val current = generations
        return if (isDue(current)) replaceIfDue() else current
    }

    private fun isDue(current: Generations): Boolean =
        current.newer.instances.size >= MAX_GENERATION_ENTRIES ||
            clock.nowMillis() - current.newer.startedMillis >= GENERATION_MILLIS

    @Synchronized
    private fun replaceIfDue(): Generations {
        val current = generations
        if (!isDue(current)) return current
        val nowMillis = clock.nowMillis()
        // After a long time without calls, the entries of the newer generation have expired as well.
        val isExpired = nowMillis - current.newer.startedMillis >= 2 * GENERATION_MILLIS
        val older = if (isExpired) Generation(nowMillis) else current.newer
        return Generations(older, Generation(nowMillis)).also { generations = it }
    }
}
