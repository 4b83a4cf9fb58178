package boragelever.node

/** Monotonic clock of the process. */
public fun interface Clock {
    /** Returns the time in milliseconds from an arbitrary origin; only differences are meaningful. */
    public fun nowMillis(): Long

    public companion object {
        /** Clock backed by [System.nanoTime]. */
        public val SYSTEM: Clock = Clock { System.nanoTime() / NANOS_PER_MILLI }
    }
}

internal const val NANOS_PER_MILLI: Long = 1_000_000
