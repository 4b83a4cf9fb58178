package boragelever.bench.chaos

/** Direction of bytes on the links of one node. */
internal enum class LinkDirection { TO_NODE, FROM_NODE }

/** Network condition of the links of one node. */
internal sealed interface LinkCondition {
    /** Bytes are forwarded immediately. */
    data object Open : LinkCondition

    /** Each chunk is forwarded after [millis]; later chunks queue behind it. */
    data class Delayed(val millis: Long) : LinkCondition

    /** Bytes in [directions] are held back until the condition changes; others are forwarded. */
    data class Blocked(val directions: Set<LinkDirection>) : LinkCondition
}

/** A command to the proxy about the links of one node. */
internal sealed interface LinkCommand {
    /** Applies [condition] to open and to new connections. */
    data class SetCondition(val condition: LinkCondition) : LinkCommand

    /** Closes all open connections with a TCP reset. */
    data object Reset : LinkCommand

    /** Holds back all bytes of the open connections for good, without closing them; new connections work. */
    data object Silence : LinkCommand
}

/** Parses a command of `chaos/run`, or returns `null` if [text] is not a valid command. */
internal fun parseLinkCommand(text: String): LinkCommand? {
    val words = text.trim().split(' ')
    return when (words.first()) {
        "open" -> LinkCommand.SetCondition(LinkCondition.Open)
        "delay" -> words.getOrNull(1)?.toLongOrNull()?.let { LinkCommand.SetCondition(LinkCondition.Delayed(it)) }
        "cut" -> LinkCommand.SetCondition(LinkCondition.Blocked(LinkDirection.entries.toSet()))
        "cut-to" -> LinkCommand.SetCondition(LinkCondition.Blocked(setOf(LinkDirection.TO_NODE)))
        "cut-from" -> LinkCommand.SetCondition(LinkCondition.Blocked(setOf(LinkDirection.FROM_NODE)))
        "reset" -> LinkCommand.Reset
        "silence" -> LinkCommand.Silence
        else -> null
    }
}

/** Whether a chunk of bytes is forwarded. */
internal sealed interface TransferDecision {
    /** The chunk is forwarded after [afterMillis]. */
    data class Forward(val afterMillis: Long) : TransferDecision

    /** The chunk is held back until the condition changes. */
    data object HoldBack : TransferDecision
}

/** Decides about bytes in [direction] on a connection, which has been [silenced] or not. */
internal fun LinkCondition.transferDecision(direction: LinkDirection, silenced: Boolean): TransferDecision =
    when {
        silenced -> TransferDecision.HoldBack
        this is LinkCondition.Blocked && direction in directions -> TransferDecision.HoldBack
        this is LinkCondition.Delayed -> TransferDecision.Forward(millis)
        else -> TransferDecision.Forward(0)
    }
