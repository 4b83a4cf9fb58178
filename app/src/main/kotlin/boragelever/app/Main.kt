package boragelever.app

import boragelever.node.PROGRAM_VERSION
import com.github.michaelbull.result.fold
import kotlin.random.Random
import kotlin.system.exitProcess

/** Entry point of the `boragelever` program. */
public fun main(arguments: Array<String>) {
    System.setProperty("kotlin-logging.logStartupMessage", "false")
    val outcome =
        parseArguments(arguments.asList(), System.getenv(), Random.nextLong()).fold(
            success = ::runCommand,
            failure = { CommandOutcome(ExitCode.USAGE_WRONG, "boragelever: ${it.message}") },
        )
    if (outcome.text.isNotEmpty()) {
        val stream = if (outcome.exitCode == ExitCode.DONE) System.out else System.err
        stream.println(outcome.text)
        stream.flush()
    }
    Termination.finish()
    exitProcess(outcome.exitCode.number)
}

/** Runs [command] to its end. */
internal fun runCommand(command: Command): CommandOutcome =
    when (command) {
        is Command.RunNode -> runNode(command)
        is Command.CheckFolder -> checkFolder(command)
        is Command.DiffFolders -> diffFolders(command)
        is Command.ShowStatus -> showStatus(command)
        is Command.RunDev -> runDev(command, ::println)
        is Command.RunPlatform -> runPlatform(command, ::println)
        is Command.RunUpstream -> runUpstream(command, ::println)
        is Command.ShowVersion -> done("boragelever $PROGRAM_VERSION")
        is Command.ShowHelp -> done(command.text)
    }

internal fun done(text: String): CommandOutcome = CommandOutcome(ExitCode.DONE, text)
