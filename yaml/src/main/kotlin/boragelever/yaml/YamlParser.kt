package boragelever.yaml

import boragelever.core.FileName
import boragelever.core.config.ConfigError
import boragelever.core.config.ConfigLocation
import boragelever.core.config.ConfigNode
import boragelever.core.config.TOP_LEVEL_KEY
import boragelever.core.config.child
import boragelever.core.config.describe
import boragelever.core.config.element
import boragelever.core.control.FolderFile
import com.charleskorn.kaml.DuplicateKeyException
import com.charleskorn.kaml.EmptyYamlDocumentException
import com.charleskorn.kaml.ForbiddenAnchorOrAliasException
import com.charleskorn.kaml.Yaml
import com.charleskorn.kaml.YamlException
import com.charleskorn.kaml.YamlList
import com.charleskorn.kaml.YamlMap
import com.charleskorn.kaml.YamlNode
import com.charleskorn.kaml.YamlNull
import com.charleskorn.kaml.YamlPath
import com.charleskorn.kaml.YamlScalar
import com.charleskorn.kaml.YamlTaggedNode

/** What one file contains: its tree, or `null` if it cannot be read, and every error found on the way. */
internal data class ParsedFile(val tree: ConfigNode.MapNode?, val errors: List<ConfigError>)

/** Parses the text of one file. An empty file is an empty map. */
internal fun parseYaml(file: FolderFile): ParsedFile {
    val errors = mutableListOf<ConfigError>()
    val top = ConfigLocation(file.name, line = 1, key = TOP_LEVEL_KEY)
    val parsed = parseText(file.name, file.text, errors) ?: return ParsedFile(null, errors)
    val tree = when (val node = YamlConversion(errors).node(parsed, top)) {
        is ConfigNode.MapNode -> node

        is ConfigNode.NullNode -> ConfigNode.MapNode(top, emptyMap())

        is ConfigNode.ListNode, is ConfigNode.ScalarNode -> {
            errors += ConfigError.WrongType(top, "a map", node.describe())
            null
        }
    }
    return ParsedFile(tree, errors)
}

/** Reports each duplicate key and goes on behind it, so that one mistake does not hide the next. */
private fun parseText(name: FileName, text: String, errors: MutableList<ConfigError>): YamlNode? {
    var attempt = attemptParse(name, text)
    var passes = 1
    while (attempt is ParseAttempt.Duplicate && passes < MAX_PASSES) {
        errors += attempt.error
        attempt = attemptParse(name, attempt.marked)
        passes++
    }
    return when (attempt) {
        is ParseAttempt.Parsed -> attempt.node
        is ParseAttempt.Duplicate -> null.also { errors += attempt.error }
        is ParseAttempt.Failed -> null.also { errors += attempt.error }
    }
}

/** Result of one pass of the parser over a text. */
private sealed interface ParseAttempt {
    data class Parsed(val node: YamlNode) : ParseAttempt

    /** A key is given twice; [marked] is the text with the second one made unique. */
    data class Duplicate(val error: ConfigError, val marked: String) : ParseAttempt

    data class Failed(val error: ConfigError) : ParseAttempt
}

private fun attemptParse(name: FileName, text: String): ParseAttempt =
    try {
        ParseAttempt.Parsed(Yaml.default.parseToYamlNode(text))
    } catch (_: EmptyYamlDocumentException) {
        ParseAttempt.Parsed(YamlNull(YamlPath.root))
    } catch (e: DuplicateKeyException) {
        ParseAttempt.Duplicate(ConfigError.DuplicateKey(e.location(name)), text.withMarkedKey(e))
    } catch (e: YamlException) {
        ParseAttempt.Failed(e.toConfigError(name))
    } catch (_: StackOverflowError) {
        // The parser recurses once for each level of nesting.
        ParseAttempt.Failed(tooDeep(name))
    }

private fun tooDeep(name: FileName): ConfigError =
    ConfigError.Malformed(
        location = ConfigLocation(name, line = 1, key = TOP_LEVEL_KEY),
        problem = "the file is nested too deeply",
        remedy = "close the open brackets",
    )

/** Makes the duplicate key unique; [YamlConversion] drops the marked key. */
private fun String.withMarkedKey(e: DuplicateKeyException): String {
    val lines = lines().toMutableList()
    val line = lines[e.duplicateLocation.line - 1]
    val start = e.duplicateLocation.column - 1
    val insertAt = if (line.getOrNull(start) in QUOTES) start + 1 else start
    lines[e.duplicateLocation.line - 1] = line.replaceRange(insertAt, insertAt, DUPLICATE_MARK)
    return lines.joinToString("\n")
}

private fun YamlException.toConfigError(name: FileName): ConfigError =
    when (this) {
        is ForbiddenAnchorOrAliasException ->
            ConfigError.Malformed(location(name), "anchors and aliases are not supported", "write the value out")

        else -> ConfigError.Malformed(location(name), "not valid YAML: ${message.oneLine()}", "correct the syntax")
    }

private fun YamlException.location(name: FileName): ConfigLocation =
    ConfigLocation(name, line, path.toHumanReadableString().replace(DUPLICATE_MARK, "").ifEmpty { TOP_LEVEL_KEY })

private fun String.oneLine(): String = lines().joinToString(" ") { it.trim() }.trim()

/** Turns the parser's tree into a [ConfigNode] tree and reports what the format allows but boragelever does not. */
private class YamlConversion(private val errors: MutableList<ConfigError>) {
    fun node(yaml: YamlNode, location: ConfigLocation): ConfigNode =
        when (yaml) {
            is YamlMap -> map(yaml, location)
            is YamlList -> list(yaml, location)
            is YamlScalar -> ConfigNode.ScalarNode(location, yaml.content)
            is YamlNull -> ConfigNode.NullNode(location)
            is YamlTaggedNode -> tagged(yaml, location)
        }

    private fun map(yaml: YamlMap, location: ConfigLocation): ConfigNode {
        val entries = yaml.entries.entries
            .filterNot { (key, _) -> key.content.startsWith(DUPLICATE_MARK) }
            .associate { (key, value) ->
                key.content to node(value, location.child(key.content, key.location.line))
            }
        return ConfigNode.MapNode(location, entries)
    }

    private fun list(yaml: YamlList, location: ConfigLocation): ConfigNode {
        val elements = yaml.items.mapIndexed { index, item -> node(item, location.element(index, item.location.line)) }
        return ConfigNode.ListNode(location, elements)
    }

    private fun tagged(yaml: YamlTaggedNode, location: ConfigLocation): ConfigNode {
        errors += ConfigError.Malformed(location, "the tag ${yaml.tag} is not supported", "write the value without tag")
        return node(yaml.innerNode, location)
    }
}

/** Bounds the passes over a file with duplicate keys. */
private const val MAX_PASSES = 50

/** A character from the private use area, which no key of the schema contains. */
private const val DUPLICATE_MARK = "\uE000"

private val QUOTES = setOf('"', '\'')
