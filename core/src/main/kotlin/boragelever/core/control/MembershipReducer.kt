package boragelever.core.control

/** State of the membership concern. */
public data class MembershipState(public val unused: Unit = Unit)

internal fun reduceMembership(state: ControlState, event: Event): Transition =
    when (event) {
        else -> state.unchanged()
    }
