package boragelever.core.config

/** Collects the fields of a [RecordSchema] in the order in which they are declared. */
internal class RecordSchemaBuilder {
    val fields: MutableList<SchemaField<*>> = mutableListOf()

    /** A duration in milliseconds. */
    fun millis(key: String, default: Long, range: LongRange, description: String): SchemaField<Long> =
        long(key, FieldType.Integer(range, "ms"), default, description)

    /** A size in bytes. */
    fun bytes(key: String, default: Long, range: LongRange, description: String): SchemaField<Long> =
        long(key, FieldType.Integer(range, "bytes"), default, description)

    /** A percentage from 0 to 100. */
    fun percent(key: String, default: Int, description: String): SchemaField<Int> =
        int(key, FieldType.Integer(0L..100L, "%"), default, description)

    /** An integer without unit that fits in an [Int]. */
    fun count(key: String, default: Int, range: IntRange, description: String): SchemaField<Int> =
        int(key, FieldType.Integer(range.first.toLong()..range.last.toLong(), null), default, description)

    /** A size in bytes that fits in an [Int]. */
    fun intBytes(key: String, default: Int, range: IntRange, description: String): SchemaField<Int> =
        int(key, FieldType.Integer(range.first.toLong()..range.last.toLong(), "bytes"), default, description)

    fun bool(key: String, default: Boolean, description: String): SchemaField<Boolean> =
        add(SchemaField(key, FieldType.Bool, FieldDefault.Value(default, "$default"), description) { it.bool() })

    fun requiredText(key: String, rule: TextRule, description: String): SchemaField<String> =
        add(SchemaField(key, FieldType.Text(rule), FieldDefault.Required, description) { it.text() })

    /** An optional string; [absent] documents what its absence means. */
    fun optionalText(key: String, rule: TextRule, absent: String, description: String): SchemaField<String?> =
        add(SchemaField(key, FieldType.Text(rule), FieldDefault.Value(null, absent), description) { it.text() })

    /** One of [choices], written as its name in lower case. */
    fun <E : Enum<E>> choice(key: String, default: E, choices: List<E>, description: String): SchemaField<E> {
        val byText = choices.associateBy { it.name.lowercase() }
        val fieldDefault = FieldDefault.Value(default, default.name.lowercase())
        return add(
            SchemaField(key, FieldType.Choice(byText.keys.toList()), fieldDefault, description) {
                byText.getValue(it.text())
            },
        )
    }

    fun textSet(key: String, rule: TextRule, default: Set<String>, description: String): SchemaField<Set<String>> {
        val fieldDefault = FieldDefault.Value(default, default.joinToString(", ", "[", "]"))
        return add(SchemaField(key, FieldType.TextSet(rule), fieldDefault, description) { it.texts() })
    }

    fun <T> section(key: String, schema: RecordSchema<T>, description: String): SchemaField<T> =
        add(
            SchemaField(key, FieldType.Section(schema), FieldDefault.Value(schema.empty, "{}"), description) {
                schema.build(it as DecodedValue.Record)
            },
        )

    fun <T> table(key: String, schema: RecordSchema<T>, description: String): SchemaField<Map<String, T>> =
        add(
            SchemaField(key, FieldType.Table(schema), FieldDefault.Value(emptyMap(), "{}"), description) {
                (it as DecodedValue.Table).records.mapValues { (_, record) -> schema.build(record) }
            },
        )

    fun requiredWeights(key: String, range: LongRange, description: String): SchemaField<Map<String, Int>> =
        add(
            SchemaField(key, FieldType.Weights(range), FieldDefault.Required, description) {
                (it as DecodedValue.Weights).values
            },
        )

    private fun long(key: String, type: FieldType, default: Long, description: String): SchemaField<Long> =
        add(SchemaField(key, type, FieldDefault.Value(default, "$default"), description) { it.integer() })

    private fun int(key: String, type: FieldType, default: Int, description: String): SchemaField<Int> =
        add(SchemaField(key, type, FieldDefault.Value(default, "$default"), description) { it.integer().toInt() })

    private fun <T> add(field: SchemaField<T>): SchemaField<T> = field.also { fields += it }
}

/** Declares the schema of a map; [declare] gets [defaults] and returns the function that builds the typed value. */
internal fun <D, T> recordSchema(
    defaults: D,
    declare: RecordSchemaBuilder.(D) -> (DecodedValue.Record) -> T,
): RecordSchema<T> {
    val builder = RecordSchemaBuilder()
    val build = builder.declare(defaults)
    return RecordSchema(builder.fields, build)
}

/** Marks [build] as the function that builds the typed value of a schema. */
internal fun <T> buildRecord(build: (DecodedValue.Record) -> T): (DecodedValue.Record) -> T = build

private fun DecodedValue.integer(): Long = (this as DecodedValue.Integer).value

private fun DecodedValue.bool(): Boolean = (this as DecodedValue.Bool).value

private fun DecodedValue.text(): String = (this as DecodedValue.Text).value

private fun DecodedValue.texts(): Set<String> = (this as DecodedValue.TextSet).values
