package boragelever.node

import boragelever.core.Incarnation
import boragelever.core.InstanceId
import boragelever.core.NetworkAddress
import boragelever.core.NodeId
import boragelever.core.RegionName
import boragelever.core.ZoneName
import boragelever.core.control.ControlState
import boragelever.core.control.Event
import boragelever.core.control.LifecycleState
import boragelever.core.control.NodeIdentity
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

private const val WAIT_MILLIS = 20_000L

/** Guards against events that are lost or run on several threads when producers outrun the control thread. */
class ControlLoopTest {
    @ParameterizedTest
    @CsvSource(
        "one producer below the queue's capacity,    1, 1000, false",
        "one producer beyond the queue's capacity,   1, 9000, false",
        "many producers beyond the queue's capacity, 8, 2000, false",
        "producers that do not wait,                 8, 2000, true",
    )
    fun `every submitted event is reduced once and on one thread`(
        case: String,
        producers: Int,
        eventsEach: Int,
        withoutWaiting: Boolean,
    ) = runBlocking {
        val loop = ControlLoop(ControlState(identity), { 0 }, seed = 1) {}
        val reduced = AtomicInteger()
        val threads = mutableSetOf<Thread>()
        val all = CountDownLatch(producers * eventsEach)
        // The stamp is added on the control thread, just before the event is reduced.
        val event = UnstampedEvent { stamp ->
            threads += Thread.currentThread()
            reduced.incrementAndGet()
            all.countDown()
            Event.UpstreamDeregistered(stamp, InstanceId("none"))
        }
        loop.start()
        withTimeout(WAIT_MILLIS) {
            repeat(producers) {
                launch(Dispatchers.Default) {
                    repeat(eventsEach) {
                        if (withoutWaiting) loop.submitFrom(this, event) else loop.submit(event)
                    }
                }
            }
        }
        assertEquals(true, all.await(WAIT_MILLIS, TimeUnit.MILLISECONDS), case)
        loop.stop()
        assertEquals(producers * eventsEach, reduced.get(), case)
        assertEquals(1, threads.size, case)
        assertEquals(LifecycleState.Running, loop.state.lifecycle, case)
        assertEquals(0L, loop.figures.failures, case)
    }

    private val identity =
        NodeIdentity(
            NodeId("a"),
            RegionName("khomas"),
            ZoneName("z"),
            NetworkAddress("127.0.0.1:1"),
            NetworkAddress("127.0.0.1:2"),
            Incarnation(1),
        )
}
