package boragelever.bench

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import java.nio.file.Path
import kotlin.io.path.Path

/** Parsed command line of the bench program. */
internal sealed interface BenchCommand {
    /** Measures the control plane, prints tables, and writes charts to the folder [charts] if it is set. */
    data class Control(val options: ControlOptions, val charts: Path? = null) : BenchCommand
}

internal const val USAGE: String =
    "usage: bench control [--quick] [--seed N] [--loss SHARE] [--region-ms N] [--charts FOLDER]"

/** Parses the program's arguments; returns an error message if they are invalid. */
internal fun parseArguments(arguments: List<String>): Result<BenchCommand, String> =
    when (arguments.firstOrNull()) {
        "control" -> parseControl(arguments.drop(1), BenchCommand.Control(ControlOptions()))
        null -> Err("no subcommand given; expected 'control'")
        else -> Err("unknown subcommand '${arguments.first()}'; expected 'control'")
    }

private tailrec fun parseControl(
    arguments: List<String>,
    command: BenchCommand.Control,
): Result<BenchCommand, String> {
    val flag = arguments.firstOrNull() ?: return Ok(command)
    if (flag == "--quick") {
        return parseControl(arguments.drop(1), command.copy(options = command.options.quick()))
    }
    val value = arguments.getOrNull(1)
    val next = value?.let { command.withOption(flag, it) }
    return if (next == null) {
        Err("unknown option or invalid value: '$flag ${value.orEmpty()}'")
    } else {
        parseControl(arguments.drop(2), next)
    }
}

private fun BenchCommand.Control.withOption(flag: String, value: String): BenchCommand.Control? =
    when (flag) {
        "--seed" -> value.toLongOrNull()?.let { copy(options = options.copy(seed = it)) }
        "--loss" ->
            value.toDoubleOrNull()?.takeIf { it in 0.0..MAX_LOSS }?.let { loss ->
                copy(options = options.copy(links = options.links.copy(loss = loss)))
            }
        "--region-ms" ->
            value.toLongOrNull()?.takeIf { it in 1..MAX_CROSS_REGION_DELAY_MILLIS }?.let { delayMillis ->
                copy(options = options.copy(links = options.links.copy(crossRegionMicros = delayMillis * MICROS)))
            }
        "--charts" -> copy(charts = Path(value))
        else -> null
    }

private const val MAX_LOSS = 0.5
private const val MAX_CROSS_REGION_DELAY_MILLIS = 1_000L
