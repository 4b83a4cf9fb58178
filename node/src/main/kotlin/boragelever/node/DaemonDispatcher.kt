package boragelever.node

import kotlinx.coroutines.ExecutorCoroutineDispatcher
import kotlinx.coroutines.asCoroutineDispatcher
import java.util.concurrent.Executors
import java.util.concurrent.atomic.AtomicInteger

/** Returns a dispatcher backed by a fixed pool of [threads] daemon threads, named after [name] and a number. */
internal fun daemonDispatcher(name: String, threads: Int): ExecutorCoroutineDispatcher {
    val threadNumber = AtomicInteger()
    return Executors
        .newFixedThreadPool(threads) { task ->
            Thread(task, "$name-${threadNumber.incrementAndGet()}").apply { isDaemon = true }
        }.asCoroutineDispatcher()
}
