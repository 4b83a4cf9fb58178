package boragelever.node

import boragelever.core.store.StoreCommand
import boragelever.core.store.StoreFailure
import boragelever.core.store.StoreResult
import boragelever.platform.Platform
import boragelever.platform.isWrite
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.LongAdder

/** Store commands since the start. */
public data class StoreFigures(
    public val reads: Long,
    public val writes: Long,
    public val failures: Long,
    /** Monotonic time in milliseconds of the last answer that was no failure, or `null`. */
    public val answeredAtMillis: Long?,
)

/** Counts the commands that pass to [platform]. */
public class MeteredPlatform private constructor(
    private val platform: Platform,
    private val clock: Clock,
    private val counters: StoreCounters,
) : Platform {
    public constructor(platform: Platform, clock: Clock) : this(platform, clock, StoreCounters())

    /** Figures as of now, with those of every platform from [metering]. */
    public val figures: StoreFigures get() = counters.figures()

    /** Returns a platform that counts the commands to [other] together with those of this one. */
    public fun metering(other: Platform): MeteredPlatform = MeteredPlatform(other, clock, counters)

    override suspend fun execute(command: StoreCommand): StoreResult {
        counters.countCommand(command)
        val answer = platform.execute(command)
        counters.countAnswer(answer, clock.nowMillis())
        return answer
    }

    override fun close() {
        platform.close()
    }
}

private class StoreCounters {
    private val reads = LongAdder()
    private val writes = LongAdder()
    private val failures = LongAdder()
    private val answeredAt = AtomicLong(NEVER)

    fun figures(): StoreFigures =
        StoreFigures(reads.sum(), writes.sum(), failures.sum(), answeredAt.get().takeIf { it != NEVER })

    fun countCommand(command: StoreCommand) {
        (if (command.isWrite) writes else reads).increment()
    }

    fun countAnswer(answer: StoreResult, nowMillis: Long) {
        if (answer is StoreResult.StoreFailed && answer.failure !is StoreFailure.Invalid) {
            failures.increment()
        } else {
            answeredAt.set(nowMillis)
        }
    }

    private companion object {
        const val NEVER = Long.MIN_VALUE
    }
}
