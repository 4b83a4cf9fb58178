package boragelever.core.call

/**
 * Names of the headers in which a node exchanges metadata of calls with callers and upstreams.
 *
 * A header that is `null` is neither read nor sent.
 */
public data class CallHeaderNames(
    /** Milliseconds that the sender still waits. */
    public val deadlineHeader: String = "boragelever-deadline-ms",
    /** Identifies one request; an upstream repeats it in its response. */
    public val requestIdHeader: String? = null,
    /** Instance for which a request is intended; any other instance refuses the request without running it. */
    public val expectedInstanceHeader: String? = null,
    /** Service of the host from which the call originates. */
    public val callingServiceHeader: String? = null,
    /** Marks a response as sent by an upstream that did not run the request. */
    public val notRunHeader: String? = null,
    /** Signature of an upstream's response; a successful response without it is not from the upstream. */
    public val signatureHeader: String? = null,
    /** Running requests, waiting requests and slots of an upstream, separated by commas. */
    public val loadHeader: String? = null,
    /** True if `Retry-After` may have fractions of a second. */
    public val hasFractionalRetryAfter: Boolean = false,
    /** Whether upstreams propagate the remaining attempts of a call chain. */
    public val passesAttempts: Boolean = true,
)
