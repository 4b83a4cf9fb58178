package boragelever.core.call

/** Whether an upstream ran a call, as far as is known. */
public enum class Outcome(
    /** Value in headers and logs. */
    public val text: String,
) {
    /** The call provably did not run: no byte of it reached an upstream. */
    NOT_RUN("not-run"),

    /** An upstream ran the call and its response is forwarded. */
    COMPLETED("completed"),

    /** The call may or may not have run. */
    UNKNOWN("unknown"),
    ;

    public companion object {
        /** Returns the outcome whose [Outcome.text] is [text], or `null` if there is none. */
        public fun parse(text: String?): Outcome? = entries.firstOrNull { it.text == text }
    }
}
