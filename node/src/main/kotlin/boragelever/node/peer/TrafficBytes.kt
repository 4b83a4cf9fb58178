package boragelever.node.peer

import java.util.concurrent.atomic.LongAdder

/** Volume of control traffic between nodes in bytes, including handshakes and length fields. */
public data class ControlBytes(
    public val inSameRegion: Long,
    public val outSameRegion: Long,
    public val inOtherRegion: Long,
    public val outOtherRegion: Long,
)

/** Thread-safe counters behind [ControlBytes]. */
internal class TrafficBytes {
    private val receivedSame = LongAdder()
    private val sentSame = LongAdder()
    private val receivedOther = LongAdder()
    private val sentOther = LongAdder()

    val current: ControlBytes
        get() = ControlBytes(receivedSame.sum(), sentSame.sum(), receivedOther.sum(), sentOther.sum())

    fun received(sizeBytes: Int, sameRegion: Boolean) {
        (if (sameRegion) receivedSame else receivedOther).add(sizeBytes.toLong())
    }

    fun sent(sizeBytes: Int, sameRegion: Boolean) {
        (if (sameRegion) sentSame else sentOther).add(sizeBytes.toLong())
    }
}
