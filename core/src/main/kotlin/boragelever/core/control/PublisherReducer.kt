package boragelever.core.control

/** State of the publisher concern. */
public data class PublisherState(public val unused: Unit = Unit)

internal fun reducePublisher(state: ControlState, event: Event): Transition =
    when (event) {
        else -> state.unchanged()
    }
