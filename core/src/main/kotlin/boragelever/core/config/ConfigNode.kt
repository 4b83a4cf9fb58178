package boragelever.core.config

/** Key that a [ConfigLocation] has for the top level of a file. */
public const val TOP_LEVEL_KEY: String = "(top level)"

/**
 * Untyped configuration value with its source location.
 *
 * The location of a value in a map is the line of its key, so that an error about the value or about keys missing in it
 * refers to the line that the operator has to edit.
 */
public sealed interface ConfigNode {
    /** Where the value was read from. */
    public val location: ConfigLocation

    /** A map, with the values of its keys. */
    public data class MapNode(
        override val location: ConfigLocation,
        public val entries: Map<String, ConfigNode>,
    ) : ConfigNode

    /** A list. */
    public data class ListNode(
        override val location: ConfigLocation,
        public val elements: List<ConfigNode>,
    ) : ConfigNode

    /** A number, boolean or string. The schema decides which of them [text] must be. */
    public data class ScalarNode(
        override val location: ConfigLocation,
        public val text: String,
    ) : ConfigNode

    /** An explicit `null` or an empty value; removes its key when files are merged. */
    public data class NullNode(override val location: ConfigLocation) : ConfigNode
}

/** Returns the location of the value of [key] in a map at this location. */
public fun ConfigLocation.child(key: String, line: Int = this.line): ConfigLocation =
    copy(line = line, key = if (this.key == TOP_LEVEL_KEY) key else "${this.key}.$key")

/** Returns the location of the element at [index] in a list at this location. */
public fun ConfigLocation.element(index: Int, line: Int = this.line): ConfigLocation =
    copy(line = line, key = "$key[$index]")

/**
 * Merges the trees of several files in the order of their file names, regardless of the order of [files].
 *
 * Maps are merged recursively, any other value is replaced by the value in the later file, and `null` removes a key.
 * The location of a map that appears in several files is the one in the last of them. Returns `null` if there are no
 * files.
 */
public fun mergeFiles(files: List<ConfigNode.MapNode>): ConfigNode.MapNode? =
    files
        .sortedBy { it.location.file }
        .fold(null as ConfigNode.MapNode?) { merged, file ->
            if (merged == null) file.withoutNulls() else mergeMaps(merged, file)
        }

private fun mergeMaps(earlier: ConfigNode.MapNode, later: ConfigNode.MapNode): ConfigNode.MapNode {
    val entries = earlier.entries.toMutableMap()
    later.entries.forEach { (key, value) ->
        val merged = mergeValue(entries[key], value)
        if (merged == null) entries.remove(key) else entries[key] = merged
    }
    return ConfigNode.MapNode(later.location, entries)
}

private fun mergeValue(earlier: ConfigNode?, later: ConfigNode): ConfigNode? =
    when (later) {
        is ConfigNode.MapNode -> if (earlier is ConfigNode.MapNode) mergeMaps(earlier, later) else later.withoutNulls()
        is ConfigNode.ListNode, is ConfigNode.ScalarNode -> later
        is ConfigNode.NullNode -> null
    }

/** Drops keys whose value is `null`, which would otherwise stay if no earlier file contains them. */
private fun ConfigNode.MapNode.withoutNulls(): ConfigNode.MapNode = mergeMaps(copy(entries = emptyMap()), this)
