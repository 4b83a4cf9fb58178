package boragelever.bench

import kotlin.random.Random

/** One-way network delays between hosts and the share of lost TCP segments. */
internal data class LinkSettings(
    val sameZoneMicros: Long = 500,
    val sameRegionMicros: Long = 1_000,
    val crossRegionMicros: Long = 24_000,
    val loss: Double = 0.01,
    /** Retransmission timeout of a lost segment; doubles with each further loss. */
    val retransmitMicros: Long = 200_000,
)

/**
 * Models the delays of messages over TCP connections.
 *
 * A lost segment delays its message by the retransmission timeout. It also delays all later messages of the connection,
 * since TCP delivers in order. No message is lost while both processes run.
 */
internal class Links(private val settings: LinkSettings, private val random: Random) {
    private val lastArrivals = HashMap<Long, Long>()

    /** One-way delay between two nodes, with a jitter of up to 10 percent. */
    fun delayMicros(from: BenchNode, to: BenchNode): Long = withJitter(baseDelayMicros(from, to))

    /** One-way delay between [node] and the store, with the same jitter. */
    fun storeDelayMicros(node: BenchNode): Long =
        withJitter(if (node.identity.region == STORE_REGION) settings.sameRegionMicros else settings.crossRegionMicros)

    /** Arrival time of a message of [sizeBytes] that is sent at [nowMicros]. */
    fun arrivalMicros(from: BenchNode, to: BenchNode, nowMicros: Long, sizeBytes: Int): Long {
        val segments = 1 + (sizeBytes - 1) / SEGMENT_BYTES
        val waitMicros = (0 until segments).maxOf { retransmissionMicros() }
        val atMicros = nowMicros + delayMicros(from, to) + waitMicros
        return orderedArrivalMicros(from, to, atMicros)
    }

    /** Opens a connection: the first message arrives no earlier than one round trip from [nowMicros]. */
    fun openConnection(from: BenchNode, to: BenchNode, nowMicros: Long) {
        orderedArrivalMicros(from, to, nowMicros + 2 * delayMicros(from, to))
    }

    /** Returns [atMicros] or the arrival time of the connection's previous message, whichever is later. */
    private fun orderedArrivalMicros(from: BenchNode, to: BenchNode, atMicros: Long): Long {
        val connection = from.number.toLong() shl Int.SIZE_BITS or to.number.toLong()
        val arrival = maxOf(atMicros, lastArrivals[connection] ?: 0)
        lastArrivals[connection] = arrival
        return arrival
    }

    private fun retransmissionMicros(): Long {
        var waitMicros = 0L
        var nextMicros = settings.retransmitMicros
        while (random.nextDouble() < settings.loss) {
            waitMicros += nextMicros
            nextMicros *= 2
        }
        return waitMicros
    }

    private fun baseDelayMicros(from: BenchNode, to: BenchNode): Long =
        when {
            from.identity.region != to.identity.region -> settings.crossRegionMicros
            from.identity.zone != to.identity.zone -> settings.sameRegionMicros
            else -> settings.sameZoneMicros
        }

    private fun withJitter(micros: Long): Long = micros + random.nextLong(micros / 10 + 1)
}

/** Payload of one TCP segment on Ethernet. */
private const val SEGMENT_BYTES = 1_448
