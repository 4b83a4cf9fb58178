package boragelever.bench.calls

private const val RATE = 280
private const val THREADS = 6
private const val CONNECTIONS = 130
private const val KIB_PER_MIB = 1_024

/** How long the measurements on processes take. */
internal data class LatencyPlan(val warmUpMillis: Long, val rounds: Int, val segmentMillis: Long, val burstMillis: Long)

/** Calls per second at saturation of one path, with the processor time that each process spent on a call. */
internal class Throughput(
    val target: String,
    val connections: Int,
    val perSecond: Double,
    val failures: Long,
    val p99Micros: Double,
    val callerCpuMicros: Double,
    val lastHopCpuMicros: Double,
)

/** Resident memory of the calling node in MiB. */
internal class NodeMemory(val idle: Long, val loaded: Long, val saturated: Long)

/** What was measured on processes. */
internal class LatencyReport(
    val results: Map<String, CallResult>,
    val throughput: List<Throughput>,
    val memory: NodeMemory,
)

/** Measures paths in turn within each round, so that a change of the machine's load meets all of them alike. */
internal fun measureLatency(processes: CallProcesses, plan: LatencyPlan): LatencyReport {
    val idle = processes.caller.residentMib()
    val targets = listOf(processes.direct, processes.hopOnly, processes.mesh)
    val results = targets.associate { it.name to CallResult() }
    val loads = targets.associateWith { CallLoad(it, THREADS, THREADS) }
    loads.values.forEach { it.closedLoop(plan.warmUpMillis) }
    loads.values.forEach { it.openLoop(RATE, plan.segmentMillis) }
    repeat(plan.rounds) {
        loads.forEach { (target, load) ->
            results.getValue(target.name).add(load.openLoop(RATE, plan.segmentMillis))
        }
    }
    loads.values.forEach { it.close() }
    val loaded = memoryUnderLoad(processes, plan)
    val throughput = (targets + processes.oneNode).flatMap { target ->
        listOf(THREADS, CONNECTIONS).map { saturate(processes, target, it, plan.burstMillis) }
    }
    return LatencyReport(results, throughput, NodeMemory(idle, loaded, processes.caller.residentMib()))
}

private fun memoryUnderLoad(processes: CallProcesses, plan: LatencyPlan): Long =
    CallLoad(processes.mesh, THREADS, CONNECTIONS).use { load ->
        load.openLoop(RATE, plan.burstMillis)
        processes.caller.residentMib()
    }

private fun saturate(processes: CallProcesses, target: CallTarget, connections: Int, millis: Long): Throughput {
    // One call in flight for each thread; more connections only spread the same calls over more sockets.
    CallLoad(target, THREADS, connections).use { load ->
        val callerBefore = processes.caller.cpuMicros()
        val hopBefore = processes.lastHop.cpuMicros()
        val result = load.closedLoop(millis)
        val calls = result.latencies.totalCount
        return Throughput(
            target.name,
            connections,
            calls * 1_000.0 / millis,
            result.failures,
            result.micros(99.0),
            (processes.caller.cpuMicros() - callerBefore).toDouble() / calls,
            (processes.lastHop.cpuMicros() - hopBefore).toDouble() / calls,
        )
    }
}

private fun CallProcess.residentMib(): Long = residentKib() / KIB_PER_MIB
