package boragelever.node.proxy

import boragelever.core.ServiceName
import java.util.concurrent.ConcurrentHashMap

/** The small weight keeps one large response from making a service with small responses count as large. */
private val sizeMean = MovingMean(newestWeight = 0.05)

/** Mean size in bytes from which calls of a service stay within the region, where traffic is not billed. */
private const val LARGE_RESPONSE_BYTES = 20_000

/** Mean response sizes of each service, as observed by this node. */
internal class ResponseSizes {
    private val means = ConcurrentHashMap<ServiceName, Double>()

    /** Records the size of a complete response body. */
    fun record(service: ServiceName, bytes: Long) {
        means.compute(service) { _, mean -> sizeMean.update(mean, bytes.toDouble()) }
    }

    /** True if the mean response size of [service] is large, as for downloads. */
    fun isLarge(service: ServiceName): Boolean = (means[service] ?: 0.0) >= LARGE_RESPONSE_BYTES
}
