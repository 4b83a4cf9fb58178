package boragelever.bench

/** Linear model of a mesh's control traffic: a constant rate, a cost per change and a cost per node replacement. */
internal data class ControlCosts(
    val idleBytesPerSecond: Double,
    val idleCrossRegionBytesPerSecond: Double,
    val bytesPerChange: Double,
    val crossRegionBytesPerChange: Double,
    val crossRegionStoreBytesPerChange: Double,
    val bytesPerReplacement: Double,
    val crossRegionBytesPerReplacement: Double,
    val crossRegionStoreBytesPerReplacement: Double,
)

/**
 * Computes the costs from the frames between nodes and the bodies of store requests.
 *
 * Traffic of a phase beyond that of the idle phase is attributed to the changes and replacements in it.
 */
internal fun ControlResult.costs(): ControlCosts {
    val all = linearCost { it.traffic.bytes + it.store.bytes }
    val crossRegion = linearCost { it.traffic.crossRegionBytes + it.store.crossRegionBytes }
    val crossRegionStore = linearCost { it.store.crossRegionBytes }
    return ControlCosts(
        idleBytesPerSecond = all.idlePerSecond,
        idleCrossRegionBytesPerSecond = crossRegion.idlePerSecond,
        bytesPerChange = all.perChange,
        crossRegionBytesPerChange = crossRegion.perChange,
        crossRegionStoreBytesPerChange = crossRegionStore.perChange,
        bytesPerReplacement = all.perReplacement,
        crossRegionBytesPerReplacement = crossRegion.perReplacement,
        crossRegionStoreBytesPerReplacement = crossRegionStore.perReplacement,
    )
}

private class LinearCost(val idlePerSecond: Double, val perChange: Double, val perReplacement: Double)

private fun ControlResult.linearCost(value: (PhaseResult) -> Long): LinearCost {
    val idlePerSecond = value(idle) / idle.seconds
    val perChange = (value(changes) - idlePerSecond * changes.seconds) / maxOf(1, changes.publishedVersions)
    val replacementTotal = value(churn) - idlePerSecond * churn.seconds - perChange * churn.publishedVersions
    return LinearCost(idlePerSecond, perChange, replacementTotal / replacements)
}

/** Bytes per second of the whole mesh, averaged over a day with the change and replacement rates designed for. */
internal val ControlCosts.dailyBytesPerSecond: Double
    get() = idleBytesPerSecond +
        (bytesPerChange * CHANGES_PER_DAY + bytesPerReplacement * REPLACEMENTS_PER_DAY) / SECONDS_PER_DAY

/** Bytes per second between regions, averaged over the same day. */
internal val ControlCosts.dailyCrossRegionBytesPerSecond: Double
    get() = idleCrossRegionBytesPerSecond +
        (crossRegionBytesPerChange * CHANGES_PER_DAY + crossRegionBytesPerReplacement * REPLACEMENTS_PER_DAY) /
        SECONDS_PER_DAY

/** Share of a core that the reducer of one node takes, in percent. */
internal fun PhaseResult.corePercent(): Double =
    nodeStats.values.flatten().sumOf { it.reduceNanos } / (seconds * nodes * NANOS_PER_PERCENT)

/** Share of a core that the reducers of the nodes with [role] take on average, in percent. */
internal fun PhaseResult.corePercent(role: Role): Double {
    val nodes = nodeStats[role].orEmpty()
    return if (nodes.isEmpty()) 0.0 else nodes.sumOf { it.reduceNanos } / (seconds * nodes.size * NANOS_PER_PERCENT)
}

private const val CHANGES_PER_DAY = 1_300
private const val REPLACEMENTS_PER_DAY = 120
private const val SECONDS_PER_DAY = 86_400
private const val NANOS_PER_PERCENT = 1e7
