package boragelever.core.control

/** State of the dissemination concern. */
public data class DisseminationState(public val unused: Unit = Unit)

internal fun reduceDissemination(state: ControlState, event: Event): Transition =
    when (event) {
        else -> state.unchanged()
    }
