package boragelever.core.control

/** State of the quarantine concern. */
public data class QuarantineState(public val unused: Unit = Unit)

internal fun reduceQuarantine(state: ControlState, event: Event): Transition =
    when (event) {
        else -> state.unchanged()
    }
