package boragelever.standin

import boragelever.core.store.StoreCommand
import boragelever.core.store.StoreFailure
import boragelever.core.store.StoreResult
import boragelever.platform.Platform
import boragelever.platform.isWrite
import kotlinx.coroutines.delay
import java.util.concurrent.atomic.AtomicReference

/** In-memory [Platform] for tests without HTTP. Several nodes may share one instance. */
public class MemoryPlatform : Platform {
    private val state = AtomicReference(PlatformState())

    /** Snapshot of the current state. */
    public val current: PlatformState get() = state.get()

    /** Executes [request] as one atomic step. */
    public fun submit(request: PlatformRequest): PlatformReply = state.reduceWith(request)

    override suspend fun execute(command: StoreCommand): StoreResult =
        when (val reply = state.awaitReply(command)) {
            is PlatformReply.Completed -> {
                delay(reply.delayMillis)
                reply.result
            }
            is PlatformReply.Broken -> {
                delay(reply.delayMillis)
                if (command.isWrite) {
                    StoreResult.StoreFailed(StoreFailure.OutcomeUnknown("The in-memory store lost the result"))
                } else {
                    StoreResult.StoreFailed(StoreFailure.Unavailable("The in-memory store is down"))
                }
            }
            else -> StoreResult.StoreFailed(StoreFailure.Unavailable("The in-memory store refuses requests"))
        }

    override fun close(): Unit = Unit
}

/** Applies [request] by compare-and-set and returns the reply; the reducer may run more than once under contention. */
internal fun AtomicReference<PlatformState>.reduceWith(request: PlatformRequest): PlatformReply {
    while (true) {
        val before = get()
        val step = reducePlatform(before, request)
        if (compareAndSet(before, step.state)) return step.reply
    }
}

/** Executes [command]; a wait for changes polls until the configuration changes or the wait time has elapsed. */
internal suspend fun AtomicReference<PlatformState>.awaitReply(command: StoreCommand): PlatformReply {
    val first = reduceWith(PlatformRequest.Execute(command))
    if (command !is StoreCommand.AwaitConfigSource) return first
    var reply = first
    var remainingMillis = command.waitMillis
    while (remainingMillis > 0 && reply.isUnchangedSource()) {
        delay(WATCH_POLL_MILLIS)
        remainingMillis -= WATCH_POLL_MILLIS
        val changed = (get().operatorConfig?.revision?.value ?: 0) > command.after.value
        if (changed || remainingMillis <= 0) reply = reduceWith(PlatformRequest.Execute(command))
    }
    return reply
}

private fun PlatformReply.isUnchangedSource(): Boolean =
    ((this as? PlatformReply.Completed)?.result as? StoreResult.ConfigSourceRead)?.let { it.config == null } ?: false

/** Polling interval for a change of the configuration that a request waits for. */
private const val WATCH_POLL_MILLIS = 10L
