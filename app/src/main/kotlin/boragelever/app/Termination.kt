package boragelever.app

import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean

/** Stops commands that run until a signal or a time limit. */
internal object Termination {
    private val isFinished = AtomicBoolean()

    /** Marks the command as completed, so that the shutdown hook keeps its exit code. */
    fun markFinished() {
        isFinished.set(true)
    }

    /** On SIGTERM and SIGINT, runs [stop] to completion and then ends the process with exit code 0. */
    fun onSignal(stop: () -> Unit) {
        val hook =
            Thread {
                if (!isFinished.get()) {
                    stop()
                    Runtime.getRuntime().halt(ExitCode.SUCCESS.number)
                }
            }
        Runtime.getRuntime().addShutdownHook(hook)
    }

    /** Waits for [seconds], or indefinitely if it is `null`. */
    fun await(seconds: Long?) {
        val latch = CountDownLatch(1)
        if (seconds == null) latch.await() else latch.await(seconds, TimeUnit.SECONDS)
    }
}
