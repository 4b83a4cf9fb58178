package boragelever.standin

import boragelever.core.store.StoreCommand
import boragelever.core.store.StoreFailure
import boragelever.core.store.StoreResult
import boragelever.platform.Platform
import boragelever.platform.isWrite
import kotlinx.coroutines.delay
import java.util.concurrent.atomic.AtomicReference

/** Platform in memory, for tests without HTTP. Several nodes may share one. */
public class MemoryPlatform : Platform {
    private val state = AtomicReference(PlatformState())

    /** State as of now. */
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
                    StoreResult.StoreFailed(StoreFailure.OutcomeUnknown("The answer of the store in memory was lost"))
                } else {
                    StoreResult.StoreFailed(StoreFailure.Unavailable("The store in memory is down"))
                }
            }
            else -> StoreResult.StoreFailed(StoreFailure.Unavailable("The store in memory refuses requests"))
        }

    override fun close(): Unit = Unit
}

/** Replaces the state by that after [request]; the reducer may run more than once under contention. */
internal fun AtomicReference<PlatformState>.reduceWith(request: PlatformRequest): PlatformReply {
    while (true) {
        val before = get()
        val step = reducePlatform(before, request)
        if (compareAndSet(before, step.state)) return step.reply
    }
}

/** Executes [command]; a wait for changes is repeated until there is one or its time is over. */
internal suspend fun AtomicReference<PlatformState>.awaitReply(command: StoreCommand): PlatformReply {
    val first = reduceWith(PlatformRequest.Execute(command))
    if (command !is StoreCommand.AwaitConfigSource) return first
    var reply = first
    var leftMillis = command.waitMillis
    while (leftMillis > 0 && reply.isUnchangedSource()) {
        delay(WATCH_POLL_MILLIS)
        leftMillis -= WATCH_POLL_MILLIS
        val changed = (get().operatorConfig?.revision?.value ?: 0) > command.after.value
        if (changed || leftMillis <= 0) reply = reduceWith(PlatformRequest.Execute(command))
    }
    return reply
}

private fun PlatformReply.isUnchangedSource(): Boolean =
    ((this as? PlatformReply.Completed)?.result as? StoreResult.ConfigSourceRead)?.let { it.config == null } ?: false

/** Interval at which the stand-in looks for a change that a request waits for. */
private const val WATCH_POLL_MILLIS = 10L
