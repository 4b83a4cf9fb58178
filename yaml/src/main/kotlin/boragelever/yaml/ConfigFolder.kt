package boragelever.yaml

import arrow.core.NonEmptyList
import arrow.core.toNonEmptyListOrNull
import boragelever.core.FileName
import boragelever.core.config.ConfigDocument
import boragelever.core.config.ConfigError
import boragelever.core.config.ConfigLocation
import boragelever.core.config.ConfigNode
import boragelever.core.config.Configuration
import boragelever.core.config.TOP_LEVEL_KEY
import boragelever.core.config.UnknownKeys
import boragelever.core.config.decodeConfiguration
import boragelever.core.config.mergeFiles
import boragelever.core.control.FolderFile
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.map
import com.github.michaelbull.result.mapError

/** A valid configuration folder in three representations. */
public data class MergedFolder(
    /** The representation that is stored and sent. */
    public val document: ConfigDocument,
    public val configuration: Configuration,
    /** The merged values with their source locations. */
    public val tree: ConfigNode.MapNode,
)

/** Returns whether the file [name] is part of the configuration: it ends in `.yaml` or `.yml` and is not hidden. */
public fun isConfigFile(name: FileName): Boolean =
    !name.value.startsWith('.') && CONFIG_FILE_ENDINGS.any { name.value.endsWith(it) }

/**
 * Merges and validates the configuration folder. Files that are not configuration files are ignored; without any
 * configuration file the result is an empty configuration.
 *
 * Returns all errors. If a file cannot be parsed, missing keys and undeclared names are not reported, since that file
 * may contain them.
 */
public fun loadFolder(files: List<FolderFile>): Result<MergedFolder, NonEmptyList<ConfigError>> {
    val parsed = files.filter { isConfigFile(it.name) }.sortedBy { it.name }.map(::parseYaml)
    val tree = mergeFiles(parsed.mapNotNull { it.tree }) ?: EMPTY_TREE
    val decoded = decodeConfiguration(tree)
    val hasUnreadableFile = parsed.any { it.tree == null }
    val decodeErrors = decoded.getError().orEmpty().filterNot { hasUnreadableFile && it.dependsOnOtherFiles() }
    val errors = (parsed.flatMap { it.errors } + decodeErrors)
        .sortedWith(compareBy({ it.location.file }, { it.location.line }))
        .toNonEmptyListOrNull()
    return when {
        errors != null -> Err(errors)
        else -> decoded.map { MergedFolder(toDocument(tree), it, tree) }
    }
}

private fun ConfigError.dependsOnOtherFiles(): Boolean =
    when (this) {
        is ConfigError.MissingKey, is ConfigError.UndeclaredName -> true

        is ConfigError.Malformed, is ConfigError.DuplicateKey, is ConfigError.UnknownKey, is ConfigError.WrongType,
        is ConfigError.InvalidValue,
        -> false
    }

/**
 * Decodes a document received from a peer or the store. Keys unknown to this program version are ignored. The locations
 * of errors name the entry instead of a file.
 */
public fun decodeConfigDocument(document: ConfigDocument): Result<Configuration, NonEmptyList<ConfigError>> =
    toTree(document)
        .mapError { checkNotNull(it.toNonEmptyListOrNull()) }
        .flatMap { decodeConfiguration(it, UnknownKeys.IGNORE) }

private val CONFIG_FILE_ENDINGS = listOf(".yaml", ".yml")

private val EMPTY_TREE =
    ConfigNode.MapNode(ConfigLocation(FileName("folder"), line = 1, key = TOP_LEVEL_KEY), emptyMap())
