package boragelever.node

import kotlinx.coroutines.ExecutorCoroutineDispatcher
import kotlinx.coroutines.asCoroutineDispatcher
import java.util.concurrent.Executors
import java.util.concurrent.atomic.AtomicInteger

/** Returns a dispatcher of [threads] daemon threads whose names start with [name]. */
internal fun daemonDispatcher(name: String, threads: Int): ExecutorCoroutineDispatcher {
    val numbers = AtomicInteger()
    return Executors
        .newFixedThreadPool(threads) { work ->
            Thread(work, "$name-${numbers.incrementAndGet()}").apply { isDaemon = true }
        }.asCoroutineDispatcher()
}
