package boragelever.core.config

import boragelever.core.FileName

/** Location of a value in the configuration folder. */
public data class ConfigLocation(public val file: FileName, public val line: Int, public val key: String) {
    override fun toString(): String = "$file:$line: $key"
}

/** An error in the configuration folder, with its location and a remedy. */
public sealed interface ConfigError {
    /** Where the error was found. */
    public val location: ConfigLocation

    /** What is wrong. */
    public val problem: String

    /** What the operator should change. */
    public val remedy: String

    /** The text is not valid YAML, or uses a YAML feature that is not supported. */
    public data class Malformed(
        override val location: ConfigLocation,
        override val problem: String,
        override val remedy: String,
    ) : ConfigError

    /** A key appears twice in the same map of one file. */
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

    /** A value has a different type than the schema requires. */
    public data class WrongType(
        override val location: ConfigLocation,
        public val expected: String,
        public val found: String,
    ) : ConfigError {
        override val problem: String get() = "expected $expected, found $found"
        override val remedy: String get() = "write $expected"
    }

    /** A value has the right type but is out of range or not in the required format. */
    public data class InvalidValue(
        override val location: ConfigLocation,
        override val problem: String,
        override val remedy: String,
    ) : ConfigError

    /** A name refers to something that the configuration does not declare. */
    public data class UndeclaredName(
        override val location: ConfigLocation,
        public val name: String,
        public val declared: List<String>,
    ) : ConfigError {
        override val problem: String get() = "'$name' is not declared"
        override val remedy: String
            get() = "declare '$name' or use one of ${declared.joinToString(", ").ifEmpty { "(none declared)" }}"
    }
}

/** Formats the error as one line of bounded length: location, problem and remedy. */
public fun ConfigError.render(): String =
    "$location: $problem; $remedy"
        .map { if (it.isISOControl()) '?' else it }
        .joinToString("", limit = MAX_RENDERED_CHARS)

/** Errors are stored in a row and logged, and quote names and values of arbitrary length. */
private const val MAX_RENDERED_CHARS = 2_000
