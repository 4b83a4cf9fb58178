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

/** Guards against lost events and reductions on several threads when producers are faster than the control thread. */
class ControlLoopTest {
    @ParameterizedTest
    @CsvSource(
        "one producer below the queue capacity,   1, 1000, false",
        "one producer above the queue capacity,   1, 9000, false",
        "many producers above the queue capacity, 8, 2000, false",
        "producers that do not suspend,           8, 2000, true",
    )
    fun `every submitted event is reduced exactly once and all on the same thread`(
        case: String,
        producerCount: Int,
        eventsPerProducer: Int,
        withoutSuspending: Boolean,
    ) = runBlocking {
        val loop = ControlLoop(ControlState(identity), { 0 }, seed = 1) {}
        val reducedCount = AtomicInteger()
        val reducingThreads = mutableSetOf<Thread>()
        val allReduced = CountDownLatch(producerCount * eventsPerProducer)
        // The control thread calls the factory just before it reduces the event.
        val factory = EventFactory { context ->
            reducingThreads += Thread.currentThread()
            reducedCount.incrementAndGet()
            allReduced.countDown()
            Event.UpstreamDeregistered(context, InstanceId("none"))
        }
        loop.start()
        withTimeout(WAIT_MILLIS) {
            repeat(producerCount) {
                launch(Dispatchers.Default) {
                    repeat(eventsPerProducer) {
                        if (withoutSuspending) loop.submitFrom(this, factory) else loop.submit(factory)
                    }
                }
            }
        }
        assertEquals(true, allReduced.await(WAIT_MILLIS, TimeUnit.MILLISECONDS), case)
        loop.stop()
        assertEquals(producerCount * eventsPerProducer, reducedCount.get(), case)
        assertEquals(1, reducingThreads.size, case)
        assertEquals(LifecycleState.Running, loop.state.lifecycle, case)
        assertEquals(0L, loop.stats.failures, case)
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
