package boragelever.core.config

/** One key of the schema with its type, default and description. */
internal class SchemaField<T>(
    val key: String,
    val type: FieldType,
    val default: FieldDefault<T>,
    val description: String,
    private val read: (DecodedValue) -> T,
) {
    /** Returns the typed value of this field, or its default if [value] is `null` because the key is absent. */
    fun typed(value: DecodedValue?): T =
        when {
            value != null -> read(value)

            else -> when (default) {
                is FieldDefault.Value -> default.value
                FieldDefault.Required -> error("Required key '$key' is absent: the map was not validated")
            }
        }
}

/** What applies if a key is absent. */
internal sealed interface FieldDefault<out T> {
    /** The key is required. */
    data object Required : FieldDefault<Nothing>

    /** [value] applies; [text] is its representation in the documentation. */
    data class Value<T>(val value: T, val text: String) : FieldDefault<T>
}

/** Type and range of a value. */
internal sealed interface FieldType {
    /** An integer; [unit] is its unit for messages and documentation, or `null` if it has none. */
    data class Integer(val range: LongRange, val unit: String?) : FieldType

    data object Bool : FieldType

    data class Text(val rule: TextRule) : FieldType

    /** One of a fixed list of strings. */
    data class Choice(val options: List<String>) : FieldType

    /** A list of strings in which order and duplicates do not matter. */
    data class TextSet(val rule: TextRule) : FieldType

    /** A map with a fixed set of keys. */
    data class Section(val schema: RecordSchema<*>) : FieldType

    /** A map from names chosen by operators to maps with a fixed set of keys. */
    data class Table(val schema: RecordSchema<*>) : FieldType

    /** A map from declared services to relative weights, at least one of which is positive. */
    data class Weights(val range: LongRange) : FieldType
}

/** Format that a string value must have. */
internal class TextRule(
    /** What the string is, with an indefinite article, for error messages. */
    val name: String,
    /** Description of the format; completes "write …". */
    val format: String,
    private val pattern: Regex,
) {
    fun accepts(text: String): Boolean = pattern.matches(text)
}

/** A value whose type, format and range have been validated. */
internal sealed interface DecodedValue {
    data class Integer(val value: Long) : DecodedValue

    data class Bool(val value: Boolean) : DecodedValue

    data class Text(val value: String) : DecodedValue

    data class TextSet(val values: Set<String>) : DecodedValue

    data class Weights(val values: Map<String, Int>) : DecodedValue

    data class Table(val records: Map<String, Record>) : DecodedValue

    /** Values by key; [get] returns the default of an absent key. */
    data class Record(val values: Map<String, DecodedValue>) : DecodedValue {
        operator fun <T> get(field: SchemaField<T>): T = field.typed(values[field.key])
    }
}

/** The keys of a map and the function that builds a typed value from them. */
internal class RecordSchema<T>(val fields: List<SchemaField<*>>, val build: (DecodedValue.Record) -> T) {
    /** The typed value of an empty map; fails for a schema with required keys. */
    val empty: T by lazy { build(DecodedValue.Record(emptyMap())) }
}
