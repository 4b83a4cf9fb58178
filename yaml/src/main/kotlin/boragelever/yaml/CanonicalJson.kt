package boragelever.yaml

import boragelever.core.FileName
import boragelever.core.config.ConfigDocument
import boragelever.core.config.ConfigError
import boragelever.core.config.ConfigLocation
import boragelever.core.config.ConfigNode
import boragelever.core.config.EntryKey
import boragelever.core.config.TOP_LEVEL_KEY
import boragelever.core.config.child
import boragelever.core.config.element
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive

/** Sections with one document entry per named map in them; any other section is a single entry. */
private val NAMED_SECTIONS = setOf("services", "routes")

/** Converts a merged tree to a document. */
internal fun toDocument(tree: ConfigNode.MapNode): ConfigDocument {
    val entries = tree.entries.flatMap { (section, node) ->
        if (section in NAMED_SECTIONS && node is ConfigNode.MapNode) {
            node.entries.map { (name, value) -> EntryKey("$section/$name") to value }
        } else {
            listOf(EntryKey(section) to node)
        }
    }
    return ConfigDocument(entries.associate { (key, node) -> key to canonicalText(node) }.toSortedMap())
}

/** Returns JSON without white space and with sorted keys, so that equal configurations have equal texts. */
internal fun canonicalText(node: ConfigNode): String = canonicalJson(node).toString()

private fun canonicalJson(node: ConfigNode): JsonElement =
    when (node) {
        is ConfigNode.MapNode -> JsonObject(node.entries.toSortedMap().mapValues { (_, value) -> canonicalJson(value) })
        is ConfigNode.ListNode -> JsonArray(node.elements.map(::canonicalJson))
        is ConfigNode.ScalarNode -> canonicalScalar(node.text)
        is ConfigNode.NullNode -> JsonNull
    }

/** Converts a scalar to a JSON number or boolean only if that reproduces its text exactly, otherwise to a string. */
private fun canonicalScalar(text: String): JsonPrimitive {
    val number = text.toLongOrNull()
    return when {
        number != null && number.toString() == text -> JsonPrimitive(number)
        text == "true" || text == "false" -> JsonPrimitive(text == "true")
        else -> JsonPrimitive(text)
    }
}

/** Converts a document to a tree. The location of a value names the key of its entry instead of a file. */
internal fun toTree(document: ConfigDocument): Result<ConfigNode.MapNode, List<ConfigError>> {
    val errors = mutableListOf<ConfigError>()
    val plainSections = sortedMapOf<String, ConfigNode>()
    val namedSections = sortedMapOf<String, MutableMap<String, ConfigNode>>()
    document.entries.toSortedMap().forEach { (key, text) ->
        val section = key.value.substringBefore('/')
        val name = key.value.substringAfter('/', missingDelimiterValue = "")
        val sectionLocation = ConfigLocation(FileName(key.value), line = 1, key = TOP_LEVEL_KEY).child(section)
        if (name.isEmpty()) {
            parseJson(text, sectionLocation, errors)?.let { plainSections[section] = it }
        } else {
            parseJson(text, sectionLocation.child(name), errors)?.let {
                namedSections.getOrPut(section) { linkedMapOf() }[name] = it
            }
        }
    }
    val sections = plainSections + namedSections.mapValues { (section, entries) ->
        val plainEntries = (plainSections[section] as? ConfigNode.MapNode)?.entries.orEmpty()
        ConfigNode.MapNode(entries.values.last().location.copy(key = section), plainEntries + entries)
    }
    val top = ConfigLocation(FileName("document"), line = 1, key = TOP_LEVEL_KEY)
    return if (errors.isEmpty()) Ok(ConfigNode.MapNode(top, sections)) else Err(errors)
}

private fun parseJson(text: String, location: ConfigLocation, errors: MutableList<ConfigError>): ConfigNode? =
    try {
        JsonConverter(errors).node(Json.parseToJsonElement(text), location, depth = 0)
    } catch (_: SerializationException) {
        errors += ConfigError.Malformed(location, "the entry is not JSON", "publish the configuration again")
        null
    }

/** Converts JSON to a [ConfigNode] tree. The nesting depth is limited, since documents may come from a peer. */
private class JsonConverter(private val errors: MutableList<ConfigError>) {
    fun node(json: JsonElement, location: ConfigLocation, depth: Int): ConfigNode =
        when {
            depth > MAX_DEPTH -> ConfigNode.NullNode(location).also { errors += tooDeep(location) }
            else -> shallowNode(json, location, depth + 1)
        }

    private fun shallowNode(json: JsonElement, location: ConfigLocation, depth: Int): ConfigNode =
        when (json) {
            is JsonObject -> {
                val entries = json.mapValues { (key, value) -> node(value, location.child(key), depth) }
                ConfigNode.MapNode(location, entries)
            }

            is JsonArray -> {
                val elements = json.mapIndexed { index, item -> node(item, location.element(index), depth) }
                ConfigNode.ListNode(location, elements)
            }

            is JsonNull -> ConfigNode.NullNode(location)

            is JsonPrimitive -> ConfigNode.ScalarNode(location, json.content)
        }
}
