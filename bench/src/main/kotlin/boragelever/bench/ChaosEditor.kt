package boragelever.bench

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
    /** Time until the next edit. */
    val pauseMillis: Long

    /** Writes [text] to [file]. */
    data class Write(val file: String, val text: String, override val pauseMillis: Long) : ChaosEdit

    data class Remove(val file: String, override val pauseMillis: Long) : ChaosEdit
}

/**
 * The edits of a run in their order; each valid one gives a content that the folder never had before, but for the
 * removal of the bad file, which restores the one before it.
 */
internal fun chaosEdits(): Sequence<ChaosEdit> =
    generateSequence(0) { it + 1 }.flatMap { round ->
        val first = FIRST_TIMEOUT_MILLIS + round * EDITS_PER_ROUND
        sequenceOf(
            ChaosEdit.Write(LASTING, lastingRoute(first), PAUSE_MILLIS),
            ChaosEdit.Write(BAD, BAD_ROUTE, LONG_PAUSE_MILLIS),
            ChaosEdit.Remove(BAD, PAUSE_MILLIS),
            ChaosEdit.Write(ADDED, addedRoute(first + 1), PAUSE_MILLIS),
            ChaosEdit.Write(ADDED, addedRoute(first + 2), PAUSE_MILLIS),
            ChaosEdit.Write(LASTING, lastingRoute(first + 3), LONG_PAUSE_MILLIS),
            ChaosEdit.Remove(ADDED, LONG_PAUSE_MILLIS),
        )
    }

/** Applies edits to the folder at [directory] and tells of each. */
internal class ChaosEditor(private val directory: Path, private val observe: (Observation) -> Unit) {
    private var edits = 0

    /** Tells of the folder as it is. */
    fun noteFolder() = note(System.currentTimeMillis())

    /** Applies [edit] as one atomic change of the directory. */
    fun apply(edit: ChaosEdit) {
        val hidden = directory.resolve(".new")
        if (edit is ChaosEdit.Write) Files.writeString(hidden, edit.text)
        val nowMillis = System.currentTimeMillis()
        when (edit) {
            is ChaosEdit.Write -> Files.move(hidden, directory.resolve(edit.file), StandardCopyOption.ATOMIC_MOVE)
            is ChaosEdit.Remove -> Files.delete(directory.resolve(edit.file))
        }
        note(nowMillis)
    }

    /** Removes what may keep the folder invalid and makes one more edit. */
    fun applyLast() {
        if (Files.exists(directory.resolve(BAD))) apply(ChaosEdit.Remove(BAD, 0))
        apply(ChaosEdit.Write(LASTING, lastingRoute(LAST_TIMEOUT_MILLIS), 0))
    }

    private fun note(atMillis: Long) {
        observe(Observation.FolderEdited(atMillis, EditNumber(edits++), digest()))
    }

    private fun digest(): Digest? {
        val names = Files.list(directory).use { files -> files.toList() }.map { it.fileName.toString() }.sorted()
        val files = names.filter { !it.startsWith('.') }.map {
            FolderFile(FileName(it), EntityTag(it), Files.readString(directory.resolve(it)))
        }
        return loadFolder(files).fold(success = { it.document.digest() }, failure = { null })
    }
}

private const val LASTING = "60-chaos.yaml"
private const val ADDED = "61-chaos-trial.yaml"
private const val BAD = "70-chaos-bad.yaml"
private const val PAUSE_MILLIS = 3_000L

/** More than the bound for a version to be in force, so that an edit is not held up by the next, invalid one. */
private const val LONG_PAUSE_MILLIS = 4_500L
private const val FIRST_TIMEOUT_MILLIS = 10_000
private const val LAST_TIMEOUT_MILLIS = 20_000
private const val EDITS_PER_ROUND = 10

private const val BAD_ROUTE = "routes: {chaos_bad: {path_prefix: /bad, destinations: {no-such-service: 1}}}\n"

private fun lastingRoute(timeoutMillis: Int): String =
    "routes: {chaos: {path_prefix: /chaos, destinations: {scanhub: 1}, timeout_ms: $timeoutMillis}}\n"

private fun addedRoute(timeoutMillis: Int): String =
    "services: {trial: {}}\n" +
        "routes: {trial: {path_prefix: /trial, destinations: {trial: 1}, timeout_ms: $timeoutMillis}}\n"
