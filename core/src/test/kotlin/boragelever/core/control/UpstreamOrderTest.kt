package boragelever.core.control

import boragelever.core.InstanceId
import boragelever.core.NetworkAddress
import boragelever.core.ServiceName
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

/** Guards against delayed announcements that bring back what an upstream has left behind. */
class UpstreamOrderTest {
    /** The upstreams beside the node after [steps], as `instance state`. */
    internal class Case(
        private val failure: String,
        val expected: String,
        val steps: ReducerDriver.() -> Unit,
    ) {
        override fun toString(): String = failure
    }

    @ParameterizedTest
    @MethodSource("cases")
    internal fun `the node keeps`(case: Case) {
        val core = ReducerDriver()
        case.steps(core)
        val upstreams = core.state.discovery.upstreams.values.map { "${it.record.instance} ${it.record.state}" }
        assertEquals(case.expected, upstreams.sorted().joinToString())
    }

    private companion object {
        const val TTL_MILLIS = 4_500L

        fun ReducerDriver.announce(
            born: Long,
            sequence: Long,
            state: UpstreamState = UpstreamState.SERVING,
            instance: String = "a",
            address: String = "127.0.0.1:1",
        ) {
            val record =
                UpstreamRecord(ServiceName("s"), InstanceId(instance), NetworkAddress(address), 9, 130, state)
            step { Event.UpstreamRegistered(it, record, TTL_MILLIS, RegistrationOrder(born, sequence)) }
        }

        fun ReducerDriver.withdraw(instance: String = "a") {
            step { Event.UpstreamDeregistered(it, InstanceId(instance)) }
        }

        @JvmStatic
        fun cases(): List<Case> =
            listOf(
                Case("an older announcement ends the draining", "a DRAINING") {
                    announce(born = 5, sequence = 2, state = UpstreamState.DRAINING)
                    announce(born = 5, sequence = 1)
                },
                Case("the same announcement counts twice", "a DRAINING") {
                    announce(born = 5, sequence = 2, state = UpstreamState.DRAINING)
                    announce(born = 5, sequence = 2)
                },
                Case("a new start under the same name is taken for an old one", "a SERVING") {
                    announce(born = 5, sequence = 9, state = UpstreamState.DRAINING)
                    announce(born = 6, sequence = 1)
                },
                Case("a late announcement brings back an upstream that has left", "") {
                    announce(born = 5, sequence = 1)
                    withdraw()
                    announce(born = 5, sequence = 2)
                },
                Case("an upstream that has left can't start again", "a SERVING") {
                    announce(born = 5, sequence = 1)
                    withdraw()
                    announce(born = 6, sequence = 1)
                },
                Case("two instances share an address", "b SERVING") {
                    announce(born = 5, sequence = 1)
                    announce(born = 6, sequence = 1, instance = "b")
                },
                Case("an instance that is gone takes its address back", "b SERVING") {
                    announce(born = 6, sequence = 1, instance = "b")
                    announce(born = 5, sequence = 9)
                },
                Case("instances at different addresses exclude each other", "a SERVING, b SERVING") {
                    announce(born = 5, sequence = 1)
                    announce(born = 6, sequence = 1, instance = "b", address = "127.0.0.1:2")
                },
                Case("an upstream that fell silent stays", "") {
                    announce(born = 5, sequence = 1)
                    tick(TTL_MILLIS)
                },
            )
    }
}
