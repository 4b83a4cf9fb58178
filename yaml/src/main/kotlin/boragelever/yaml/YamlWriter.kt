package boragelever.yaml

import arrow.core.NonEmptyList
import arrow.core.toNonEmptyListOrNull
import boragelever.core.config.ConfigDocument
import boragelever.core.config.ConfigError
import boragelever.core.config.ConfigNode
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import com.github.michaelbull.result.mapError
import kotlinx.serialization.json.JsonPrimitive

/** Formats [tree] as YAML with sorted keys. Loading the text as the only file yields the same document. */
public fun renderYaml(tree: ConfigNode.MapNode): String {
    val text = StringBuilder()
    text.appendMap(tree, indent = "")
    return text.toString()
}

/** Formats the configuration of [document] as YAML; errors name the entries that are not valid JSON. */
public fun renderYaml(document: ConfigDocument): Result<String, NonEmptyList<ConfigError>> =
    toTree(document).map(::renderYaml).mapError { checkNotNull(it.toNonEmptyListOrNull()) }

private fun StringBuilder.appendMap(map: ConfigNode.MapNode, indent: String) {
    map.entries.toSortedMap().forEach { (key, value) ->
        append(indent).append(quoted(key)).append(':')
        if (value is ConfigNode.MapNode && value.entries.isNotEmpty()) {
            append('\n')
            appendMap(value, "$indent  ")
        } else {
            append(' ').append(inline(value)).append('\n')
        }
    }
}

private fun inline(node: ConfigNode): String =
    when (node) {
        is ConfigNode.MapNode ->
            node.entries.toSortedMap().entries
                .joinToString(", ", "{", "}") { (key, value) -> "${quoted(key)}: ${inline(value)}" }

        is ConfigNode.ListNode -> node.elements.joinToString(", ", "[", "]") { inline(it) }

        is ConfigNode.ScalarNode -> quoted(node.text)

        is ConfigNode.NullNode -> "null"
    }

/** Quotes a string unless it is a plain scalar in every YAML context; a JSON string is a double-quoted YAML scalar. */
private fun quoted(text: String): String =
    if (plainPattern.matches(text) && text.lowercase() != "null") text else JsonPrimitive(text).toString()

private val plainPattern = Regex("[A-Za-z0-9/][A-Za-z0-9_./-]*")
