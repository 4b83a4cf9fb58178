package boragelever.core.control

/** State of the lease concern. */
public data class LeaseState(public val unused: Unit = Unit)

internal fun reduceLease(state: ControlState, event: Event): Transition =
    when (event) {
        else -> state.unchanged()
    }
