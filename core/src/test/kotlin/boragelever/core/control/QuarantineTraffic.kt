package boragelever.core.control

import boragelever.core.Fingerprint
import boragelever.core.InstanceId
import boragelever.core.ServiceName
import boragelever.core.routing.Endpoint
import boragelever.core.routing.QuarantineDecision
import boragelever.core.routing.quarantineDecision
import kotlin.random.Random

/** Requests that are sent again and again: [everyMillis] apart, each running for [runMillis]. */
internal class Requests(
    name: String,
    val everyMillis: Long,
    val runMillis: Long = 300,
    /** True if each instance that begins to run the request crashes. */
    val isDangerous: Boolean = false,
) {
    val fingerprint = Fingerprint(name)

    /** Times at which a request began to run on an instance. */
    val startsMillis = mutableListOf<Long>()

    /** Times at which an instance crashed because of the request. */
    val crashesMillis = mutableListOf<Long>()

    /** Time of sending and whether it was served, of each request. */
    val results = mutableListOf<Pair<Long, Boolean>>()
}

/** Requests of callers at all nodes of a simulated mesh, and the instances beside the nodes, which may crash. */
internal class QuarantineTraffic(val mesh: FakeMesh, seed: Int) {
    private class Run(val requests: Requests, val sentMillis: Long, val isTrial: Boolean)

    private val random = Random(seed)
    private val running = mesh.nodes.associateWith { mutableListOf<Run>() }
    private val downUntilMillis = mutableMapOf<FakeNode, Long>()
    private val completed = mesh.nodes.associateWith { mutableSetOf<Fingerprint>() }.toMutableMap()
    private val watched = mesh.nodes.associateWith { emptySet<Fingerprint>() }.toMutableMap()
    private val trials = mesh.nodes.associateWith { mutableMapOf<Fingerprint, Int>() }.toMutableMap()
    private val instances = mesh.nodes.associateBy { InstanceId("${it.identity.node.value}-s") }

    /** Time after which a crashed instance is back. */
    var restartMillis = 3_000L

    init {
        mesh.onWatch = { node, fingerprints ->
            watched[node] = fingerprints
            (fingerprints intersect completed.getValue(node)).forEach { reportCompletion(node, it) }
        }
    }

    /** Sends [requests] at random nodes for [forMillis] from now on. */
    fun send(requests: Requests, forMillis: Long, nodes: List<FakeNode> = mesh.nodes) {
        val endMillis = mesh.nowMillis + forMillis

        fun next() {
            if (mesh.nowMillis >= endMillis) return
            nodes.filter { it.isUp }.randomOrNull(random)?.let { sendOne(requests, it, attempts = 3) }
            mesh.schedule(requests.everyMillis) { next() }
        }
        mesh.schedule(random.nextLong(requests.everyMillis)) { next() }
    }

    fun crash(node: FakeNode) {
        val interrupted = running.getValue(node).toList()
        running.getValue(node).clear()
        downUntilMillis[node] = mesh.nowMillis + restartMillis
        val reports = interrupted.groupBy { it.requests.fingerprint }.map { (fingerprint, runs) ->
            val hasCompleted = fingerprint in completed.getValue(node)
            InterruptedRequest(fingerprint, hasCompleted, runs.any { it.isTrial })
        }
        mesh.dispatch(node) { Event.UpstreamCrashed(it, InstanceId("${node.identity.node.value}-s"), reports) }
        interrupted.forEach { it.requests.results += it.sentMillis to false }
        mesh.schedule(restartMillis) { if (node.isUp) mesh.registerUpstream(node, UpstreamState.SERVING) }
    }

    /** Kills the process of [node], which loses what it knew, and starts it again; its instance runs on. */
    fun restart(node: FakeNode) {
        mesh.kill(node)
        completed[node] = mutableSetOf()
        watched[node] = emptySet()
        trials[node] = mutableMapOf()
        running.getValue(node).clear()
        mesh.schedule(500) {
            mesh.start(node)
            mesh.registerUpstream(node, UpstreamState.SERVING)
        }
    }

    private fun sendOne(requests: Requests, first: FakeNode, attempts: Int) {
        val sentMillis = mesh.nowMillis
        val endpoint = chooseEndpoint(requests, first)
        val last = endpoint?.let { instances.getValue(it.instance) }
        if (last == null || mesh.isCut(first, last)) {
            requests.results += sentMillis to false
            return
        }
        mesh.schedule(if (last.identity.region == first.identity.region) 2 else 13) {
            if (!begin(requests, last, sentMillis)) {
                requests.results += sentMillis to false
            } else if (requests.isDangerous && attempts > 1) {
                sendOne(requests, first, attempts - 1)
            }
        }
    }

    private fun chooseEndpoint(requests: Requests, node: FakeNode): Endpoint? {
        val snapshot = node.state.snapshot ?: return null
        val endpoints = snapshot.services[SERVICE]?.endpoints.orEmpty()
        return when (val decision = snapshot.quarantineDecision(requests.fingerprint, SERVICE, mesh.nowMillis)) {
            QuarantineDecision.Admit -> endpoints.randomOrNull(random)
            QuarantineDecision.Refuse -> null
            is QuarantineDecision.Try -> endpoints.firstOrNull { it.instance == decision.instance }
        }
    }

    /** Starts a run on the instance beside [node] and returns true if that node admits it. */
    private fun begin(requests: Requests, node: FakeNode, sentMillis: Long): Boolean {
        val snapshot = node.state.snapshot?.takeIf { node.isUp } ?: return false
        val instance = InstanceId("${node.identity.node.value}-s")
        val isServing = snapshot.localUpstreams[instance]?.state == UpstreamState.SERVING
        if (!isServing || mesh.nowMillis < (downUntilMillis[node] ?: 0)) return false
        val decision = snapshot.quarantineDecision(requests.fingerprint, SERVICE, mesh.nowMillis)
        if (!admits(node, instance, decision)) return false
        val run = Run(requests, sentMillis, isTrial = decision is QuarantineDecision.Try)
        running.getValue(node) += run
        requests.startsMillis += mesh.nowMillis
        if (requests.isDangerous) {
            mesh.schedule(1) {
                if (run in running.getValue(node)) {
                    requests.crashesMillis += mesh.nowMillis
                    crash(node)
                }
            }
        } else {
            mesh.schedule(requests.runMillis) { complete(run, node) }
        }
        return true
    }

    private fun admits(node: FakeNode, instance: InstanceId, decision: QuarantineDecision): Boolean =
        when (decision) {
            QuarantineDecision.Admit -> true
            QuarantineDecision.Refuse -> false
            is QuarantineDecision.Try -> {
                val started = trials.getValue(node)
                val isNew = decision.id.number > (started[decision.id.fingerprint] ?: 0)
                if (isNew && decision.instance == instance) started[decision.id.fingerprint] = decision.id.number
                isNew && decision.instance == instance
            }
        }

    private fun complete(run: Run, node: FakeNode) {
        if (!running.getValue(node).remove(run)) return
        run.requests.results += run.sentMillis to true
        val fingerprint = run.requests.fingerprint
        completed.getValue(node) += fingerprint
        if (fingerprint in watched.getValue(node)) reportCompletion(node, fingerprint)
    }

    private fun reportCompletion(node: FakeNode, fingerprint: Fingerprint) {
        val instance = InstanceId("${node.identity.node.value}-s")
        mesh.dispatch(node) { Event.RequestCompleted(it, instance, fingerprint) }
    }

    companion object {
        val SERVICE = ServiceName("s")
    }
}
