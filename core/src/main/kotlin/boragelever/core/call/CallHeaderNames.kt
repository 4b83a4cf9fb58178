package boragelever.core.call

/**
 * Names of the headers by which a node exchanges with callers and upstreams what a call needs beside its content.
 *
 * A header that is `null` is neither read nor sent.
 */
public data class CallHeaderNames(
    /** Milliseconds that the sender still waits. */
    public val deadlineHeader: String = "boragelever-deadline-ms",
    /** Identifies one request; an upstream repeats it in its response. */
    public val requestIdHeader: String? = null,
    /** Instance that a request is meant for; any other one refuses it without running it. */
    public val expectedInstanceHeader: String? = null,
    /** Service of the host on which a call began. */
    public val callingServiceHeader: String? = null,
    /** Marks a response of an upstream that did not run the request. */
    public val notRunHeader: String? = null,
    /** Signature of an upstream's response; a success without it is not the upstream's. */
    public val signatureHeader: String? = null,
    /** Running requests, waiting requests and slots of an upstream, separated by commas. */
    public val loadHeader: String? = null,
    /** True if `Retry-After` may have fractions of a second. */
    public val hasFractionalRetryAfter: Boolean = false,
    /** True if upstreams hand on the attempts that a call chain has left. */
    public val passesAttempts: Boolean = true,
)
