package boragelever.node.proxy

import boragelever.core.ServiceName
import java.util.concurrent.ConcurrentHashMap

/** Long enough that one large response does not move a service with small ones. */
private val sizeAverage = ExponentialMovingAverage(newestWeight = 0.05)

/** Mean size in bytes from which the responses of a service are kept within the region, whose links are not billed. */
private const val LARGE_RESPONSE_BYTES = 20_000

/** Mean sizes of the responses of each service, as seen by this node. */
internal class ResponseSizes {
    private val means = ConcurrentHashMap<ServiceName, Double>()

    fun record(service: ServiceName, bytes: Long) {
        means.compute(service) { _, mean -> sizeAverage.update(mean, bytes.toDouble()) }
    }

    /** True if the responses of [service] are large, as those of a download service are. */
    fun isLarge(service: ServiceName): Boolean = (means[service] ?: 0.0) >= LARGE_RESPONSE_BYTES
}
