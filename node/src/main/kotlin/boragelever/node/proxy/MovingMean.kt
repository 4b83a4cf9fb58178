package boragelever.node.proxy

/** Exponential moving average in which the newest value has the weight [newestWeight], between 0 and 1. */
internal class MovingMean(private val newestWeight: Double) {
    /** Returns the average including [newest]; [previous] is `null` if there is no earlier value. */
    fun update(previous: Double?, newest: Double): Double =
        if (previous == null) newest else previous + (newest - previous) * newestWeight
}
