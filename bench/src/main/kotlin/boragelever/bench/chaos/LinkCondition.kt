package boragelever.bench.chaos

/** Which way bytes go on the links of one node. */
internal enum class LinkDirection { TO_NODE, FROM_NODE }

/** What happens to the bytes on the links of one node. */
internal sealed interface LinkCondition {
    /** Bytes pass at once. */
    data object Open : LinkCondition

    /** Each piece waits for [millis], and later ones behind it. */
    data class Delayed(val millis: Long) : LinkCondition

    /** Bytes in [directions] are held until the condition changes; the others pass. */
    data class Cut(val directions: Set<LinkDirection>) : LinkCondition
}

/** What the proxy is told to do to the links of one node. */
internal sealed interface LinkCommand {
    /** Puts [condition] in force for connections that are open and for new ones. */
    data class Put(val condition: LinkCondition) : LinkCommand

    /** Ends all open connections with a reset. */
    data object Reset : LinkCommand

    /** Holds all bytes of open connections for ever, without closing them; new connections work. */
    data object Silence : LinkCommand
}

/** Parses a command of `chaos/run`, or returns `null` if there is none of this form. */
internal fun parseLinkCommand(text: String): LinkCommand? {
    val words = text.trim().split(' ')
    return when (words.first()) {
        "open" -> LinkCommand.Put(LinkCondition.Open)
        "delay" -> words.getOrNull(1)?.toLongOrNull()?.let { LinkCommand.Put(LinkCondition.Delayed(it)) }
        "cut" -> LinkCommand.Put(LinkCondition.Cut(LinkDirection.entries.toSet()))
        "cut-to" -> LinkCommand.Put(LinkCondition.Cut(setOf(LinkDirection.TO_NODE)))
        "cut-from" -> LinkCommand.Put(LinkCondition.Cut(setOf(LinkDirection.FROM_NODE)))
        "reset" -> LinkCommand.Reset
        "silence" -> LinkCommand.Silence
        else -> null
    }
}

/** What a piece of bytes does on a link under a condition. */
internal sealed interface Passage {
    /** It goes on after [afterMillis]. */
    data class Goes(val afterMillis: Long) : Passage

    /** It waits until the condition changes. */
    data object Waits : Passage
}

/** Returns what bytes in [direction] do on a connection, which is [silenced] or not. */
internal fun LinkCondition.passage(direction: LinkDirection, silenced: Boolean): Passage =
    when {
        silenced -> Passage.Waits
        this is LinkCondition.Cut && direction in directions -> Passage.Waits
        this is LinkCondition.Delayed -> Passage.Goes(millis)
        else -> Passage.Goes(0)
    }
