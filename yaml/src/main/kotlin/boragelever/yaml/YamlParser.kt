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
import com.charleskorn.kaml.Location
import com.charleskorn.kaml.Yaml
import com.charleskorn.kaml.YamlException
import com.charleskorn.kaml.YamlList
import com.charleskorn.kaml.YamlMap
import com.charleskorn.kaml.YamlNode
import com.charleskorn.kaml.YamlNull
import com.charleskorn.kaml.YamlPath
import com.charleskorn.kaml.YamlPathSegment
import com.charleskorn.kaml.YamlScalar
import com.charleskorn.kaml.YamlTaggedNode

/** Content of one file: its tree, or `null` if it cannot be parsed, and all errors found. */
internal data class ParsedFile(val tree: ConfigNode.MapNode?, val errors: List<ConfigError>)

/** Parses one file. An empty file yields an empty map. */
internal fun parseYaml(file: FolderFile): ParsedFile {
    val errors = mutableListOf<ConfigError>()
    val top = ConfigLocation(file.name, line = 1, key = TOP_LEVEL_KEY)
    val parsed = parseText(file.name, file.text, errors) ?: return ParsedFile(null, errors)
    val tree = when (val node = YamlConverter(errors).node(parsed, top)) {
        is ConfigNode.MapNode -> node

        is ConfigNode.NullNode -> ConfigNode.MapNode(top, emptyMap())

        is ConfigNode.ListNode, is ConfigNode.ScalarNode -> {
            errors += ConfigError.WrongType(top, "a map", node.describe())
            null
        }
    }
    return ParsedFile(tree, errors)
}

/** Parses [text], continuing after each duplicate key so that all of them are reported. */
private fun parseText(name: FileName, text: String, errors: MutableList<ConfigError>): YamlNode? {
    secondDocumentLine(text)?.let { line ->
        errors += secondDocument(ConfigLocation(name, line, TOP_LEVEL_KEY))
        return null
    }
    var pass = 1
    var attempt = attemptParse(name, text.removePrefix(BYTE_ORDER_MARK), pass)
    while (attempt is ParseAttempt.Duplicate && pass < MAX_PARSE_PASSES) {
        errors += attempt.error
        pass++
        attempt = attemptParse(name, attempt.markedText, pass)
    }
    return when (attempt) {
        is ParseAttempt.Parsed -> attempt.node
        is ParseAttempt.Duplicate -> null.also { errors += attempt.error }
        is ParseAttempt.Failed -> null.also { errors += attempt.error }
    }
}

/** Result of one parser pass over a text. */
private sealed interface ParseAttempt {
    data class Parsed(val node: YamlNode) : ParseAttempt

    /** A duplicate key; [markedText] is the text with its second occurrence made unique. */
    data class Duplicate(val error: ConfigError, val markedText: String) : ParseAttempt

    data class Failed(val error: ConfigError) : ParseAttempt
}

private fun attemptParse(name: FileName, text: String, pass: Int): ParseAttempt =
    try {
        ParseAttempt.Parsed(Yaml.default.parseToYamlNode(text))
    } catch (_: EmptyYamlDocumentException) {
        ParseAttempt.Parsed(YamlNull(YamlPath.root))
    } catch (e: DuplicateKeyException) {
        val error = ConfigError.DuplicateKey(e.location(name))
        val markedText = text.withMark(e.duplicateLocation, DUPLICATE_MARK.repeat(pass))
        if (markedText == null) ParseAttempt.Failed(error) else ParseAttempt.Duplicate(error, markedText)
    } catch (e: YamlException) {
        ParseAttempt.Failed(e.toConfigError(name))
    } catch (_: StackOverflowError) {
        // The parser recurses once per nesting level.
        ParseAttempt.Failed(tooDeep(ConfigLocation(name, line = 1, key = TOP_LEVEL_KEY)))
    } catch (e: RuntimeException) {
        // The parser's input reader rejects some characters and sizes with its own exceptions, which have no line.
        ParseAttempt.Failed(unreadableText(name, text, e))
    }

/**
 * Returns the line of a document marker that follows other content, which the parser reports without its line. YAML
 * treats a marker at the start of a line as such even within a quoted string.
 */
private fun secondDocumentLine(text: String): Int? {
    val lines = text.lines()
    val isMarker = { line: String -> line == "---" || line.startsWith("--- ") }
    val content = lines.indexOfFirst { it.isNotBlank() && !it.startsWith('#') && !it.startsWith('%') }
    val second = lines.withIndex().firstOrNull { (index, line) -> index > content && isMarker(line) }
    return second?.let { it.index + 1 }
}

private fun secondDocument(location: ConfigLocation): ConfigError =
    ConfigError.Malformed(location, "a second document begins", "move it into a file of its own")

