package boragelever.node.proxy

import boragelever.core.Fingerprint
import boragelever.core.routing.TrialId
import java.util.concurrent.ConcurrentHashMap

/** Time after which a trial that showed nothing, for example since its caller left, may be repeated. */
private const val REPEAT_MILLIS = 30_000L

/** Bound of the remembered trials; quarantined requests are far fewer. */
private const val MAX_TRIALS = 1_000

/** Admits one call as the trial of a quarantined request. */
internal class QuarantineTrials(private val clock: TrafficClock) {
    private class Started(val number: Int, val atMillis: Long)

    private val started = ConcurrentHashMap<Fingerprint, Started>()

    /** Returns whether the calling call is the trial [id]; further calls are refused for [REPEAT_MILLIS]. */
    fun begin(id: TrialId): Boolean {
        val trial = Started(id.number, clock.nowMillis())
        if (started.size > MAX_TRIALS) started.clear()
        val current = started.compute(id.fingerprint) { _, previous ->
            val isDue = previous == null || id.number > previous.number ||
                trial.atMillis - previous.atMillis >= REPEAT_MILLIS
            if (isDue) trial else previous
        }
        return current === trial
    }

    /** Admits another call, since the one that was admitted has not reached the upstream. */
    fun cancel(id: TrialId) {
        started.remove(id.fingerprint)
    }
}
