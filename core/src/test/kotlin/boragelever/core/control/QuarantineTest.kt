package boragelever.core.control

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

/**
 * Guards against a request that goes on crashing instances, and against the refusal of a request that was running at
 * crashes that it did not cause.
 */
class QuarantineTest {
    /** What callers send in a mesh with one instance beside each of six nodes, and what goes wrong. */
    internal class Case(
        private val name: String,
        val dangerous: Requests? = null,
        val popular: Requests? = null,
        val runMillis: Long = 60_000,
        val story: Scene.() -> Unit = {},
    ) {
        override fun toString(): String = name
    }

    /** A case in progress. */
    internal class Scene(val mesh: FakeMesh, val traffic: QuarantineTraffic, val case: Case) {
        val nodes get() = mesh.nodes

        /** Time from which the requests of a popular kind must be served. */
        var calmFromMillis = mesh.nowMillis

        fun sendAll(forMillis: Long = case.runMillis) {
            listOfNotNull(case.dangerous, case.popular).forEach { traffic.send(it, forMillis) }
        }

        /** Crashes the instances beside [crashed]; [SETTLE_MILLIS] after their return, all is to be served again. */
        fun crash(crashed: List<FakeNode>) {
            crashed.forEach { traffic.crash(it) }
            calmFromMillis = mesh.nowMillis + traffic.restartMillis + SETTLE_MILLIS
        }
    }

    @ParameterizedTest
    @MethodSource("dangerous", "popular", "both")
    internal fun `only requests that crash instances are stopped`(case: Case) {
        SEEDS.forEach { seed ->
            val scene = start(case, seed)
            case.story(scene)
            scene.mesh.runFor(case.runMillis)
            case.dangerous?.let { assertStopped(it, "seed $seed") }
            case.popular?.let { assertServed(it, scene.calmFromMillis, "seed $seed") }
        }
    }

    private fun start(case: Case, seed: Int): Scene {
        listOfNotNull(case.dangerous, case.popular).forEach {
            it.startsMillis.clear()
            it.crashesMillis.clear()
            it.results.clear()
        }
        val mesh = FakeMesh(MeshSize(2, 1, 3), seed)
        mesh.nodes.forEach { mesh.start(it) }
        mesh.runFor(8_000)
        mesh.publish(mesh.nodes.first(), 1)
        mesh.nodes.forEach { mesh.registerUpstream(it, UpstreamState.SERVING) }
        assertNotNull(mesh.runUntil(10_000) { mesh.hasConverged(1) && mesh.nodes.all { it.endpointCount() == 6 } })
        return Scene(mesh, QuarantineTraffic(mesh, seed), case)
    }

    private fun FakeNode.endpointCount(): Int =
        state.snapshot?.services?.get(QuarantineTraffic.SERVICE)?.endpoints?.size ?: 0

    /** The bound of the users: three retries later than [CONTACT_MILLIS] after the third crash. */
    private fun assertStopped(requests: Requests, seed: String) {
        assertTrue(requests.crashesMillis.size >= 2, "$seed: only ${requests.crashesMillis.size} crashes")
        val thirdMillis = requests.crashesMillis.getOrNull(2) ?: return
        val late = requests.startsMillis.filter { it > thirdMillis + CONTACT_MILLIS }
        assertTrue(late.size <= 3, "$seed: ${late.size} starts after the third crash, at $thirdMillis: $late")
    }

    private fun assertServed(requests: Requests, fromMillis: Long, seed: String) {
        val calm = requests.results.filter { (sentMillis, _) -> sentMillis >= fromMillis }
        assertTrue(calm.size >= 3, "$seed: too few requests")
        val failed = calm.filterNot { (_, served) -> served }
        assertEquals(emptyList<Pair<Long, Boolean>>(), failed.take(5), "$seed: ${failed.size} of ${calm.size} failed")
    }

