package boragelever.bench.calls

private const val CALLS_PER_SECOND = 280
private const val LOAD_THREADS = 6
private const val CONNECTIONS = 130
private const val KIB_PER_MIB = 1_024

/** Durations of the measurements that run against processes. */
internal data class LatencyPlan(val warmUpMillis: Long, val rounds: Int, val segmentMillis: Long, val burstMillis: Long)

/** Calls per second at saturation of one path, and the CPU time that each node spent per call. */
internal class Throughput(
    val target: String,
    val connections: Int,
    val perSecond: Double,
    val failures: Long,
    val p99Micros: Double,
    val firstHopCpuMicros: Double,
    val lastHopCpuMicros: Double,
)

/** Resident memory of the first hop when idle, under load and after the saturation runs. */
internal class NodeMemory(val idleMib: Long, val loadedMib: Long, val saturatedMib: Long)

/** Results of the measurements that ran against processes. */
internal class LatencyReport(
    val results: Map<String, CallResult>,
    val throughput: List<Throughput>,
    val memory: NodeMemory,
)

/** Measures all paths in each round, so that a change of the machine's load affects all of them equally. */
internal fun measureLatency(processes: CallProcesses, plan: LatencyPlan): LatencyReport {
    val idleMib = processes.firstHop.residentMib()
    val targets = listOf(processes.direct, processes.lastHopOnly, processes.mesh)
    val results = targets.associate { it.name to CallResult() }
    val loads = targets.associateWith { CallLoad(it, LOAD_THREADS, LOAD_THREADS) }
    loads.values.forEach { it.closedLoop(plan.warmUpMillis) }
    loads.values.forEach { it.openLoop(CALLS_PER_SECOND, plan.segmentMillis) }
    repeat(plan.rounds) {
        loads.forEach { (target, load) ->
            results.getValue(target.name).add(load.openLoop(CALLS_PER_SECOND, plan.segmentMillis))
        }
    }
    loads.values.forEach { it.close() }
    val loadedMib = measureLoadedMib(processes, plan)
    val throughput = (targets + processes.oneNode).flatMap { target ->
        listOf(LOAD_THREADS, CONNECTIONS).map { runSaturated(processes, target, it, plan.burstMillis) }
    }
    return LatencyReport(results, throughput, NodeMemory(idleMib, loadedMib, processes.firstHop.residentMib()))
}

private fun measureLoadedMib(processes: CallProcesses, plan: LatencyPlan): Long =
    CallLoad(processes.mesh, LOAD_THREADS, CONNECTIONS).use { load ->
        load.openLoop(CALLS_PER_SECOND, plan.burstMillis)
        processes.firstHop.residentMib()
    }

private fun runSaturated(processes: CallProcesses, target: CallTarget, connections: Int, millis: Long): Throughput {
    // Each thread has one call in flight; more connections only spread the same calls over more sockets.
    CallLoad(target, LOAD_THREADS, connections).use { load ->
        val firstHopBeforeMicros = processes.firstHop.cpuMicros()
        val lastHopBeforeMicros = processes.lastHop.cpuMicros()
        val result = load.closedLoop(millis)
        val calls = result.latencies.totalCount
        return Throughput(
            target.name,
            connections,
            calls * 1_000.0 / millis,
            result.failures,
            result.micros(99.0),
            (processes.firstHop.cpuMicros() - firstHopBeforeMicros).toDouble() / calls,
            (processes.lastHop.cpuMicros() - lastHopBeforeMicros).toDouble() / calls,
        )
    }
}

private fun CallProcess.residentMib(): Long = residentKib() / KIB_PER_MIB
