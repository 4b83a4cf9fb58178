package boragelever.bench.chaos

import boragelever.bench.chaos.LinkDirection.FROM_NODE
import boragelever.bench.chaos.LinkDirection.TO_NODE
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import java.io.IOException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketTimeoutException
import kotlin.concurrent.thread

/** Guards against a proxy that applies a fault to no link or to the wrong one, so that a chaos run tests nothing. */
class LinkProxyTest {
    internal class CommandCase(val text: String, val expected: LinkCommand?) {
        override fun toString() = text
    }

    @ParameterizedTest
    @MethodSource("commands")
    internal fun `a command is parsed`(case: CommandCase) {
        assertEquals(case.expected, parseLinkCommand(case.text))
    }

    internal class TransferCase(
        private val name: String,
        val condition: LinkCondition,
        val silenced: Boolean,
        val toNode: TransferDecision,
        val fromNode: TransferDecision,
    ) {
        override fun toString() = name
    }

    @ParameterizedTest
    @MethodSource("transfers")
    internal fun `the condition decides in which direction bytes are forwarded`(case: TransferCase) {
        assertEquals(case.toNode, case.condition.transferDecision(TO_NODE, case.silenced))
        assertEquals(case.fromNode, case.condition.transferDecision(FROM_NODE, case.silenced))
    }

    /** Result of an echo on a connection that is open when the command arrives, and on one opened after it. */
    internal class LinkCase(val command: String, val onOpenConnection: EchoResult, val onNewConnection: EchoResult) {
        override fun toString() = command
    }

    internal enum class EchoResult { ECHO, TIMEOUT, CLOSED }

    @ParameterizedTest
    @MethodSource("links")
    internal fun `a command applies to the open and the new connections that it covers`(case: LinkCase) {
        ServerSocket(0, BACKLOG, LOOPBACK).use { echoServer ->
            thread(isDaemon = true) { acceptAll(echoServer, ::echo) }
            val links = NodeLinks()
            val target = InetSocketAddress(LOOPBACK, echoServer.localPort)
            links.listen(InetSocketAddress(LOOPBACK, 0), target).use { proxy ->
                Socket(LOOPBACK, proxy.localPort).use { open ->
                    assertEquals(EchoResult.ECHO, open.sendEcho(), "before the command")
                    links.execute(checkNotNull(parseLinkCommand(case.command)))
                    assertEquals(case.onOpenConnection, open.sendEcho(), "on the open connection")
                }
                Socket(LOOPBACK, proxy.localPort).use {
                    assertEquals(case.onNewConnection, it.sendEcho(), "on a new connection")
                }
            }
        }
    }

    private fun echo(socket: Socket) {
        thread(isDaemon = true) {
            socket.use {
                var byte = it.getInputStream().read()
                while (byte >= 0) {
                    it.getOutputStream().write(byte)
                    byte = it.getInputStream().read()
                }
            }
        }
    }

    private fun Socket.sendEcho(): EchoResult {
        soTimeout = READ_TIMEOUT_MILLIS
        return try {
            getOutputStream().write(1)
            if (getInputStream().read() == 1) EchoResult.ECHO else EchoResult.CLOSED
        } catch (_: SocketTimeoutException) {
            EchoResult.TIMEOUT
        } catch (_: IOException) {
            EchoResult.CLOSED
        }
    }

    private companion object {
        const val BACKLOG = 8

        /** Much longer than an echo takes on loopback. */
        const val READ_TIMEOUT_MILLIS = 1_000
        val LOOPBACK: InetAddress = InetAddress.getLoopbackAddress()
        val IMMEDIATELY = TransferDecision.Forward(0)

        @JvmStatic
        fun commands(): List<CommandCase> = listOf(
            CommandCase("open", LinkCommand.SetCondition(LinkCondition.Open)),
            CommandCase("delay 120", LinkCommand.SetCondition(LinkCondition.Delayed(120))),
            CommandCase("cut", LinkCommand.SetCondition(LinkCondition.Blocked(setOf(TO_NODE, FROM_NODE)))),
            CommandCase("cut-to", LinkCommand.SetCondition(LinkCondition.Blocked(setOf(TO_NODE)))),
            CommandCase("cut-from", LinkCommand.SetCondition(LinkCondition.Blocked(setOf(FROM_NODE)))),
            CommandCase("reset", LinkCommand.Reset),
            CommandCase("silence", LinkCommand.Silence),
            CommandCase("delay", null),
            CommandCase("close", null),
            CommandCase("", null),
        )

        @JvmStatic
        fun transfers(): List<TransferCase> = listOf(
            TransferCase("an open link", LinkCondition.Open, false, IMMEDIATELY, IMMEDIATELY),
            TransferCase(
                "a delayed link",
                LinkCondition.Delayed(30),
                false,
                TransferDecision.Forward(30),
                TransferDecision.Forward(30),
            ),
            TransferCase(
                "a link blocked in one direction",
                LinkCondition.Blocked(setOf(TO_NODE)),
                false,
                TransferDecision.HoldBack,
                IMMEDIATELY,
            ),
            TransferCase(
                "a silenced connection",
                LinkCondition.Open,
                true,
                TransferDecision.HoldBack,
                TransferDecision.HoldBack,
            ),
        )

        @JvmStatic
        fun links(): List<LinkCase> = listOf(
            LinkCase("delay 30", EchoResult.ECHO, EchoResult.ECHO),
            LinkCase("cut-to", EchoResult.TIMEOUT, EchoResult.TIMEOUT),
            LinkCase("cut-from", EchoResult.TIMEOUT, EchoResult.TIMEOUT),
            LinkCase("silence", EchoResult.TIMEOUT, EchoResult.ECHO),
            LinkCase("reset", EchoResult.CLOSED, EchoResult.ECHO),
        )
    }
}
