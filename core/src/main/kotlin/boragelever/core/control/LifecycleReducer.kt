package boragelever.core.control

internal fun reduceLifecycle(state: ControlState, event: Event): Transition =
    when (event) {
        else -> state.unchanged()
    }
