package boragelever.bench

import com.github.michaelbull.result.fold
import kotlin.system.exitProcess

/** Runs the subcommand that the arguments name and prints its tables; exits with 2 if the arguments are invalid. */
public fun main(args: Array<String>) {
    val exitCode = parseArguments(args.toList()).fold(
        success = ::execute,
        failure = { error ->
            System.err.println("$error\n$USAGE")
            EXIT_USAGE
        },
    )
    exitProcess(exitCode)
}

private fun execute(command: BenchCommand): Int =
    when (command) {
        is BenchCommand.Control -> {
            val startMillis = System.currentTimeMillis()
            val measurements = runControl(command.options)
            println(controlReport(measurements))
            println("${(System.currentTimeMillis() - startMillis) / 1_000} s, seed ${command.options.seed}")
            command.charts?.let { writeControlCharts(measurements, it) }
            EXIT_OK
        }
    }

private const val EXIT_OK = 0
private const val EXIT_USAGE = 2
