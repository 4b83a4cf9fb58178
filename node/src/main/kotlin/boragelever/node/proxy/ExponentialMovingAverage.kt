package boragelever.node.proxy

/** Mean in which the newest value has a share of [newestWeight]; the first value stands as it is. */
internal class ExponentialMovingAverage(private val newestWeight: Double) {
    /** The mean after [newest]; [before] is `null` if there was no value before. */
    fun update(previous: Double?, newest: Double): Double =
        if (previous == null) newest else previous + (newest - previous) * newestWeight
}
