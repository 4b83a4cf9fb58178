package boragelever.standin

import boragelever.core.store.StoreAnswer
import boragelever.core.store.StoreCommand
import boragelever.core.store.StoreFailure
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

    override suspend fun execute(command: StoreCommand): StoreAnswer =
        when (val reply = submit(PlatformRequest.Execute(command))) {
            is PlatformReply.Answered -> {
                delay(reply.delayMillis)
                reply.answer
            }
            is PlatformReply.Broken -> {
                delay(reply.delayMillis)
                if (command.isWrite) {
                    StoreAnswer.StoreFailed(StoreFailure.AnswerLost("The answer of the store in memory was lost"))
                } else {
                    StoreAnswer.StoreFailed(StoreFailure.Unavailable("The store in memory is down"))
                }
            }
            else -> StoreAnswer.StoreFailed(StoreFailure.Unavailable("The store in memory refuses requests"))
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
