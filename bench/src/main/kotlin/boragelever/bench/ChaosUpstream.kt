package boragelever.bench

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

/** Size of a download in bytes. */
internal const val DOWNLOAD_BYTES = 102_400

/** Time that an upstream takes for a request, so that some are always in flight. */
private const val SERVICE_MILLIS = 20L

/**
 * Runs upstream stand-ins that write each execution to a journal before they answer.
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
            serviceMillis = SERVICE_MILLIS,
            bodySizeBytes = DOWNLOAD_BYTES,
        )
    return UpstreamStandIn(settings, admin, port = port.toInt()) { journal.note(instance, it) }
}

/** Lines `time instance request key` that survive a kill of the process, since each is handed to the system at once. */
private class ExecutionJournal(path: Path) {
    private val channel = FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.APPEND)

    fun note(instance: String, request: UpstreamRequest) {
        val key = request.idempotencyKey?.value ?: NO_KEY
        val line = "${System.currentTimeMillis()} $instance ${request.requestId ?: "-"} $key\n"
        channel.write(ByteBuffer.wrap(line.encodeToByteArray()))
    }
}

/** Stands for an absent key in the journal. */
internal const val NO_KEY = "-"
