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

/** Guards against a proxy that spoils no link, or the wrong one, so that a run would prove nothing. */
class LinkProxyTest {
    internal class CommandCase(val text: String, val expected: LinkCommand?) {
        override fun toString() = text
    }

    @ParameterizedTest
    @MethodSource("commands")
    internal fun `a command is read`(case: CommandCase) {
        assertEquals(case.expected, parseLinkCommand(case.text))
    }

    internal class PassageCase(
        private val name: String,
        val condition: LinkCondition,
        val silenced: Boolean,
        val toNode: Passage,
        val fromNode: Passage,
    ) {
        override fun toString() = name
    }

    @ParameterizedTest
    @MethodSource("passages")
    internal fun `bytes pass as the condition says`(case: PassageCase) {
        assertEquals(case.toNode, case.condition.passage(TO_NODE, case.silenced))
        assertEquals(case.fromNode, case.condition.passage(FROM_NODE, case.silenced))
    }

    /** What a caller sees of an echo on a connection that is open at the command, and on one made after it. */
    internal class LinkCase(val command: String, val onOpen: Seen, val onNew: Seen) {
        override fun toString() = command
    }

    internal enum class Seen { ECHO, NOTHING, END }

    @ParameterizedTest
    @MethodSource("links")
    internal fun `a command holds for the connections that it names`(case: LinkCase) {
        ServerSocket(0, BACKLOG, LOOPBACK).use { echo ->
            thread(isDaemon = true) { acceptAll(echo, ::answer) }
            val links = NodeLinks()
            val target = InetSocketAddress(LOOPBACK, echo.localPort)
            links.listen(InetSocketAddress(LOOPBACK, 0), target).use { proxy ->
                Socket(LOOPBACK, proxy.localPort).use { open ->
                    assertEquals(Seen.ECHO, open.ask(), "before the command")
                    links.execute(checkNotNull(parseLinkCommand(case.command)))
                    assertEquals(case.onOpen, open.ask(), "on the open connection")
                }
                Socket(LOOPBACK, proxy.localPort).use { assertEquals(case.onNew, it.ask(), "on a new connection") }
            }
        }
    }

    private fun answer(socket: Socket) {
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

    private fun Socket.ask(): Seen {
        soTimeout = SILENCE_MILLIS
        return try {
            getOutputStream().write(1)
            if (getInputStream().read() == 1) Seen.ECHO else Seen.END
        } catch (_: SocketTimeoutException) {
            Seen.NOTHING
        } catch (_: IOException) {
            Seen.END
        }
    }

    private companion object {
        const val BACKLOG = 8

        /** Far above the time of an echo on loopback. */
        const val SILENCE_MILLIS = 1_000
        val LOOPBACK: InetAddress = InetAddress.getLoopbackAddress()
        val AT_ONCE = Passage.Goes(0)

        @JvmStatic
        fun commands(): List<CommandCase> = listOf(
            CommandCase("open", LinkCommand.Put(LinkCondition.Open)),
            CommandCase("delay 120", LinkCommand.Put(LinkCondition.Delayed(120))),
            CommandCase("cut", LinkCommand.Put(LinkCondition.Cut(setOf(TO_NODE, FROM_NODE)))),
            CommandCase("cut-to", LinkCommand.Put(LinkCondition.Cut(setOf(TO_NODE)))),
            CommandCase("cut-from", LinkCommand.Put(LinkCondition.Cut(setOf(FROM_NODE)))),
            CommandCase("reset", LinkCommand.Reset),
            CommandCase("silence", LinkCommand.Silence),
            CommandCase("delay", null),
            CommandCase("close", null),
            CommandCase("", null),
        )

        @JvmStatic
        fun passages(): List<PassageCase> = listOf(
            PassageCase("an open link", LinkCondition.Open, false, AT_ONCE, AT_ONCE),
            PassageCase("a delayed link", LinkCondition.Delayed(30), false, Passage.Goes(30), Passage.Goes(30)),
            PassageCase("a link cut one way", LinkCondition.Cut(setOf(TO_NODE)), false, Passage.Waits, AT_ONCE),
            PassageCase("a silenced connection", LinkCondition.Open, true, Passage.Waits, Passage.Waits),
        )

        @JvmStatic
        fun links(): List<LinkCase> = listOf(
            LinkCase("delay 30", Seen.ECHO, Seen.ECHO),
            LinkCase("cut-to", Seen.NOTHING, Seen.NOTHING),
            LinkCase("cut-from", Seen.NOTHING, Seen.NOTHING),
            LinkCase("silence", Seen.NOTHING, Seen.ECHO),
            LinkCase("reset", Seen.END, Seen.ECHO),
        )
    }
}
