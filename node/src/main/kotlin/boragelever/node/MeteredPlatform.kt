package boragelever.node

import boragelever.core.store.StoreAnswer
import boragelever.core.store.StoreCommand
import boragelever.core.store.StoreFailure
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
public class MeteredPlatform(private val platform: Platform, private val clock: Clock) : Platform {
    private val reads = LongAdder()
    private val writes = LongAdder()
    private val failures = LongAdder()
    private val answeredAt = AtomicLong(NEVER)

    /** Figures as of now. */
    public val figures: StoreFigures
        get() = StoreFigures(reads.sum(), writes.sum(), failures.sum(), answeredAt.get().takeIf { it != NEVER })

    override suspend fun execute(command: StoreCommand): StoreAnswer {
        (if (command.isWrite) writes else reads).increment()
        val answer = platform.execute(command)
        if (answer is StoreAnswer.StoreFailed && answer.failure !is StoreFailure.Invalid) {
            failures.increment()
        } else {
            answeredAt.set(clock.nowMillis())
        }
        return answer
    }

    override fun close() {
        platform.close()
    }

    private companion object {
        const val NEVER = Long.MIN_VALUE
    }
}
