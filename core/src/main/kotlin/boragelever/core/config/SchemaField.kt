package boragelever.core.config

/** One key of the schema: its type, its default and what it means. */
internal class SchemaField<T>(
    val key: String,
    val type: FieldType,
    val default: FieldDefault<T>,
    val description: String,
    private val read: (DecodedValue) -> T,
) {
    /** Returns the typed value of this field; [value] is `null` if the key is absent. */
    fun typed(value: DecodedValue?): T =
        when {
            value != null -> read(value)

            else -> when (default) {
                is FieldDefault.Value -> default.value
                FieldDefault.Required -> error("'$key' is required and was not checked")
            }
        }
}

/** What an absent key means. */
internal sealed interface FieldDefault<out T> {
    /** The key has to be given. */
    data object Required : FieldDefault<Nothing>

    /** [value] is used; [text] is its form in the documentation. */
    data class Value<T>(val value: T, val text: String) : FieldDefault<T>
}

/** Type and range of a value. */
internal sealed interface FieldType {
    /** A whole number; [unit] is the unit for the documentation, or `null` for a plain number. */
    data class Whole(val range: LongRange, val unit: String?) : FieldType

    data object Flag : FieldType

    data class Text(val rule: TextRule) : FieldType

    /** One of a fixed list of words. */
    data class Choice(val words: List<String>) : FieldType

    /** A list of texts in which order and repetition do not matter. */
    data class TextSet(val rule: TextRule) : FieldType

    /** A map with fixed keys. */
    data class Section(val schema: RecordSchema<*>) : FieldType

    /** A map from names that operators choose to maps with fixed keys. */
    data class Table(val schema: RecordSchema<*>) : FieldType

    /** A map from declared services to relative weights, of which at least one is positive. */
    data class Weights(val range: LongRange) : FieldType
}

/** Rule for the form of a text. */
internal class TextRule(
    /** What the text is, with an article. */
    val name: String,
    /** The form in words; completes "write …". */
    val form: String,
    private val pattern: Regex,
) {
    fun accepts(text: String): Boolean = pattern.matches(text)
}

/** A value whose form and range have been checked. */
internal sealed interface DecodedValue {
    data class Whole(val value: Long) : DecodedValue

    data class Flag(val value: Boolean) : DecodedValue

    data class Text(val value: String) : DecodedValue

    data class Texts(val values: Set<String>) : DecodedValue

    data class Weights(val values: Map<String, Int>) : DecodedValue

    data class Table(val records: Map<String, Record>) : DecodedValue

    /** Values by key; [get] supplies the default of an absent one. */
    data class Record(val values: Map<String, DecodedValue>) : DecodedValue {
        operator fun <T> get(field: SchemaField<T>): T = field.typed(values[field.key])
    }
}

/** The keys of one map and the typed value that is built from them. */
internal class RecordSchema<T>(val fields: List<SchemaField<*>>, val build: (DecodedValue.Record) -> T) {
    /** The typed value if no key is given; fails for a schema with required keys. */
    val empty: T by lazy { build(DecodedValue.Record(emptyMap())) }
}
