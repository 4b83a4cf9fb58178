package boragelever.node.peer

import java.util.concurrent.atomic.LongAdder

/** Volume of control traffic in bytes, hellos and length fields included. */
public data class ControlBytes(
    public val inSameRegion: Long,
    public val outSameRegion: Long,
    public val inOtherRegion: Long,
    public val outOtherRegion: Long,
)

/** Counters behind [ControlBytes]. */
internal class TrafficBytes {
    private val inSame = LongAdder()
    private val outSame = LongAdder()
    private val inOther = LongAdder()
    private val outOther = LongAdder()

    val current: ControlBytes get() = ControlBytes(inSame.sum(), outSame.sum(), inOther.sum(), outOther.sum())

    fun received(sizeBytes: Int, sameRegion: Boolean) {
        (if (sameRegion) inSame else inOther).add(sizeBytes.toLong())
    }

    fun sent(sizeBytes: Int, sameRegion: Boolean) {
        (if (sameRegion) outSame else outOther).add(sizeBytes.toLong())
    }
}
