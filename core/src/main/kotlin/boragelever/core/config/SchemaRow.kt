package boragelever.core.config

/** Row of the configuration reference that documents one key. */
public data class SchemaRow(
    /** Keys from the top level, joined by dots; `<name>` stands for a name chosen by operators. */
    public val path: String,
    public val type: String,
    public val unit: String,
    public val range: String,
    public val default: String,
    public val description: String,
) {
    /** Returns the row formatted as a line of a Markdown table. */
    public fun toMarkdown(): String = "| `$path` | $type | $unit | $range | $default | $description |"
}

/** Returns a row for each key of the schema; a section precedes the keys in it. */
public fun schemaRows(): List<SchemaRow> = rows("", configurationSchema)

private fun rows(prefix: String, schema: RecordSchema<*>): List<SchemaRow> =
    schema.fields.flatMap { field -> listOf(row(prefix, field)) + rowsWithin("$prefix${field.key}", field.type) }

private fun rowsWithin(path: String, type: FieldType): List<SchemaRow> =
    when (type) {
        is FieldType.Section -> rows("$path.", type.schema)

        is FieldType.Table -> rows("$path.<name>.", type.schema)

        is FieldType.Integer, is FieldType.Bool, is FieldType.Text, is FieldType.Choice, is FieldType.TextSet,
        is FieldType.Weights,
        -> emptyList()
    }

private fun row(prefix: String, field: SchemaField<*>): SchemaRow =
    SchemaRow(
        path = prefix + field.key,
        type = typeText(field.type),
        unit = (field.type as? FieldType.Integer)?.unit ?: NOT_APPLICABLE,
        range = rangeText(field.type),
        default = defaultText(field.default),
        description = field.description,
    )

private fun typeText(type: FieldType): String =
    when (type) {
        is FieldType.Integer -> "integer"
        is FieldType.Bool -> "boolean"
        is FieldType.Text -> "string"
        is FieldType.Choice -> "choice"
        is FieldType.TextSet -> "list of strings"
        is FieldType.Section -> "map"
        is FieldType.Table -> "map by name"
        is FieldType.Weights -> "map from service to integer"
    }

private fun rangeText(type: FieldType): String =
    when (type) {
        is FieldType.Integer -> "${type.range.first} to ${type.range.last}"
        is FieldType.Bool, is FieldType.Section -> NOT_APPLICABLE
        is FieldType.Text -> type.rule.format
        is FieldType.Choice -> type.options.joinToString(", ") { "`$it`" }
        is FieldType.TextSet -> "each ${type.rule.format}"
        is FieldType.Table -> "each name ${nameRule.format}"
        is FieldType.Weights -> "each ${type.range.first} to ${type.range.last}, their sum above 0"
    }

private fun defaultText(default: FieldDefault<*>): String =
    when (default) {
        is FieldDefault.Required -> "required"
        is FieldDefault.Value -> if (default.value == null) default.text else "`${default.text}`"
    }

/** Content of a column that does not apply to the key. */
private const val NOT_APPLICABLE = "-"
