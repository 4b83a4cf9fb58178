package boragelever.bench.chaos

import boragelever.core.Digest
import boragelever.core.FileName
import boragelever.core.control.FolderFile
import boragelever.core.store.EntityTag
import boragelever.yaml.loadFolder
import com.github.michaelbull.result.fold
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardCopyOption

/** An edit of the folder by an operator. */
internal sealed interface ChaosEdit {
    /** Time from this edit to the next one. */
    val pauseMillis: Long

    /** Writes [text] to [file]. */
    data class Write(val file: String, val text: String, override val pauseMillis: Long) : ChaosEdit

    data class Remove(val file: String, override val pauseMillis: Long) : ChaosEdit
}

/**
 * The edits of a run in order.
 *
 * Each valid edit gives the folder content that it never had before. The exception is the removal of the invalid file,
 * which restores the previous content.
 */
internal fun chaosEdits(): Sequence<ChaosEdit> =
    generateSequence(0) { it + 1 }.flatMap { round ->
        val firstTimeoutMillis = FIRST_TIMEOUT_MILLIS + round * EDITS_PER_ROUND
        sequenceOf(
            ChaosEdit.Write(PERMANENT_FILE, permanentRoute(firstTimeoutMillis), PAUSE_MILLIS),
            ChaosEdit.Write(INVALID_FILE, INVALID_ROUTE, LONG_PAUSE_MILLIS),
            ChaosEdit.Remove(INVALID_FILE, PAUSE_MILLIS),
            ChaosEdit.Write(TEMPORARY_FILE, temporaryRoute(firstTimeoutMillis + 1), PAUSE_MILLIS),
            ChaosEdit.Write(TEMPORARY_FILE, temporaryRoute(firstTimeoutMillis + 2), PAUSE_MILLIS),
            ChaosEdit.Write(PERMANENT_FILE, permanentRoute(firstTimeoutMillis + 3), LONG_PAUSE_MILLIS),
            ChaosEdit.Remove(TEMPORARY_FILE, LONG_PAUSE_MILLIS),
        )
    }

/** Applies edits to the folder at [directory] and reports each to [observe]. */
internal class ChaosEditor(private val directory: Path, private val observe: (Observation) -> Unit) {
    private var editCount = 0

    /** Reports the current content of the folder as an edit. */
    fun recordFolder() = record(System.currentTimeMillis())

    /** Applies [edit] atomically: a file is written under a hidden name and then renamed. */
    fun apply(edit: ChaosEdit) {
        val hiddenFile = directory.resolve(".new")
        if (edit is ChaosEdit.Write) Files.writeString(hiddenFile, edit.text)
        val nowMillis = System.currentTimeMillis()
        when (edit) {
            is ChaosEdit.Write -> Files.move(hiddenFile, directory.resolve(edit.file), StandardCopyOption.ATOMIC_MOVE)
            is ChaosEdit.Remove -> Files.delete(directory.resolve(edit.file))
        }
        record(nowMillis)
    }

    /** Removes the invalid file, if present, and makes one more valid edit. */
    fun applyFinalEdit() {
        if (Files.exists(directory.resolve(INVALID_FILE))) apply(ChaosEdit.Remove(INVALID_FILE, 0))
        apply(ChaosEdit.Write(PERMANENT_FILE, permanentRoute(LAST_TIMEOUT_MILLIS), 0))
    }

    private fun record(atMillis: Long) {
        observe(Observation.FolderEdited(atMillis, EditNumber(editCount++), folderDigest()))
    }

    private fun folderDigest(): Digest? {
        val names = Files.list(directory).use { files -> files.toList() }.map { it.fileName.toString() }.sorted()
        val files = names.filter { !it.startsWith('.') }.map {
            FolderFile(FileName(it), EntityTag(it), Files.readString(directory.resolve(it)))
        }
        return loadFolder(files).fold(success = { it.document.digest() }, failure = { null })
    }
}

private const val PERMANENT_FILE = "60-chaos.yaml"
private const val TEMPORARY_FILE = "61-chaos-trial.yaml"
private const val INVALID_FILE = "70-chaos-bad.yaml"
private const val PAUSE_MILLIS = 3_000L

/** Longer than [APPLY_BOUND_MILLIS], so that an edit is applied before the next, invalid edit can delay it. */
private const val LONG_PAUSE_MILLIS = 4_500L
private const val FIRST_TIMEOUT_MILLIS = 10_000
private const val LAST_TIMEOUT_MILLIS = 20_000
private const val EDITS_PER_ROUND = 10

private const val INVALID_ROUTE = "routes: {chaos_bad: {path_prefix: /bad, destinations: {no-such-service: 1}}}\n"

private fun permanentRoute(timeoutMillis: Int): String =
    "routes: {chaos: {path_prefix: /chaos, destinations: {scanhub: 1}, timeout_ms: $timeoutMillis}}\n"

private fun temporaryRoute(timeoutMillis: Int): String =
    "services: {trial: {}}\n" +
        "routes: {trial: {path_prefix: /trial, destinations: {trial: 1}, timeout_ms: $timeoutMillis}}\n"
