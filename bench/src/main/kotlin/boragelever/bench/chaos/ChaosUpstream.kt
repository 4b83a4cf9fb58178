package boragelever.bench.chaos

import boragelever.core.InstanceId
import boragelever.core.NetworkAddress
import boragelever.core.ServiceName
import boragelever.standin.UpstreamRequest
import boragelever.standin.UpstreamSettings
import boragelever.standin.UpstreamStandIn
import java.nio.ByteBuffer
import java.nio.channels.FileChannel
import java.nio.file.Path
import java.nio.file.StandardOpenOption
import java.util.concurrent.CountDownLatch

/** Size of the body of a download. */
internal const val DOWNLOAD_BYTES = 102_400

/** Time that an upstream takes for a request; it keeps some requests in flight when a fault is applied. */
private const val SERVICE_TIME_MILLIS = 20L

/**
 * Runs upstream stand-ins that write each execution to a journal before they respond.
 *
 * Arguments: journal file, then `service,instance,port,admin` for each upstream.
 */
internal fun main(arguments: Array<String>) {
    val journal = ExecutionJournal(Path.of(arguments.first()))
    val upstreams = arguments.drop(1).map { start(it.split(','), journal) }
    Runtime.getRuntime().addShutdownHook(Thread { upstreams.forEach { it.close() } })
    CountDownLatch(1).await()
}

private fun start(fields: List<String>, journal: ExecutionJournal): UpstreamStandIn {
    val (service, instance, port) = fields
    val admin = NetworkAddress(fields.last())
    val settings =
        UpstreamSettings(
            ServiceName(service),
            InstanceId(instance),
            serviceMillis = SERVICE_TIME_MILLIS,
            bodySizeBytes = DOWNLOAD_BYTES,
        )
    return UpstreamStandIn(settings, admin, port = port.toInt()) { journal.record(instance, it) }
}

/**
 * Appends a line `time instance request key` for each execution.
 *
 * Each line is written to the file unbuffered, so that it survives a kill of the process.
 */
private class ExecutionJournal(path: Path) {
    private val channel = FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.APPEND)

    fun record(instance: String, request: UpstreamRequest) {
        val key = request.idempotencyKey?.value ?: ABSENT_KEY
        val line = "${System.currentTimeMillis()} $instance ${request.requestId ?: "-"} $key\n"
        channel.write(ByteBuffer.wrap(line.encodeToByteArray()))
    }
}

/** Marks an absent idempotency key in the journal. */
internal const val ABSENT_KEY = "-"
