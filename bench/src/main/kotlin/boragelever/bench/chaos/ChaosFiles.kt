package boragelever.bench.chaos

import boragelever.core.IdempotencyKey
import boragelever.core.InstanceId
import boragelever.core.NodeId
import java.nio.file.Files
import java.nio.file.Path

/** Reads the execution journals (`*.journal`) of the upstreams in [directory]. */
internal fun readJournals(directory: Path): List<Observation.Executed> =
    Files.list(directory).use { files -> files.toList() }
        .filter { it.fileName.toString().endsWith(".journal") }
        .flatMap { Files.readAllLines(it) }
        .map(::parseExecution)

/** Reads the faults that `chaos/run` has recorded so far in the file at [path]. */
internal fun readFaults(path: Path): List<Observation.FaultApplied> = Files.readAllLines(path).map(::parseFault)

private fun parseExecution(line: String): Observation.Executed {
    val fields = line.split(' ')
    val (time, instance, request) = fields
    return Observation.Executed(
        time.toLong(),
        InstanceId(instance),
        RequestId(request),
        fields.last().takeIf { it != ABSENT_KEY }?.let(::IdempotencyKey),
    )
}

/** Parses a line `time kind target` of the fault file; the time is in milliseconds since the epoch. */
internal fun parseFault(line: String): Observation.FaultApplied {
    val (time, kind, target) = "$line ".split(' ')
    val fault = when (kind) {
        "node-stopped" -> Fault.NodeStopped(NodeId(target))
        "node-started" -> Fault.NodeStarted(NodeId(target))
        "node-paused" -> Fault.NodePaused(NodeId(target))
        "node-resumed" -> Fault.NodeResumed(NodeId(target))
        "store" -> Fault.StoreConditionChanged(StoreCondition.valueOf(target.uppercase()))
        "drain" -> Fault.DrainStarted(InstanceId(target))
        "upstream-stopped" -> Fault.UpstreamStopped(InstanceId(target))
        "upstream-started" -> Fault.UpstreamStarted(InstanceId(target))
        "ended" -> Fault.Ended
        else -> error("unknown fault '$kind'; chaos/run and ChaosFiles.kt must use the same fault names")
    }
    return Observation.FaultApplied(time.toLong(), fault)
}
