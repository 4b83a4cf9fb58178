package boragelever.node.peer

import java.util.concurrent.atomic.LongAdder

/** Volume of control traffic between nodes in bytes, including handshakes and length fields. */
public data class ControlTraffic(
    public val receivedSameRegionBytes: Long,
    public val sentSameRegionBytes: Long,
    public val receivedOtherRegionBytes: Long,
    public val sentOtherRegionBytes: Long,
)

/** Thread-safe counters behind [ControlTraffic]. */
internal class ControlTrafficCounters {
    private val receivedSame = LongAdder()
    private val sentSame = LongAdder()
    private val receivedOther = LongAdder()
    private val sentOther = LongAdder()

    val current: ControlTraffic
        get() = ControlTraffic(receivedSame.sum(), sentSame.sum(), receivedOther.sum(), sentOther.sum())

    fun received(sizeBytes: Int, sameRegion: Boolean) {
        (if (sameRegion) receivedSame else receivedOther).add(sizeBytes.toLong())
    }

    fun sent(sizeBytes: Int, sameRegion: Boolean) {
        (if (sameRegion) sentSame else sentOther).add(sizeBytes.toLong())
    }
}
