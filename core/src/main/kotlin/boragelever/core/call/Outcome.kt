package boragelever.core.call

/** What is known about whether a call ran in an upstream. */
public enum class Outcome(
    /** Value on the wire. */
    public val text: String,
) {
    /** The call provably did not run: no byte of it reached an upstream. */
    NOT_RUN("not-run"),

    /** An upstream ran the call and its answer is passed on. */
    COMPLETED("completed"),

    /** The call may or may not have run. */
    UNKNOWN("unknown"),
    ;

    public companion object {
        /** Returns the outcome with the wire value [text], or `null` if there is none. */
        public fun parse(text: String?): Outcome? = entries.firstOrNull { it.text == text }
    }
}
