package boragelever.yaml

import boragelever.core.FileName
import boragelever.core.config.ConfigDocument
import boragelever.core.config.ConfigError
import boragelever.core.config.EntryKey
import boragelever.core.config.render
import boragelever.core.control.FolderFile
import boragelever.core.store.EntityTag
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import java.nio.file.Path
import kotlin.io.path.listDirectoryEntries
import kotlin.io.path.name
import kotlin.io.path.readText

internal fun file(name: String, text: String): FolderFile =
    FolderFile(FileName(name), EntityTag("tag"), text)

/** Returns files `10.yaml`, `20.yaml` and so on with the given texts. */
internal fun folder(vararg texts: String): List<FolderFile> =
    texts.mapIndexed { index, text -> file("${index + 1}0.yaml", text) }

internal fun exampleFolder(name: String): List<FolderFile> =
    Path.of("..", "examples", name).listDirectoryEntries().map { file(it.name, it.readText()) }

internal fun document(vararg entries: Pair<String, String>): ConfigDocument =
    ConfigDocument(entries.associate { (key, text) -> EntryKey(key) to text })

/** A folder and the lines expected for it. */
class FolderCase(private val name: String, val files: List<FolderFile>, val expected: List<String>) {
    override fun toString(): String = name
}

/** Reads the test cases from the resource [name], whose first line explains the format. */
internal fun folderCases(name: String): List<FolderCase> {
    val text = checkNotNull(FolderCase::class.java.getResource("/$name")).readText()
    return text.split("\n## ").drop(1).map { case ->
        val body = case.substringAfter('\n').split(Regex("^=> ?", RegexOption.MULTILINE))
        val files = body.first().split(Regex("^@ ", RegexOption.MULTILINE)).drop(1)
        FolderCase(
            name = case.substringBefore('\n'),
            files = files.map { file(it.substringBefore('\n'), it.substringAfter('\n')) },
            expected = body.drop(1).map { it.trimEnd() },
        )
    }
}

/** Returns the formatted errors, or an empty list for a valid result. */
internal fun <T> Result<T, List<ConfigError>>.errorLines(): List<String> = getError().orEmpty().map { it.render() }

internal fun <T : Any> Result<T, List<ConfigError>>.getOrFail(): T =
    checkNotNull(get()) { errorLines().joinToString("\n") }
