package boragelever.bench

import boragelever.core.IdempotencyKey
import boragelever.core.InstanceId
import boragelever.core.NodeId
import java.nio.file.Files
import java.nio.file.Path

/** Reads the journals of the upstreams in [directory]. */
internal fun readJournals(directory: Path): List<Observation.Executed> =
    Files.list(directory).use { files -> files.toList() }
        .filter { it.fileName.toString().endsWith(".journal") }
        .flatMap { Files.readAllLines(it) }
        .map(::parseExecution)

/** Reads the faults that the run has noted so far. */
internal fun readFaults(path: Path): List<Observation.FaultApplied> = Files.readAllLines(path).map(::parseFault)

private fun parseExecution(line: String): Observation.Executed {
    val fields = line.split(' ')
    val (time, instance, request) = fields
    return Observation.Executed(
        time.toLong(),
        InstanceId(instance),
        RequestId(request),
        fields.last().takeIf { it != NO_KEY }?.let(::IdempotencyKey),
    )
}

/** Parses `time kind target`. */
internal fun parseFault(line: String): Observation.FaultApplied {
    val (time, kind, target) = "$line ".split(' ')
    val fault = when (kind) {
        "node-stopped" -> Fault.NodeStopped(NodeId(target))
        "node-started" -> Fault.NodeStarted(NodeId(target))
        "node-paused" -> Fault.NodePaused(NodeId(target))
        "node-resumed" -> Fault.NodeResumed(NodeId(target))
        "store" -> Fault.StoreSet(StoreCondition.valueOf(target.uppercase()))
        "drain" -> Fault.DrainAnnounced(InstanceId(target))
        "upstream-stopped" -> Fault.UpstreamStopped(InstanceId(target))
        "upstream-started" -> Fault.UpstreamStarted(InstanceId(target))
        "ended" -> Fault.Ended
        else -> error("the fault '$kind' is unknown; chaos/run and ChaosFiles.kt must agree")
    }
    return Observation.FaultApplied(time.toLong(), fault)
}
