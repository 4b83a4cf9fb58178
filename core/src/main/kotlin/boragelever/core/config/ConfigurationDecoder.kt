package boragelever.core.config

import arrow.core.NonEmptyList
import arrow.core.toNonEmptyListOrNull
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result

/** How keys that are not part of the schema are treated. */
public enum class UnknownKeys {
    /** Reported as errors: the configuration folder is written for this program version. */
    REPORT,

    /** Ignored: the document may have been written by a newer program version. */
    IGNORE,
}

/**
 * Decodes a merged tree into a typed configuration.
 *
 * Returns all errors, ordered by file and line.
 */
public fun decodeConfiguration(
    node: ConfigNode,
    unknownKeys: UnknownKeys = UnknownKeys.REPORT,
): Result<Configuration, NonEmptyList<ConfigError>> {
    val decoder = ConfigurationDecoder(unknownKeys, declaredServices(node))
    val record = decoder.record(node, configurationSchema)
    val errors = decoder.errors.sortedWith(compareBy({ it.location.file }, { it.location.line })).toNonEmptyListOrNull()
    return when {
        errors != null -> Err(errors)
        else -> Ok(configurationSchema.build(checkNotNull(record)))
    }
}

private fun declaredServices(node: ConfigNode): Set<String> {
    val services = (node as? ConfigNode.MapNode)?.entries?.get("services") as? ConfigNode.MapNode
    return services?.entries?.keys.orEmpty()
}

/** Validates a tree against the schema. Functions return `null` if they have added to [errors]. */
private class ConfigurationDecoder(private val unknownKeys: UnknownKeys, private val services: Set<String>) {
    val errors: MutableList<ConfigError> = mutableListOf()

    fun record(node: ConfigNode, schema: RecordSchema<*>): DecodedValue.Record? {
        val map = map(node) ?: return null
        val known = schema.fields.map { it.key }
        if (unknownKeys == UnknownKeys.REPORT) {
            val unknown = map.entries.filterKeys { it !in known }.values
            unknown.forEach { errors += ConfigError.UnknownKey(it.location, known) }
        }
        schema.fields
            .filter { it.default == FieldDefault.Required && it.key !in map.entries }
            .forEach { errors += ConfigError.MissingKey(map.location, it.key) }
        val values = schema.fields.mapNotNull { field ->
            map.entries[field.key]?.let { value(it, field.type) }?.let { field.key to it }
        }
        return DecodedValue.Record(values.toMap())
    }

    private fun value(node: ConfigNode, type: FieldType): DecodedValue? =
        when (type) {
            is FieldType.Integer -> integer(node, type.range, type.unit)?.let(DecodedValue::Integer)
            is FieldType.Bool -> bool(node)?.let(DecodedValue::Bool)
            is FieldType.Text -> text(node, type.rule)?.let(DecodedValue::Text)
            is FieldType.Choice -> choice(node, type.options)?.let(DecodedValue::Text)
            is FieldType.TextSet -> textSet(node, type.rule)?.let(DecodedValue::TextSet)
            is FieldType.Section -> record(node, type.schema)
            is FieldType.Table -> table(node, type.schema)
            is FieldType.Weights -> weights(node, type.range)?.let(DecodedValue::Weights)
        }

    private fun integer(node: ConfigNode, range: LongRange, unit: String?): Long? {
        val text = scalar(node, INTEGER) ?: return null
        if (!integerPattern.matches(text)) {
            errors += ConfigError.WrongType(node.location, INTEGER, "'$text'")
            return null
        }
        val value = text.toLongOrNull()
        if (value != null && value in range) return value
        val unitText = unit?.let { " $it" }.orEmpty()
        return invalid(node, "$text$unitText is out of range", "write ${range.first} to ${range.last}$unitText")
    }

    private fun bool(node: ConfigNode): Boolean? {
        val text = scalar(node, BOOLEAN) ?: return null
        val value = text.toBooleanStrictOrNull()
        if (value == null) errors += ConfigError.WrongType(node.location, BOOLEAN, "'$text'")
        return value
    }

    private fun text(node: ConfigNode, rule: TextRule): String? {
        val text = scalar(node, rule.name) ?: return null
        return if (rule.accepts(text)) text else invalid(node, "'$text' is not ${rule.name}", "write ${rule.format}")
    }

    private fun choice(node: ConfigNode, options: List<String>): String? {
        val text = scalar(node, "one of ${options.joinToString(", ")}") ?: return null
        return if (text in options) {
            text
        } else {
            invalid(node, "'$text' is not a valid value", "use one of ${options.joinToString(", ")}")
        }
    }

    private fun textSet(node: ConfigNode, rule: TextRule): Set<String>? =
        when (node) {
            is ConfigNode.ListNode -> node.elements.mapNotNull { text(it, rule) }.toSet()
            else -> wrongType(node, "a list")
        }

    private fun table(node: ConfigNode, schema: RecordSchema<*>): DecodedValue.Table? {
        val map = map(node) ?: return null
        val records = map.entries.mapNotNull { (name, value) ->
            checkName(name, value)
            record(value, schema)?.let { name to it }
        }
        return DecodedValue.Table(records.toMap())
    }

    private fun weights(node: ConfigNode, range: LongRange): Map<String, Int>? {
        val map = map(node) ?: return null
        if (map.entries.isEmpty()) return invalid(node, "no destination is given", "add at least one service")
        val weights = map.entries.mapNotNull { (name, value) ->
            if (name !in services) errors += ConfigError.UndeclaredName(value.location, name, services.sorted())
            integer(value, range, unit = null)?.let { name to it.toInt() }
        }
        val complete = weights.size == map.entries.size
        if (complete && weights.all { (_, weight) -> weight == 0 }) {
            return invalid(node, "the weights sum to 0", "set at least one weight to 1 or more")
        }
        return weights.toMap()
    }

    private fun checkName(name: String, value: ConfigNode) {
        if (!nameRule.accepts(name)) invalid(value, "'$name' is not ${nameRule.name}", "write ${nameRule.format}")
    }

    private fun map(node: ConfigNode): ConfigNode.MapNode? =
        when (node) {
            is ConfigNode.MapNode -> node
            else -> wrongType(node, "a map")
        }

    private fun scalar(node: ConfigNode, expected: String): String? =
        when (node) {
            is ConfigNode.ScalarNode -> node.text
            else -> wrongType(node, expected)
        }

    private fun wrongType(node: ConfigNode, expected: String): Nothing? {
        errors += ConfigError.WrongType(node.location, expected, node.describe())
        return null
    }

    private fun invalid(node: ConfigNode, problem: String, remedy: String): Nothing? {
        errors += ConfigError.InvalidValue(node.location, problem, remedy)
        return null
    }

    private companion object {
        const val INTEGER = "an integer"
        const val BOOLEAN = "true or false"

        /** Allows one notation per number, so that equal configurations have equal digests. */
        val integerPattern = Regex("0|-?[1-9][0-9]*")
    }
}

/** Returns a description of the node's kind for error messages. */
public fun ConfigNode.describe(): String =
    when (this) {
        is ConfigNode.MapNode -> "a map"
        is ConfigNode.ListNode -> "a list"
        is ConfigNode.ScalarNode -> "'$text'"
        is ConfigNode.NullNode -> "nothing"
    }
