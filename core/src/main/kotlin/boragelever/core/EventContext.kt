package boragelever.core

/**
 * Time and random seed that accompany an event, so that reducers stay pure.
 *
 * @property nowMillis monotonic time of the node in milliseconds; only differences are meaningful.
 * @property seed seed for random choices made while the event is reduced.
 */
public data class EventContext(public val nowMillis: Long, public val seed: Long)
