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

/** Time for messages in flight on a replaced connection to arrive before it is closed. */
private const val RETIRE_DRAIN_MILLIS = 2_000L

/** Transfers messages between open connections and their links and listener. */
internal class PeerSessions(private val listener: PeerListener, private val clock: Clock) {
    private val loggedUnknownKinds: MutableSet<String> = ConcurrentHashMap.newKeySet()

    /** Serves [connection] until it ends, closes it and returns the reason. */
    suspend fun run(connection: PeerConnection, link: PeerLink): CloseReason =
        try {
            coroutineScope {
                connection.attachJob(currentCoroutineContext().job)
                launch { writeAll(connection, link) }
                if (connection.retired.isActive) listener.onConnected(connection.record)
                connection.close(readAll(connection))
            }
            CloseReason.Lost
        } catch (e: CancellationException) {
            connection.closeReason ?: throw e
        } catch (e: Exception) {
            // A lost connection surfaces as several unrelated exception types.
            connection.closeReason ?: CloseReason.Lost
        } finally {
            connection.close(CloseReason.Lost)
        }

    /** Reads until the peer violates the protocol; throws an exception if the connection is lost. */
    private suspend fun readAll(connection: PeerConnection): CloseReason.ProtocolError {
        while (true) {
            connection.socket
                .read(MAX_FRAME_BYTES)
                .onOk { connection.received(it, clock.nowMillis()) }
                .flatMap(::decodeFrame)
                .fold(success = { handleFrame(connection, it) }, failure = { it })
                ?.let { return protocolError(connection, it) }
        }
    }

    private suspend fun handleFrame(connection: PeerConnection, decoded: DecodedFrame): FrameError? {
        when (decoded) {
            is DecodedFrame.Known -> {
                if (decoded.frame.from != connection.peer) {
                    return FrameError.Malformed("sender ${decoded.frame.from} is not the peer ${connection.peer}")
                }
                listener.onMessage(connection.peer, decoded.frame.message)
            }
            is DecodedFrame.UnknownKind ->
                if (loggedUnknownKinds.add(decoded.kind)) {
                    log.info {
                        "[peer] ignoring unknown message kind '${decoded.kind}', protocol ${decoded.protocolVersion}"
                    }
                }
        }
        return null
    }

    private fun protocolError(connection: PeerConnection, error: FrameError): CloseReason.ProtocolError {
        log.warn { "[peer] closing the connection to ${connection.peer} after a protocol error: ${error.message}" }
        return CloseReason.ProtocolError(error)
    }

    /** Sends the queued messages of [link] until the connection is retired. */
    private suspend fun writeAll(connection: PeerConnection, link: PeerLink) {
        val localNode = listener.localRecord().node
        var active = true
        while (active) {
            active =
                select {
                    connection.retired.onJoin { false }
                    link.queue.onReceive { message ->
                        write(connection, PeerFrame(PROTOCOL_VERSION, localNode, message))
                        true
                    }
                }
        }
        connection.socket.shutdownOutput()
        delay(RETIRE_DRAIN_MILLIS)
        connection.close(CloseReason.Replaced)
    }

    private suspend fun write(connection: PeerConnection, frame: PeerFrame) {
        encodeFrame(frame)
            .onOk { connection.write(frame.message, it, clock.nowMillis()) }
            .onErr { log.error { "[peer] dropped a message to ${connection.peer}: ${it.message}" } }
    }
}
