package boragelever.node

/** Monotonic time of the process. */
public fun interface Clock {
    /** Returns the time in milliseconds; only differences are meaningful. */
    public fun nowMillis(): Long

    public companion object {
        /** The time of the JVM. */
        public val SYSTEM: Clock = Clock { System.nanoTime() / NANOS_PER_MILLI }
    }
}

internal const val NANOS_PER_MILLI: Long = 1_000_000
