package boragelever.core.config

import boragelever.core.FileName

/** Place of a value in the operators' folder. */
public data class ConfigLocation(public val file: FileName, public val line: Int, public val key: String) {
    override fun toString(): String = "$file:$line: $key"
}

/** Why a folder is refused. Each kind names the place and the remedy. */
public sealed interface ConfigError {
    public val location: ConfigLocation

    /** What is wrong. */
    public val problem: String

    /** What the operator should change. */
    public val remedy: String

    /** The text is not YAML that boragelever reads. */
    public data class Malformed(
        override val location: ConfigLocation,
        override val problem: String,
        override val remedy: String,
    ) : ConfigError

    /** A key appears twice in one map of one file. */
    public data class DuplicateKey(override val location: ConfigLocation) : ConfigError {
        override val problem: String get() = "the key is given twice"
        override val remedy: String get() = "keep one of the two"
    }

    /** A key is not part of the schema. */
    public data class UnknownKey(override val location: ConfigLocation, public val known: List<String>) : ConfigError {
        override val problem: String get() = "the key is unknown"
        override val remedy: String get() = "use one of ${known.joinToString(", ")}"
    }

    /** A key that the schema requires is absent. */
    public data class MissingKey(override val location: ConfigLocation, public val missing: String) : ConfigError {
        override val problem: String get() = "the key '$missing' is missing"
        override val remedy: String get() = "add '$missing'"
    }

    /** A value has another type than the schema asks for. */
    public data class WrongType(
        override val location: ConfigLocation,
        public val expected: String,
        public val found: String,
    ) : ConfigError {
        override val problem: String get() = "expected $expected, found $found"
        override val remedy: String get() = "write $expected"
    }

    /** A value lies outside its allowed range. */
    public data class ImpossibleValue(
        override val location: ConfigLocation,
        override val problem: String,
        override val remedy: String,
    ) : ConfigError

    /** A name refers to something that the folder does not declare. */
    public data class DanglingReference(
        override val location: ConfigLocation,
        public val name: String,
        public val declared: List<String>,
    ) : ConfigError {
        override val problem: String get() = "'$name' is not declared"
        override val remedy: String
            get() = "declare '$name' or use one of ${declared.joinToString(", ").ifEmpty { "(none declared)" }}"
    }
}

/** Renders the error as one line of bounded length: place, problem and remedy. */
public fun ConfigError.render(): String =
    "$location: $problem; $remedy"
        .map { if (it.isISOControl()) '?' else it }
        .joinToString("", limit = MAX_RENDERED_CHARS)

/** Errors are kept in a row and in logs, and quote names and values of any length. */
private const val MAX_RENDERED_CHARS = 2_000
