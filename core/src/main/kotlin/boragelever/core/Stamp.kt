package boragelever.core

/**
 * Time and randomness that an event brings into the pure part of the program.
 *
 * @property nowMillis monotonic time of the node in milliseconds; only differences are meaningful.
 * @property seed seed for random choices made while the event is reduced.
 */
public data class Stamp(public val nowMillis: Long, public val seed: Long)
