package boragelever.core.control

/** State of the store concern. */
public data class StoreState(public val unused: Unit = Unit)

internal fun reduceStore(state: ControlState, event: Event): Transition =
    when (event) {
        else -> state.unchanged()
    }
