package boragelever.bench.stop

import boragelever.platform.platformHeaderNames
import java.io.BufferedInputStream
import java.io.IOException
import java.net.Socket
import java.net.SocketTimeoutException
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random

private const val DEADLINE_MILLIS = 4_000
private const val SLOW_PART_MILLIS = 300L
private const val BODY = "body-of-a-booking"

/** What a caller saw of one request; times are of the wall clock. */
internal class CallRecord(
    val requestId: String,
    val sentMillis: Long,
    val endMillis: Long,
    /** Status, or 0 if there was no complete response. */
    val status: Int,
    val failure: String? = null,
)

/** How a caller sends its requests. */
internal enum class Sending {
    /** On a new connection for each request. */
    NEW_CONNECTIONS,

    /** On one connection as long as it is open. */
    KEPT_CONNECTION,

    /** On one connection, in parts with pauses between them. */
    SLOWLY,
}

/** Sends bookings, which must not run twice, to the node of [machine] until [stop]. */
internal class StopCaller(
    private val machine: Machine,
    private val sending: Sending,
    private val records: ConcurrentLinkedQueue<CallRecord>,
    seed: Long,
) : Runnable {
    private val random = Random(seed)
    private var kept: Socket? = null

    @Volatile
    private var isStopped = false

    fun stop() {
        isStopped = true
    }

    override fun run() {
        while (!isStopped) {
            try {
                sendOne()
            } catch (_: IOException) {
                kept = null
                Thread.sleep(random.nextLong(MAX_PAUSE_MILLIS))
            }
            Thread.sleep(random.nextLong(MAX_PAUSE_MILLIS))
        }
        kept?.close()
    }

    private fun sendOne() {
        val socket = kept ?: connect(machine.address(machine.ports.outbound)).also { it.soTimeout = DEADLINE_MILLIS }
        kept = null
        val requestId = "req-${lastRequest.incrementAndGet()}"
        val kind = if (random.nextInt(KINDS) == 0) "stream" else "plain"
        val workMillis = if (random.nextInt(KINDS) ==
            0
        ) {
            random.nextLong(MAX_WORK_MILLIS)
        } else {
            random.nextLong(USUAL_MILLIS)
        }
        val headers = listOf(
            "Host" to "shop.example",
            platformHeaderNames.requestIdHeader to requestId,
            platformHeaderNames.deadlineHeader to DEADLINE_MILLIS,
            "Content-Length" to BODY.length,
        ).joinToString("") { (name, value) -> "$name: $value\r\n" }
        val head = "POST /book/$kind/$workMillis/$requestId HTTP/1.1\r\n$headers\r\n"
        val sentMillis = sendParts(socket, head)
        receive(socket, requestId, sentMillis)
    }

    /** Sends the request and returns the time after its last byte. */
    private fun sendParts(socket: Socket, head: String): Long {
        val output = socket.getOutputStream()
        if (sending == Sending.SLOWLY) {
            listOf(head.take(head.length / 2), head.drop(head.length / 2)).forEach { part ->
                output.write(part.encodeToByteArray())
                Thread.sleep(random.nextLong(SLOW_PART_MILLIS))
            }
            output.write(BODY.encodeToByteArray())
        } else {
            output.write((head + BODY).encodeToByteArray())
        }
        return System.currentTimeMillis()
    }

    private fun receive(socket: Socket, requestId: String, sentMillis: Long) {
        var status = 0
        var failure: String? = null
        var keeps = false
        try {
            val input = BufferedInputStream(socket.getInputStream())
            val head = readHttpHead(input)
            if (head == null) {
                failure = "closed"
            } else {
                readHttpBody(input, head)
                status = head.status
                keeps = sending != Sending.NEW_CONNECTIONS && !head["Connection"].equals("close", ignoreCase = true)
            }
        } catch (_: SocketTimeoutException) {
            failure = "no answer until the deadline"
        } catch (broken: IOException) {
            failure = broken.message ?: "broken"
        }
        records += CallRecord(requestId, sentMillis, System.currentTimeMillis(), status, failure)
        if (keeps) kept = socket else socket.close()
    }

    private companion object {
        val lastRequest = AtomicLong()
        const val MAX_PAUSE_MILLIS = 60L
        const val KINDS = 4
        const val USUAL_MILLIS = 300L
        const val MAX_WORK_MILLIS = 3_900L
    }
}
