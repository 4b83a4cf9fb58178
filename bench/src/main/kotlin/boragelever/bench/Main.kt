package boragelever.bench

import com.github.michaelbull.result.fold
import kotlin.system.exitProcess

/** Runs the measurement that the first argument names and prints its tables; exit code 2 means wrong usage. */
public fun main(args: Array<String>) {
    val exitCode = parseArguments(args.toList()).fold(
        success = ::execute,
        failure = { error ->
            System.err.println("$error\n$USAGE")
            USAGE_IS_WRONG
        },
    )
    exitProcess(exitCode)
}

private fun execute(command: BenchCommand): Int =
    when (command) {
        is BenchCommand.Control -> {
            val startMillis = System.currentTimeMillis()
            val figures = runControl(command.options)
            println(controlReport(figures))
            println("${(System.currentTimeMillis() - startMillis) / 1_000} s, seed ${command.options.seed}")
            command.charts?.let { writeControlCharts(figures, it) }
            DONE
        }
    }

private const val DONE = 0
private const val USAGE_IS_WRONG = 2