    private companion object {
        val SEEDS = 1..3
        const val CONTACT_MILLIS = 3_000L
        const val MINUTE_MILLIS = 60_000L

        /** Time after the return of the instances in which evidence, if need be from a trial, ends a quarantine. */
        const val SETTLE_MILLIS = 6_000L

        fun dangerous(everyMillis: Long) = Requests("dangerous", everyMillis, isDangerous = true)

        fun popular(everyMillis: Long, runMillis: Long = 300) = Requests("popular", everyMillis, runMillis)

        @JvmStatic
        fun dangerous(): List<Case> =
            listOf(
                Case("often, at any node", dangerous(50)) { sendAll() },
                Case("rarely, at any node", dangerous(2_500)) { sendAll() },
                Case("with minutes between the crashes", dangerous(4 * MINUTE_MILLIS), runMillis = 60 * MINUTE_MILLIS) {
                    sendAll()
                },
                Case("while nodes restart one after the other", dangerous(200)) {
                    sendAll()
                    (1..12).forEach { mesh.schedule(it * 4_000L) { traffic.restart(nodes[it % nodes.size]) } }
                },
                Case("while all nodes restart at once", dangerous(200)) {
                    sendAll()
                    mesh.schedule(20_000) { nodes.forEach { traffic.restart(it) } }
                },
                Case("sent to a node that was cut off during the crashes", dangerous(100)) {
                    mesh.partition { it == nodes.last() }
                    traffic.send(checkNotNull(case.dangerous), 4_000, nodes.dropLast(1))
                    mesh.runFor(5_000)
                    mesh.heal()
                    traffic.send(checkNotNull(case.dangerous), case.runMillis)
                },
                Case("while messages between nodes are lost", dangerous(100)) {
                    mesh.faults = Faults(loss = 0.3)
                    sendAll()
                },
            )

        @JvmStatic
        fun popular(): List<Case> =
            listOf(12L to 300L, 100L to 300L, 2_000L to 300L, 1_000L to 2_500L, 4_000L to 9_000L)
                .flatMap { (everyMillis, runMillis) ->
                    val requests = popular(everyMillis, runMillis)

                    fun case(name: String, story: Scene.() -> Unit) =
                        Case("$name, every $everyMillis ms for $runMillis ms", popular = requests, story = story)
                    crashes(::case)
                }

        private fun crashes(case: (String, Scene.() -> Unit) -> Case): List<Case> =
            listOf(
                case("two instances crash at once") { afterRunUp { crash(nodes.take(2)) } },
                case("two instances crash and don't return") {
                    traffic.restartMillis = 10 * MINUTE_MILLIS
                    afterRunUp {
                        crash(nodes.take(2))
                        calmFromMillis = mesh.nowMillis + SETTLE_MILLIS
                    }
                },
                case("all instances but one crash") { afterRunUp { crash(nodes.drop(1)) } },
                case("all instances crash") { afterRunUp { crash(nodes) } },
                case("the instances crash in a row") {
                    afterRunUp {
                        nodes.forEachIndexed { index, node -> mesh.schedule(index * 700L) { crash(listOf(node)) } }
                        mesh.runFor(nodes.size * 700L)
                    }
                },
                case("a third of the instances crashes several times") {
                    afterRunUp {
                        (0..2).forEach { mesh.schedule(it * 8_000L) { crash(nodes.shuffled().take(2)) } }
                        mesh.runFor(17_000)
                    }
                },
                case("all instances crash before any run has ended") {
                    sendAll()
                    mesh.runFor(250)
                    crash(nodes)
                },
                case("instances crash beside nodes that have just started") {
                    afterRunUp {
                        nodes.take(2).forEach { traffic.restart(it) }
                        mesh.runFor(4_000)
                        crash(nodes.take(2))
                    }
                },
            )

        /** Sends for a while before [story], as callers of a page do that has been in use. */
        private fun Scene.afterRunUp(story: Scene.() -> Unit) {
            sendAll(forMillis = case.runMillis + 12_000)
            mesh.runFor(12_000)
            story()
        }

        @JvmStatic
        fun both(): List<Case> =
            listOf(
                Case("a dangerous request beside a popular one", dangerous(150), popular(12)) {
                    traffic.send(checkNotNull(case.popular), case.runMillis + 5_000)
                    mesh.runFor(5_000)
                    traffic.send(checkNotNull(case.dangerous), case.runMillis)
                    calmFromMillis = mesh.nowMillis + 80_000
                    mesh.schedule(30_000) { calmFromMillis = mesh.nowMillis }
                },
            )
    }
}
