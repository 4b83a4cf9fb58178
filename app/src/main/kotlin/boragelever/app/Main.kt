package boragelever.app

import boragelever.node.PROGRAM_VERSION
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.fold
import kotlin.random.Random
import kotlin.system.exitProcess

/** Entry point of the `boragelever` program. */
public fun main(arguments: Array<String>) {
    System.setProperty("kotlin-logging.logStartupMessage", "false")
    val outcome =
        parseProgramArguments(arguments.asList()).fold(
            success = { runCommand(it, arguments.asList()) },
            failure = { CommandOutcome(ExitCode.INVALID_USAGE, "boragelever: ${it.message}") },
        )
    if (outcome.text.isNotEmpty()) {
        val stream = if (outcome.exitCode == ExitCode.SUCCESS) System.out else System.err
        stream.println(outcome.text)
        stream.flush()
    }
    Termination.markFinished()
    exitProcess(outcome.exitCode.number)
}

/** Parses [arguments] with defaults from the environment and from the settings file that it names. */
internal fun parseProgramArguments(arguments: List<String>): Result<Command, UsageError> =
    withSettingsFile(System.getenv()).flatMap { parseArguments(arguments, it, Random.nextLong()) }

/** Runs [command] to completion; [arguments] are parsed again when the settings of a node are reloaded. */
internal fun runCommand(command: Command, arguments: List<String> = emptyList()): CommandOutcome =
    when (command) {
        is Command.RunNode -> runNode(command, arguments)
        is Command.CheckFolder -> checkFolder(command)
        is Command.DiffFolders -> diffFolders(command)
        is Command.ShowStatus -> showStatus(command)
        is Command.RunDev -> runDev(command, ::println)
        is Command.RunPlatform -> runPlatform(command, ::println)
        is Command.RunUpstream -> runUpstream(command, ::println)
        is Command.ShowVersion -> successOutcome("boragelever $PROGRAM_VERSION")
        is Command.ShowHelp -> successOutcome(command.text)
    }

internal fun successOutcome(text: String): CommandOutcome = CommandOutcome(ExitCode.SUCCESS, text)
