package boragelever.core.control

import boragelever.core.NodeId
import kotlinx.serialization.Serializable

private const val FNV_OFFSET = -0x340d631b7bdddcdbL
private const val FNV_PRIME = 0x100000001b3L
private const val MIX_MULTIPLIER = -0x61c8864680b583ebL

/** Range of ring positions from [from], inclusive, to [until], exclusive. */
@Serializable
public data class RingRange(public val from: Long, public val until: Long)

/** A node and its position in the ring. */
public data class RingEntry(public val position: Long, public val node: NodeId) : Comparable<RingEntry> {
    override fun compareTo(other: RingEntry): Int = compareValuesBy(this, other, RingEntry::position, RingEntry::node)
}

/** Nodes ordered by the hash of their ids; the order is the same on every node. Changes copy the list. */
public data class Ring(public val entries: List<RingEntry> = emptyList())

/** Returns the position of [node]: a non-negative hash of its id. */
internal fun ringPosition(node: NodeId): Long {
    var hash = FNV_OFFSET
    node.value.forEach { char ->
        hash = (hash xor char.code.toLong()) * FNV_PRIME
    }
    return mixBits(hash) ushr 1
}

/** Mixes the bits of [value], so that similar values have unrelated results. */
internal fun mixBits(value: Long): Long {
    val folded = (value xor (value ushr 32)) * MIX_MULTIPLIER
    return folded xor (folded ushr 29)
}

internal fun Ring.plus(node: NodeId): Ring {
    val entry = RingEntry(ringPosition(node), node)
    val index = entries.binarySearch(entry)
    if (index >= 0) return this
    val next = ArrayList<RingEntry>(entries.size + 1)
    next.addAll(entries)
    next.add(-index - 1, entry)
    return Ring(next)
}

internal fun Ring.minus(node: NodeId): Ring {
    val index = entries.binarySearch(RingEntry(ringPosition(node), node))
    if (index < 0) return this
    val next = ArrayList(entries)
    next.removeAt(index)
    return Ring(next)
}

/** Returns the nodes that follow [node], nearest first, once around the ring and without [node] itself. */
internal fun Ring.after(node: NodeId): Sequence<NodeId> {
    val found = entries.binarySearch(RingEntry(ringPosition(node), node))
    val first = if (found >= 0) found + 1 else -found - 1
    val count = if (found >= 0) entries.size - 1 else entries.size
    return (0 until count).asSequence().map { offset -> entries[(first + offset) % entries.size].node }
}

/** Returns the entries within [range], or all entries if it is `null`. */
internal fun Ring.within(range: RingRange?): List<RingEntry> =
    if (range == null) {
        entries
    } else {
        entries.subList(indexOf(range.from), maxOf(indexOf(range.from), indexOf(range.until)))
    }

private fun Ring.indexOf(position: Long): Int {
    val found = entries.binarySearchBy(position) { entry -> entry.position }
    if (found < 0) return -found - 1
    var index = found
    while (index > 0 && entries[index - 1].position == position) index--
    return index
}
