package boragelever.bench

import kotlin.random.Random

/** Delays of the paths between hosts and the share of lost segments. */
internal data class LinkSettings(
    val zoneMicros: Long = 500,
    val regionMicros: Long = 1_000,
    val remoteMicros: Long = 24_000,
    val loss: Double = 0.01,
    /** Wait after which a lost segment is sent again; doubles with each further loss. */
    val retransmitMicros: Long = 200_000,
)

/**
 * Delays of messages over TCP connections.
 *
 * A lost segment delays its message by the wait for the retransmission, and all later messages of the connection with
 * it, since TCP delivers in order. No message is lost while both processes run.
 */
internal class Links(private val settings: LinkSettings, private val random: Random) {
    private val lastArrivals = HashMap<Long, Long>()

    /** One-way delay between two places, with a jitter of up to a tenth. */
    fun delayMicros(from: BenchNode, to: BenchNode): Long = withJitter(baseMicros(from, to))

    /** One-way delay between [node] and the store. */
    fun storeDelayMicros(node: BenchNode): Long =
        withJitter(if (node.identity.region == STORE_REGION) settings.regionMicros else settings.remoteMicros)

    /** Time at which a message of [sizeBytes] that is sent at [nowMicros] arrives. */
    fun arrivalMicros(from: BenchNode, to: BenchNode, nowMicros: Long, sizeBytes: Int): Long {
        val segments = 1 + (sizeBytes - 1) / SEGMENT_BYTES
        val waitMicros = (0 until segments).maxOf { retransmissionMicros() }
        val atMicros = nowMicros + delayMicros(from, to) + waitMicros
        return inOrder(from, to, atMicros)
    }

    /** Opens a connection: nothing arrives on it before a round trip has passed. */
    fun open(from: BenchNode, to: BenchNode, nowMicros: Long) {
        inOrder(from, to, nowMicros + 2 * delayMicros(from, to))
    }

    private fun inOrder(from: BenchNode, to: BenchNode, atMicros: Long): Long {
        val link = from.number.toLong() shl Int.SIZE_BITS or to.number.toLong()
        val arrival = maxOf(atMicros, lastArrivals[link] ?: 0)
        lastArrivals[link] = arrival
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

    private fun baseMicros(from: BenchNode, to: BenchNode): Long =
        when {
            from.identity.region != to.identity.region -> settings.remoteMicros
            from.identity.zone != to.identity.zone -> settings.regionMicros
            else -> settings.zoneMicros
        }

    private fun withJitter(micros: Long): Long = micros + random.nextLong(micros / 10 + 1)
}

/** Payload of one TCP segment on Ethernet. */
private const val SEGMENT_BYTES = 1_448
