package boragelever.bench

import boragelever.core.ConfigVersion
import boragelever.core.Digest
import boragelever.core.InstanceId
import boragelever.core.control.ControlState
import boragelever.core.control.Transition

/** Invariant of the control plane that the simulation checks. */
internal enum class Invariant {
    /** A node only replaces its configuration by a newer version. */
    VERSION_INCREASES,

    /** Each destination of a route is a service of the same snapshot. */
    DESTINATIONS_EXIST,

    /** A snapshot belongs to the applied version, and a version has the same digest on all nodes. */
    CONSISTENT_VERSION,

    /** No node routes to an instance after the drain time of its node. */
    NO_ENDPOINT_AFTER_LEAVE,

    /** At the end of a run each published version has been applied by all nodes. */
    APPLIED_ON_ALL_NODES,
}

/** Checks the invariants and counts their violations. */
internal class InvariantChecker {
    private val digests = HashMap<ConfigVersion, Digest>()
    val violations: MutableMap<Invariant, Int> = Invariant.entries.associateWith { 0 }.toMutableMap()

    fun violate(invariant: Invariant) {
        violations.merge(invariant, 1, Int::plus)
    }

    /** Checks the transition of a node from the state [before] an event. */
    fun check(before: ControlState, transition: Transition) {
        val after = transition.state
        if (after.applied !== before.applied) checkApplied(before, after)
        val snapshot = after.snapshot ?: return
        if (snapshot === before.snapshot) return
        if (snapshot.config != after.applied?.id) violate(Invariant.CONSISTENT_VERSION)
        val destinations = snapshot.routes.flatMap { route -> route.destinations.map { it.service } }
        if (!snapshot.services.keys.containsAll(destinations)) violate(Invariant.DESTINATIONS_EXIST)
    }

    private fun checkApplied(before: ControlState, after: ControlState) {
        val applied = after.applied
        val previous = before.applied
        if (applied == null || (previous != null && applied.id.version <= previous.id.version)) {
            violate(Invariant.VERSION_INCREASES)
        }
        if (applied == null) return
        val known = digests.getOrPut(applied.id.version) { applied.id.digest }
        if (known != applied.id.digest) violate(Invariant.CONSISTENT_VERSION)
    }

    /** Checks that no snapshot of [nodes] contains [instance], whose node began to leave 2 s ago. */
    fun checkLeave(instance: InstanceId, nodes: List<BenchNode>) {
        val late = nodes.count { node ->
            node.state.snapshot?.services?.values.orEmpty().any { service ->
                service.endpoints.any { it.instance == instance }
            }
        }
        if (late > 0) violate(Invariant.NO_ENDPOINT_AFTER_LEAVE)
    }
}