private fun unreadableText(name: FileName, text: String, e: RuntimeException): ConfigError {
    val line = text.lines().indexOfFirst { line -> line.any { it.isISOControl() && it != '\t' } } + 1
    return ConfigError.Malformed(
        location = ConfigLocation(name, line.coerceAtLeast(1), TOP_LEVEL_KEY),
        problem = "the text cannot be read: ${e.message.orEmpty().oneLine()}",
        remedy = "remove control characters and split files of several megabytes",
    )
}

/**
 * Makes the key at [location] unique by inserting [mark]; [YamlConverter] drops the marked key. The column of the
 * location counts code points. Returns `null` if the text has no such location.
 */
private fun String.withMark(location: Location, mark: String): String? {
    val lines = lines().toMutableList()
    val line = lines.getOrNull(location.line - 1).orEmpty()
    val codePointsBefore = location.column - 1
    if (codePointsBefore >= line.codePointCount(0, line.length)) return null
    val start = line.offsetByCodePoints(0, codePointsBefore)
    val insertAt = if (line[start] in QUOTES) start + 1 else start
    lines[location.line - 1] = line.replaceRange(insertAt, insertAt, mark)
    return lines.joinToString("\n")
}

private fun YamlException.toConfigError(name: FileName): ConfigError =
    when (this) {
        is ForbiddenAnchorOrAliasException ->
            ConfigError.Malformed(location(name), "anchors and aliases are not supported", "write the value out")

        else -> ConfigError.Malformed(location(name), "not valid YAML: ${message.oneLine()}", "correct the syntax")
    }

private fun YamlException.location(name: FileName): ConfigLocation {
    val key = path.toHumanReadableString().replace(DUPLICATE_MARK, "")
    return ConfigLocation(name, line, if (key in PARSER_TOP_LEVEL) TOP_LEVEL_KEY else key)
}

/** Drops the indented excerpts of the file from a parser message and joins the other lines. */
private fun String.oneLine(): String = lines().filterNot { it.startsWith("  ") }.joinToString(" ") { it.trim() }.trim()

/** Converts the parser's tree to a [ConfigNode] tree and reports YAML features that are not supported. */
private class YamlConverter(private val errors: MutableList<ConfigError>) {
    fun node(yaml: YamlNode, location: ConfigLocation, depth: Int = 0): ConfigNode =
        when {
            depth > MAX_DEPTH -> ConfigNode.NullNode(location).also { errors += tooDeep(location) }
            else -> shallowNode(yaml, location, depth + 1)
        }

    private fun shallowNode(yaml: YamlNode, location: ConfigLocation, depth: Int): ConfigNode =
        when (yaml) {
            is YamlMap -> map(yaml, location, depth)
            is YamlList -> list(yaml, location, depth)
            is YamlScalar -> ConfigNode.ScalarNode(location, yaml.content)
            is YamlNull -> ConfigNode.NullNode(location)
            is YamlTaggedNode -> tagged(yaml, location, depth)
        }

    private fun map(yaml: YamlMap, location: ConfigLocation, depth: Int): ConfigNode {
        yaml.entries.keys.firstOrNull { it.isMerged() }?.let { merged ->
            val mergeLocation = location.copy(line = merged.location.line)
            errors += ConfigError.Malformed(mergeLocation, "the merge key '<<' is not supported", "write the keys out")
        }
        val entries = yaml.entries.entries
            .filterNot { (key, _) -> key.content.startsWith(DUPLICATE_MARK) }
            .associate { (key, value) ->
                key.content to node(value, location.child(key.content, key.location.line), depth)
            }
        return ConfigNode.MapNode(location, entries)
    }

    private fun YamlScalar.isMerged(): Boolean = path.segments.any { it is YamlPathSegment.Merge }

    private fun list(yaml: YamlList, location: ConfigLocation, depth: Int): ConfigNode {
        val elements = yaml.items.mapIndexed { index, item ->
            node(item, location.element(index, item.location.line), depth)
        }
        return ConfigNode.ListNode(location, elements)
    }

    private fun tagged(yaml: YamlTaggedNode, location: ConfigLocation, depth: Int): ConfigNode {
        errors += ConfigError.Malformed(location, "the tag ${yaml.tag} is not supported", "write the value without tag")
        return node(yaml.innerNode, location, depth)
    }
}

internal fun tooDeep(location: ConfigLocation): ConfigError =
    ConfigError.Malformed(location, "the value is nested too deeply", "close open brackets and remove levels")

/** Exceeds the depth of the schema; limits the recursion of all functions that traverse a tree. */
internal const val MAX_DEPTH: Int = 32

/** Limits the parser passes over a file with duplicate keys. */
private const val MAX_PARSE_PASSES = 50

/** A character from the Unicode private use area, which no key of the schema contains. */
private const val DUPLICATE_MARK = "\uE000"

private const val BYTE_ORDER_MARK = "\uFEFF"

/** Paths by which the parser denotes the top level of a file. */
private val PARSER_TOP_LEVEL = setOf("", "<root>")

private val QUOTES = setOf('"', '\'')
