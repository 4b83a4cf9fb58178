package boragelever.app

import boragelever.core.config.ConfigError
import boragelever.core.config.render
import boragelever.core.control.FolderFile
import boragelever.core.control.FolderResult
import boragelever.platform.ConfigFolder
import boragelever.yaml.EntryChange
import boragelever.yaml.MergedFolder
import boragelever.yaml.diffDocuments
import boragelever.yaml.loadFolder
import boragelever.yaml.renderYaml
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.map
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import java.nio.file.Path

/** JSON format of results. */
internal val resultJson: Json =
    Json {
        prettyPrint = true
        prettyPrintIndent = "  "
        encodeDefaults = true
    }

@Serializable
private class ErrorLine(
    val file: String,
    val line: Int,
    val key: String,
    val problem: String,
    val remedy: String,
)

@Serializable
private class CheckResult(
    val valid: Boolean,
    val digest: String?,
    val services: Int,
    val routes: Int,
    val errors: List<ErrorLine>,
)

@Serializable
private class ChangeLine(
    val change: String,
    val entry: String,
    val from: String?,
    val to: String?,
)

@Serializable
private class DiffResult(
    @SerialName("from_digest") val fromDigest: String,
    @SerialName("to_digest") val toDigest: String,
    val changes: List<ChangeLine>,
)

/** Why a folder is invalid: messages about unreadable files, and errors in the readable ones. */
private class FolderProblem(val readErrors: List<String>, val errors: List<ConfigError> = emptyList())

/** Readable files of a folder, and a message for each unreadable one. */
private class ReadFolder(val files: List<FolderFile>, val readErrors: List<String>)

internal fun checkFolder(command: Command.CheckFolder): CommandOutcome =
    readAndMerge(command.folder).fold(
        success = { successOutcome(describeValid(it, command)) },
        failure = { CommandOutcome(ExitCode.INVALID_INPUT, describe(it, command.output)) },
    )

internal fun diffFolders(command: Command.DiffFolders): CommandOutcome =
    readAndMerge(command.from)
        .flatMap { from -> readAndMerge(command.to).map { to -> describeChanges(from, to, command.output) } }
        .fold(
            success = ::successOutcome,
            failure = { CommandOutcome(ExitCode.INVALID_INPUT, describe(it, command.output)) },
        )

private fun readAndMerge(path: Path): Result<MergedFolder, FolderProblem> =
    readFolder(path).flatMap { folder ->
        loadFolder(folder.files).fold(
            success = { if (folder.readErrors.isEmpty()) Ok(it) else Err(FolderProblem(folder.readErrors)) },
            failure = { Err(FolderProblem(folder.readErrors, it)) },
        )
    }

/** Reads each file separately, so that one file that is not UTF-8 does not hide the errors of the others. */
private fun readFolder(path: Path): Result<ReadFolder, FolderProblem> =
    runBlocking {
        val folder = ConfigFolder.LocalDirectory(path)
        when (val listed = folder.list()) {
            is FolderResult.Listed -> {
                val results = listed.entries.map { folder.read(listOf(it.name)) }
                val files = results.filterIsInstance<FolderResult.Read>().flatMap { it.files }
                Ok(ReadFolder(files, results.filter { it !is FolderResult.Read }.map(::errorMessage)))
            }
            else -> Err(FolderProblem(listOf(errorMessage(listed))))
        }
    }

private fun errorMessage(result: FolderResult): String =
    (result as? FolderResult.Failed)?.message ?: "the folder returned an unexpected result"

private fun describeValid(folder: MergedFolder, command: Command.CheckFolder): String {
    val services = folder.configuration.services.size
    val routes = folder.configuration.routes.size
    val digest = folder.document.digest().value
    val summary = "${command.folder} is valid: services $services, routes $routes, digest $digest"
    return when {
        command.output == OutputFormat.JSON ->
            resultJson.encodeToString(
                CheckResult.serializer(),
                CheckResult(valid = true, digest, services, routes, emptyList()),
            )
        command.quiet -> summary
        else -> "# $summary\n${renderYaml(folder.tree)}".trimEnd()
    }
}

private fun describe(problem: FolderProblem, output: OutputFormat): String =
    when (output) {
        OutputFormat.TEXT -> (problem.readErrors + problem.errors.map { it.render() }).joinToString("\n")
        OutputFormat.JSON ->
            resultJson.encodeToString(
                CheckResult.serializer(),
                CheckResult(valid = false, digest = null, services = 0, routes = 0, errorLines(problem)),
            )
    }

private fun errorLines(problem: FolderProblem): List<ErrorLine> =
    problem.readErrors.map { ErrorLine("", 0, "", it, "make the folder readable") } +
        problem.errors.map {
            ErrorLine(it.location.file.value, it.location.line, it.location.key, it.problem, it.remedy)
        }

private fun describeChanges(from: MergedFolder, to: MergedFolder, output: OutputFormat): String {
    val changes = diffDocuments(from.document, to.document)
    return when (output) {
        OutputFormat.TEXT ->
            if (changes.isEmpty()) "no change" else changes.joinToString("\n", transform = ::changeText)
        OutputFormat.JSON -> {
            val lines = changes.map(::changeLine)
            val result = DiffResult(from.document.digest().value, to.document.digest().value, lines)
            resultJson.encodeToString(DiffResult.serializer(), result)
        }
    }
}

private fun changeText(change: EntryChange): String =
    when (change) {
        is EntryChange.Added -> "+ ${change.key}: ${change.text}"
        is EntryChange.Removed -> "- ${change.key}: ${change.text}"
        is EntryChange.Changed -> "~ ${change.key}: ${change.from} -> ${change.to}"
    }

private fun changeLine(change: EntryChange): ChangeLine =
    when (change) {
        is EntryChange.Added -> ChangeLine("added", change.key.value, null, change.text)
        is EntryChange.Removed -> ChangeLine("removed", change.key.value, change.text, null)
        is EntryChange.Changed -> ChangeLine("changed", change.key.value, change.from, change.to)
    }
