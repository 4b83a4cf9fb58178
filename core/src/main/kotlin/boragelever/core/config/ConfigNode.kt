package boragelever.core.config

/** Key of the top level of a file in a [ConfigLocation]. */
public const val TOP_LEVEL_KEY: String = "(top level)"

/**
 * Untyped value of a configuration with the place it comes from.
 *
 * A value in a map is located at the line of its key, so that an error about the value or its absence names the line
 * that the operator looks for.
 */
public sealed interface ConfigNode {
    public val location: ConfigLocation

    public data class MapNode(
        override val location: ConfigLocation,
        public val entries: Map<String, ConfigNode>,
    ) : ConfigNode

    public data class ListNode(
        override val location: ConfigLocation,
        public val elements: List<ConfigNode>,
    ) : ConfigNode

    /** A number, truth value or text. The schema decides which of them [text] has to be. */
    public data class ScalarNode(
        override val location: ConfigLocation,
        public val text: String,
    ) : ConfigNode

    /** An explicit `null` or an empty value; removes its key in a merge. */
    public data class NullNode(override val location: ConfigLocation) : ConfigNode
}

/** Returns the location of the value of [key] in a map at this location. */
public fun ConfigLocation.child(key: String, line: Int = this.line): ConfigLocation =
    copy(line = line, key = if (this.key == TOP_LEVEL_KEY) key else "${this.key}.$key")

/** Returns the location of the element [index] of a list at this location. */
public fun ConfigLocation.element(index: Int, line: Int = this.line): ConfigLocation =
    copy(line = line, key = "$key[$index]")

/**
 * Merges the trees of several files in the order of their file names, whatever the order of [files].
 *
 * Maps are merged deeply, any other value is replaced by that of the later file, and `null` removes a key. A map that
 * several files contribute to is located in the last of them. Returns `null` if there are no files.
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

/** Drops the keys that a file removes although no earlier file gives them. */
private fun ConfigNode.MapNode.withoutNulls(): ConfigNode.MapNode = mergeMaps(copy(entries = emptyMap()), this)
