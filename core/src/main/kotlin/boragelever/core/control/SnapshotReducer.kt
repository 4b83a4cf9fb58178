package boragelever.core.control

internal fun reduceSnapshot(state: ControlState, event: Event): Transition =
    when (event) {
        else -> state.unchanged()
    }
