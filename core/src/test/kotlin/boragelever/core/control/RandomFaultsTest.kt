package boragelever.core.control

import boragelever.core.FileName
import boragelever.core.Handling
import boragelever.core.Session
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import kotlin.random.Random

/**
 * Guards against sequences of faults that no scenario covers.
 *
 * [Session] fails if a version number ever identifies two documents, or if the head or a node goes back to an older
 * version.
 */
class RandomFaultsTest {
    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24])
    fun `after random faults the last folder is published`(seed: Long) {
        val random = Random(seed)
        val session = Session(listOf("n1", "n2", "n3"))
        session.start()
        repeat(STEPS) { step -> session.injectFaults(random, step) }
        session.handling = { _, _ -> Handling.EXECUTE }
        session.nodes.forEach(session::resume)
        session.executeHeld()
        session.run(RECOVERY_MILLIS)
        val texts = session.folder.values.associate { it.substringBefore(": ") to it.substringAfter(": ") }
        assertEquals(texts, session.published)
        val holders = session.nodes.filter { session.state(it).lease is LeaseState.Held }
        assertEquals(listOf(session.lease?.holder), holders)
        assertTrue(checkNotNull(session.head).version.value > 1)
    }

    private fun Session.injectFaults(random: Random, step: Int) {
        if (random.nextInt(3) == 0) folder[FileName("${random.nextInt(3)}.yaml")] = "k${random.nextInt(3)}: $step"
        if (random.nextInt(5) == 0) pause(nodes.random(random)) else nodes.forEach(::resume)
        if (random.nextInt(4) == 0) executeHeld()
        val faultPercent = if (random.nextInt(3) == 0) FAULTY_PERCENT else 0
        handling = { _, _ ->
            if (random.nextInt(100) < faultPercent) FAULTS.random(random) else Handling.EXECUTE
        }
        run(random.nextLong(100, 3_000))
    }

    private companion object {
        const val STEPS = 40
        const val FAULTY_PERCENT = 40
        const val RECOVERY_MILLIS = 40_000L
        val FAULTS = Handling.entries - Handling.EXECUTE
    }
}
