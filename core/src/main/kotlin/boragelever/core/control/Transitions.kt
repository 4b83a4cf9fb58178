package boragelever.core.control

import boragelever.core.NodeId
import boragelever.core.Stamp

/** Applies [step] for each of [items] in turn. */
internal inline fun <T> ControlState.foldTransitions(
    items: Iterable<T>,
    step: (ControlState, T) -> Transition,
): Transition {
    val effects = mutableListOf<Effect>()
    var current = this
    for (item in items) {
        val next = step(current, item)
        current = next.state
        effects += next.effects
    }
    return Transition(current, effects)
}

/** Applies [step] if [condition] holds. */
internal inline fun Transition.andThenIf(condition: Boolean, step: (ControlState) -> Transition): Transition =
    if (condition) andThen(step) else this

/** Returns a random time below [boundMillis], the full jitter of a wait. */
internal fun Stamp.jitterMillis(purpose: String, boundMillis: Long): Long =
    random(purpose).nextLong(maxOf(1, boundMillis))

/** Sends [message] to [peer], or nothing if its address is not known. */
internal fun ControlState.send(peer: NodeId, message: PeerMessage): Transition {
    val address = membership.table[peer]?.record?.peerAddress ?: return withoutEffects()
    return with(Effect.SendToPeer(peer, address, message))
}

internal inline fun ControlState.updateMembers(change: MembershipState.() -> MembershipState): ControlState =
    copy(membership = membership.change())
