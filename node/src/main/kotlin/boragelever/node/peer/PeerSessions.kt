package boragelever.node.peer

import boragelever.node.Clock
import boragelever.wire.DecodedFrame
import boragelever.wire.FrameError
import boragelever.wire.MAX_FRAME_BYTES
import boragelever.wire.PROTOCOL_VERSION
import boragelever.wire.PeerFrame
import boragelever.wire.decodeFrame
import boragelever.wire.encodeFrame
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.onErr
import com.github.michaelbull.result.onOk
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.job
import kotlinx.coroutines.launch
import kotlinx.coroutines.selects.select
import java.util.concurrent.ConcurrentHashMap

private val log = KotlinLogging.logger {}

/** Time for messages on their way over a connection that another one has replaced. */
private const val RETIRE_MILLIS = 2_000L

/** Moves messages between open connections, their links and the listener. */
internal class PeerSessions(private val listener: PeerListener, private val clock: Clock) {
    private val skippedKinds: MutableSet<String> = ConcurrentHashMap.newKeySet()

    /** Carries messages until [connection] ends, closes it and returns why it ended. */
    suspend fun run(connection: PeerConnection, link: PeerLink): CloseReason =
        try {
            coroutineScope {
                connection.servedBy(currentCoroutineContext().job)
                launch { writeAll(connection, link) }
                if (connection.retired.isActive) listener.connected(connection.record)
                connection.close(readAll(connection))
            }
            CloseReason.Lost
        } catch (e: CancellationException) {
            connection.closeReason ?: throw e
        } catch (e: Exception) {
            // Ktor reports a lost connection by several unrelated exception types.
            connection.closeReason ?: CloseReason.Lost
        } finally {
            connection.close(CloseReason.Lost)
        }

    /** Reads until the peer sends something that ends the connection; throws when the connection is lost. */
    private suspend fun readAll(connection: PeerConnection): CloseReason.Refused {
        while (true) {
            connection.socket
                .read(MAX_FRAME_BYTES)
                .onOk { connection.received(it, clock.nowMillis()) }
                .flatMap(::decodeFrame)
                .fold(success = { accept(connection, it) }, failure = { it })
                ?.let { return refuse(connection, it) }
        }
    }

    private suspend fun accept(connection: PeerConnection, decoded: DecodedFrame): FrameError? {
        when (decoded) {
            is DecodedFrame.Known -> {
                if (decoded.frame.from != connection.peer) {
                    return FrameError.Malformed("sender ${decoded.frame.from} is not ${connection.peer}")
                }
                listener.received(connection.peer, decoded.frame.message)
            }
            is DecodedFrame.UnknownKind ->
                if (skippedKinds.add(decoded.kind)) {
                    log.info { "[peer] messages '${decoded.kind}' of protocol ${decoded.protocolVersion} are skipped" }
                }
        }
        return null
    }

    private fun refuse(connection: PeerConnection, error: FrameError): CloseReason.Refused {
        log.warn { "[peer] the connection to ${connection.peer} is closed: ${error.message}" }
        return CloseReason.Refused(error)
    }

    /** Sends what the link holds until the connection is retired. */
    private suspend fun writeAll(connection: PeerConnection, link: PeerLink) {
        val own = listener.ownRecord().node
        var inUse = true
        while (inUse) {
            inUse =
                select {
                    connection.retired.onJoin { false }
                    link.queue.onReceive { message ->
                        write(connection, PeerFrame(PROTOCOL_VERSION, own, message))
                        true
                    }
                }
        }
        connection.socket.endOutput()
        delay(RETIRE_MILLIS)
        connection.close(CloseReason.Replaced)
    }

    private suspend fun write(connection: PeerConnection, frame: PeerFrame) {
        encodeFrame(frame)
            .onOk { connection.write(frame.message, it, clock.nowMillis()) }
            .onErr { log.error { "[peer] a message to ${connection.peer} is dropped: ${it.message}" } }
    }
}
