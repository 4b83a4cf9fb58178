package boragelever.core.control

import boragelever.core.EventContext
import boragelever.core.NodeId

/** Applies [step] to each of [items] in order and concatenates the effects. */
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

/** Continues with [step] if [condition] holds. */
internal inline fun Transition.andThenIf(condition: Boolean, step: (ControlState) -> Transition): Transition =
    if (condition) andThen(step) else this

/** Returns a random time below [boundMillis] in milliseconds, for full jitter. */
internal fun EventContext.jitterMillis(purpose: String, boundMillis: Long): Long =
    random(purpose).nextLong(maxOf(1, boundMillis))

/** Sends [message] to [peer]; does nothing if the member table does not contain the peer. */
internal fun ControlState.send(peer: NodeId, message: PeerMessage): Transition {
    val address = membership.table[peer]?.record?.peerAddress ?: return withoutEffects()
    return with(Effect.SendToPeer(peer, address, message))
}

internal inline fun ControlState.updateMembership(change: MembershipState.() -> MembershipState): ControlState =
    copy(membership = membership.change())
