package boragelever.core.control

/** State of the discovery concern. */
public data class DiscoveryState(public val unused: Unit = Unit)

internal fun reduceDiscovery(state: ControlState, event: Event): Transition =
    when (event) {
        else -> state.unchanged()
    }
