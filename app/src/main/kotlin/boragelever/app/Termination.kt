package boragelever.app

import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean

/** Ends the commands that run until they are stopped. */
internal object Termination {
    private val finished = AtomicBoolean()

    /** Tells that the command has ended by itself, so that its exit code stands. */
    fun markFinished() {
        finished.set(true)
    }

    /** Runs [stop] to its end on SIGTERM and SIGINT, then ends the process with exit code 0. */
    fun onSignal(stop: () -> Unit) {
        val hook =
            Thread {
                if (!finished.get()) {
                    stop()
                    Runtime.getRuntime().halt(ExitCode.SUCCESS.number)
                }
            }
        Runtime.getRuntime().addShutdownHook(hook)
    }

    /** Waits for [seconds], or for ever if it is `null`. */
    fun await(seconds: Long?) {
        val never = CountDownLatch(1)
        if (seconds == null) never.await() else never.await(seconds, TimeUnit.SECONDS)
    }
}
