package boragelever.wire

/** Reason why bytes from a peer are refused. The receiver closes the connection on each of these errors. */
public sealed interface FrameError {
    /** Description of the error and its remedy, for the log. */
    public val message: String

    /** The length field announces more than [MAX_FRAME_BYTES], or a negative length. */
    public data class Oversized(public val sizeBytes: Int) : FrameError {
        override val message: String
            get() = "frame of $sizeBytes bytes exceeds $MAX_FRAME_BYTES bytes; check which program uses the peer port"
    }

    /** The peer closed the connection within a frame. */
    public data class Truncated(public val expectedBytes: Int, public val foundBytes: Int) : FrameError {
        override val message: String
            get() = "frame of $expectedBytes bytes truncated after $foundBytes bytes; the peer closed the connection"
    }

    /** The bytes cannot be decoded. */
    public data class Malformed(public val reason: String) : FrameError {
        override val message: String
            get() = "cannot decode a frame: $reason; check that the peer runs an adjacent program version"
    }

    /** The peer speaks a protocol version that is not adjacent to this one. */
    public data class VersionUnsupported(public val peerVersion: Int) : FrameError {
        override val message: String
            get() = "peer has protocol version $peerVersion, not adjacent to $PROTOCOL_VERSION; upgrade step by step"
    }

    /** The peer did not prove that it has the shared key. */
    public data class Unauthenticated(public val reason: String) : FrameError {
        override val message: String
            get() = "peer authentication failed: $reason; configure the same shared key on all nodes"
    }
}
