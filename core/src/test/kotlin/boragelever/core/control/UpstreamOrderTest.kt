package boragelever.core.control

import boragelever.core.InstanceId
import boragelever.core.NetworkAddress
import boragelever.core.ServiceName
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

/** Guards against delayed registrations that restore an earlier state of an upstream. */
class UpstreamOrderTest {
    /** The upstreams that are registered at the node after [steps], as `instance state`. */
    internal class Case(
        private val name: String,
        val expected: String,
        val steps: ReducerDriver.() -> Unit,
    ) {
        override fun toString(): String = name
    }

    @ParameterizedTest
    @MethodSource("cases")
    internal fun `the node has the expected upstreams`(case: Case) {
        val core = ReducerDriver().completeMemberScan()
        case.steps(core)
        val upstreams = core.state.discovery.upstreams.values.map { "${it.record.instance} ${it.record.state}" }
        assertEquals(case.expected, upstreams.sorted().joinToString())
    }

    private companion object {
        const val TTL_MILLIS = 4_500L

        fun ReducerDriver.register(
            started: Long,
            sequence: Long,
            state: UpstreamState = UpstreamState.SERVING,
            instance: String = "a",
            address: String = "127.0.0.1:1",
        ) {
            val record = UpstreamRecord(ServiceName("s"), InstanceId(instance), NetworkAddress(address), 9, 130, state)
            step { Event.UpstreamRegistered(it, record, TTL_MILLIS, RegistrationOrder(started, sequence)) }
        }

        fun ReducerDriver.deregister(started: Long? = null) {
            step { Event.UpstreamDeregistered(it, InstanceId("a"), started) }
        }

        fun ReducerDriver.crash() {
            step { Event.UpstreamCrashed(it, InstanceId("a"), emptyList()) }
        }

        @JvmStatic
        fun cases(): List<Case> = registrations() + removals()

        private fun removals(): List<Case> =
            listOf(
                Case("a late deregistration of an earlier start has no effect", "a SERVING") {
                    register(started = 6, sequence = 1)
                    deregister(started = 5)
                },
                Case("an upstream that deregistered twice can restart", "a SERVING") {
                    register(started = 5, sequence = 1)
                    deregister()
                    deregister()
                    register(started = 6, sequence = 1)
                },
                Case("a deregistration of an unknown upstream outdates the registrations of its start", "") {
                    deregister(started = 5)
                    register(started = 5, sequence = 9)
                },
                Case("a delayed registration does not restore a crashed upstream", "") {
                    register(started = 5, sequence = 2)
                    crash()
                    register(started = 5, sequence = 1)
                },
                Case("a crashed upstream registers again", "a SERVING") {
                    register(started = 5, sequence = 2)
                    crash()
                    register(started = 5, sequence = 3)
                },
                Case("a delayed registration does not restore an expired upstream", "") {
                    register(started = 5, sequence = 2)
                    tick(TTL_MILLIS)
                    register(started = 5, sequence = 1)
                },
            )

        private fun registrations(): List<Case> =
            listOf(
                Case("an older registration does not end the draining", "a DRAINING") {
                    register(started = 5, sequence = 2, state = UpstreamState.DRAINING)
                    register(started = 5, sequence = 1)
                },
                Case("a duplicate registration does not end the draining", "a DRAINING") {
                    register(started = 5, sequence = 2, state = UpstreamState.DRAINING)
                    register(started = 5, sequence = 2)
                },
                Case("a restarted upstream with the same instance id replaces the earlier one", "a SERVING") {
                    register(started = 5, sequence = 9, state = UpstreamState.DRAINING)
                    register(started = 6, sequence = 1)
                },
                Case("a delayed registration does not restore a deregistered upstream", "") {
                    register(started = 5, sequence = 1)
                    deregister()
                    register(started = 5, sequence = 2)
                },
                Case("a deregistered upstream can restart", "a SERVING") {
                    register(started = 5, sequence = 1)
                    deregister()
                    register(started = 6, sequence = 1)
                },
                Case("a later instance replaces an earlier one at the same address", "b SERVING") {
                    register(started = 5, sequence = 1)
                    register(started = 6, sequence = 1, instance = "b")
                },
                Case("a replaced instance does not take its address back", "b SERVING") {
                    register(started = 6, sequence = 1, instance = "b")
                    register(started = 5, sequence = 9)
                },
                Case("instances at different addresses coexist", "a SERVING, b SERVING") {
                    register(started = 5, sequence = 1)
                    register(started = 6, sequence = 1, instance = "b", address = "127.0.0.1:2")
                },
                Case("a registration that is not renewed expires", "") {
                    register(started = 5, sequence = 1)
                    tick(TTL_MILLIS)
                },
            )
    }
}
