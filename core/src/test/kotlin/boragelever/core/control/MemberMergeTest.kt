package boragelever.core.control

import boragelever.core.Incarnation
import boragelever.core.control.MemberStatus.ALIVE
import boragelever.core.control.MemberStatus.DEAD
import boragelever.core.control.MemberStatus.SUSPECT
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.Arguments
import org.junit.jupiter.params.provider.Arguments.arguments
import org.junit.jupiter.params.provider.MethodSource
import kotlin.random.Random

/** Guards against stale records that replace newer ones, and against tables that depend on the order of updates. */
class MemberMergeTest {
    private val records = MeshSize(2, 2, 3).identities().map { ReducerDriver.record(it) }

    private fun update(node: Int, incarnation: Long, sequence: Long, status: MemberStatus): MemberStatusRecord =
        MemberStatusRecord(records[node].copy(incarnation = Incarnation(incarnation), sequence = sequence), status)

    @ParameterizedTest
    @MethodSource("merges")
    fun `the newer record wins and at the same version the worse status wins`(
        known: Triple<Long, Long, MemberStatus>,
        received: Triple<Long, Long, MemberStatus>,
        isNewer: Boolean,
    ) {
        val before = update(0, known.first, known.second, known.third)
        val table = MemberTable().put(Member(before.record, before.status, 0))
        val after = table.merge(update(0, received.first, received.second, received.third), 1)
        assertEquals(isNewer, after != null)
    }

    @ParameterizedTest
    @MethodSource("refutations")
    fun `a node refutes wrong records about itself`(
        incarnation: Long,
        sequence: Long,
        status: MemberStatus,
        isRefuted: Boolean,
    ) {
        val core = ReducerDriver()
        val wrongRecord = checkNotNull(core.state.membership.localRecord)
            .copy(incarnation = Incarnation(incarnation), sequence = sequence)
        core.receive(PeerMessage.MemberUpdate(1, listOf(MemberStatusRecord(wrongRecord, status)), TreeScope.SELF))
        val localRecord = checkNotNull(core.state.membership.localRecord)
        assertEquals(isRefuted, localRecord.incarnation > Incarnation(1_000))
        assertEquals(
            isRefuted,
            core.sent.any { it is PeerMessage.MemberUpdate && it.records.any { r -> r.record == localRecord } },
        )
        assertEquals(ALIVE, core.state.membership.table[localRecord.node]?.status)
        if (isRefuted) assertTrue(localRecord.version > wrongRecord.version)
    }

    @ParameterizedTest
    @MethodSource("seeds")
    fun `digest and rings do not depend on the order of updates`(seed: Int) {
        val random = Random(seed)
        val updates = List(60) {
            val status = MemberStatus.entries[random.nextInt(3)]
            update(random.nextInt(records.size), random.nextLong(3), random.nextLong(3), status)
        }
        val known = records.map { MemberStatusRecord(it.copy(incarnation = Incarnation(-1)), ALIVE) }
        val tables = List(3) {
            (known + updates.shuffled(random)).fold(MemberTable()) { table, next -> table.merge(next, 0) ?: table }
        }
        assertEquals(1, tables.map { it.digest }.distinct().size)
        assertEquals(1, tables.map { table -> table.regions.mapValues { it.value.ring } }.distinct().size)
    }

    private companion object {
        @JvmStatic
        fun merges(): List<Arguments> =
            listOf(
                arguments(Triple(5L, 1L, ALIVE), Triple(5L, 2L, ALIVE), true),
                arguments(Triple(5L, 1L, DEAD), Triple(6L, 0L, ALIVE), true),
                arguments(Triple(5L, 1L, ALIVE), Triple(5L, 1L, SUSPECT), true),
                arguments(Triple(5L, 1L, SUSPECT), Triple(5L, 1L, DEAD), true),
                arguments(Triple(5L, 1L, SUSPECT), Triple(5L, 1L, ALIVE), false),
                arguments(Triple(5L, 1L, DEAD), Triple(5L, 1L, DEAD), false),
                arguments(Triple(5L, 1L, ALIVE), Triple(4L, 9L, DEAD), false),
                arguments(Triple(5L, 1L, ALIVE), Triple(5L, 0L, SUSPECT), false),
            )

        @JvmStatic
        fun refutations(): List<Arguments> =
            listOf(
                arguments(1_000L, 0L, ALIVE, false),
                arguments(1_000L, 0L, SUSPECT, true),
                arguments(1_000L, 0L, DEAD, true),
                arguments(999L, 7L, DEAD, false),
                arguments(1_005L, 0L, ALIVE, true),
            )

        @JvmStatic
        fun seeds(): List<Int> = listOf(1, 2, 3, 4, 5, 6)
    }
}
