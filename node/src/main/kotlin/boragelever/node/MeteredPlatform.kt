package boragelever.node

import boragelever.core.store.StoreCommand
import boragelever.core.store.StoreFailure
import boragelever.core.store.StoreResult
import boragelever.platform.Platform
import boragelever.platform.isWrite
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.LongAdder

/** Statistics of store commands since the start. */
public data class StoreStats(
    /** Read commands sent. */
    public val reads: Long,
    /** Write commands sent. */
    public val writes: Long,
    /** Commands that failed because the store was unavailable or its response was lost. */
    public val failures: Long,
    /** Monotonic time in milliseconds of the last response of the store, or `null` if there was none. */
    public val lastResponseMillis: Long?,
)

/** Counts the commands executed by [platform] and their failures. */
public class MeteredPlatform private constructor(
    private val platform: Platform,
    private val clock: Clock,
    private val counters: StoreCounters,
) : Platform {
    public constructor(platform: Platform, clock: Clock) : this(platform, clock, StoreCounters())

    /** Current statistics, including those of all platforms returned by [metering]. */
    public val stats: StoreStats get() = counters.snapshot()

    /** Returns a platform that delegates to [other] and shares the counters of this one. */
    public fun metering(other: Platform): MeteredPlatform = MeteredPlatform(other, clock, counters)

    override suspend fun execute(command: StoreCommand): StoreResult {
        counters.countCommand(command)
        val result = platform.execute(command)
        counters.countResult(result, clock.nowMillis())
        return result
    }

    override fun close() {
        platform.close()
    }
}

private class StoreCounters {
    private val reads = LongAdder()
    private val writes = LongAdder()
    private val failures = LongAdder()
    private val lastResponseMillis = AtomicLong(NEVER)

    fun snapshot(): StoreStats =
        StoreStats(reads.sum(), writes.sum(), failures.sum(), lastResponseMillis.get().takeIf { it != NEVER })

    fun countCommand(command: StoreCommand) {
        (if (command.isWrite) writes else reads).increment()
    }

    fun countResult(result: StoreResult, nowMillis: Long) {
        if (result is StoreResult.StoreFailed && result.failure !is StoreFailure.Invalid) {
            failures.increment()
        } else {
            lastResponseMillis.set(nowMillis)
        }
    }

    private companion object {
        const val NEVER = Long.MIN_VALUE
    }
}
