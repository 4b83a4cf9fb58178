package boragelever.bench

/** Control load of a whole mesh as a fixed part and a part for each change and each replacement. */
internal data class Slopes(
    val idleBytesPerSecond: Double,
    val idleRemotePerSecond: Double,
    val bytesPerChange: Double,
    val remotePerChange: Double,
    val remoteStorePerChange: Double,
    val bytesPerReplacement: Double,
    val remotePerReplacement: Double,
    val remoteStorePerReplacement: Double,
)

/**
 * Returns the slopes of this result: bytes of frames between nodes and of the bodies of store requests.
 *
 * The load of a phase above that of the idle phase is put down to what happened in it.
 */
internal fun ControlResult.slopes(): Slopes {
    val all = slope { it.traffic.bytes + it.store.bytes }
    val remote = slope { it.traffic.remoteBytes + it.store.remoteBytes }
    val remoteStore = slope { it.store.remoteBytes }
    return Slopes(
        idleBytesPerSecond = all.idlePerSecond,
        idleRemotePerSecond = remote.idlePerSecond,
        bytesPerChange = all.perChange,
        remotePerChange = remote.perChange,
        remoteStorePerChange = remoteStore.perChange,
        bytesPerReplacement = all.perReplacement,
        remotePerReplacement = remote.perReplacement,
        remoteStorePerReplacement = remoteStore.perReplacement,
    )
}

private class Slope(val idlePerSecond: Double, val perChange: Double, val perReplacement: Double)

private fun ControlResult.slope(value: (PhaseResult) -> Long): Slope {
    val idlePerSecond = value(idle) / idle.seconds
    val perChange = (value(changes) - idlePerSecond * changes.seconds) / maxOf(1, changes.versions)
    val ofChurn = value(churn) - idlePerSecond * churn.seconds - perChange * churn.versions
    return Slope(idlePerSecond, perChange, ofChurn / replacements)
}

/** Bytes per second of the whole mesh on an ordinary day of the size that the design is for. */
internal val Slopes.dailyBytesPerSecond: Double
    get() = idleBytesPerSecond +
        (bytesPerChange * CHANGES_A_DAY + bytesPerReplacement * REPLACEMENTS_A_DAY) / DAY_SECONDS

/** Bytes per second between regions on such a day. */
internal val Slopes.dailyRemotePerSecond: Double
    get() = idleRemotePerSecond +
        (remotePerChange * CHANGES_A_DAY + remotePerReplacement * REPLACEMENTS_A_DAY) / DAY_SECONDS

/** Share of a core that the reducer of one node takes, in percent. */
internal fun PhaseResult.corePercent(): Double =
    loads.values.flatten().sumOf { it.reduceNanos } / (seconds * nodes * NANOS_PER_PERCENT)

/** Share of a core that the reducers of the nodes with [role] take on average, in percent. */
internal fun PhaseResult.corePercent(role: Role): Double {
    val nodes = loads[role].orEmpty()
    return if (nodes.isEmpty()) 0.0 else nodes.sumOf { it.reduceNanos } / (seconds * nodes.size * NANOS_PER_PERCENT)
}

private const val CHANGES_A_DAY = 1_300
private const val REPLACEMENTS_A_DAY = 120
private const val DAY_SECONDS = 86_400
private const val NANOS_PER_PERCENT = 1e7
