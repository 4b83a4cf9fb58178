package boragelever.bench

import boragelever.core.ConfigVersion
import boragelever.core.Digest
import boragelever.core.InstanceId
import boragelever.core.control.ControlState
import boragelever.core.control.Transition

/** Promise that the control side keeps. */
internal enum class Promise {
    NEVER_OLDER,
    ROUTES_RESOLVE,
    WHOLE_VERSIONS,
    NO_WORK_AFTER_DEPARTURE,
    IN_FORCE_EVERYWHERE,
}

/** Counts violations of the promises. */
internal class Promises {
    private val digests = HashMap<ConfigVersion, Digest>()
    val violations: MutableMap<Promise, Int> = Promise.entries.associateWith { 0 }.toMutableMap()

    fun violate(promise: Promise) {
        violations.merge(promise, 1, Int::plus)
    }

    /** Compares the states before and after an event. */
    fun check(before: ControlState, transition: Transition) {
        val after = transition.state
        if (after.applied !== before.applied) checkApplied(before, after)
        val snapshot = after.snapshot ?: return
        if (snapshot === before.snapshot) return
        if (snapshot.config != after.applied?.id) violate(Promise.WHOLE_VERSIONS)
        val destinations = snapshot.routes.flatMap { route -> route.destinations.map { it.service } }
        if (!snapshot.services.keys.containsAll(destinations)) violate(Promise.ROUTES_RESOLVE)
    }

    private fun checkApplied(before: ControlState, after: ControlState) {
        val applied = after.applied
        val previous = before.applied
        if (applied == null || (previous != null && applied.id.version <= previous.id.version)) {
            violate(Promise.NEVER_OLDER)
        }
        if (applied == null) return
        val known = digests.getOrPut(applied.id.version) { applied.id.digest }
        if (known != applied.id.digest) violate(Promise.WHOLE_VERSIONS)
    }

    /** Checks that no snapshot of [nodes] holds [instance], which left 2 s ago. */
    fun checkDeparture(instance: InstanceId, nodes: List<BenchNode>) {
        val late = nodes.count { node ->
            node.state.snapshot?.services?.values.orEmpty().any { service ->
                service.endpoints.any { it.instance == instance }
            }
        }
        if (late > 0) violate(Promise.NO_WORK_AFTER_DEPARTURE)
    }
}
