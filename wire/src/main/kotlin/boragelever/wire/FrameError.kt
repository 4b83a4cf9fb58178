package boragelever.wire

/** Why bytes from a peer are refused. The receiver closes the connection on each of them. */
public sealed interface FrameError {
    /** What is wrong and what to do about it. */
    public val message: String

    /** The length field announces more than [MAX_FRAME_BYTES], or a negative length. */
    public data class Oversized(public val sizeBytes: Int) : FrameError {
        override val message: String
            get() = "a frame of $sizeBytes bytes exceeds $MAX_FRAME_BYTES; check what connects to the peer port"
    }

    /** The connection ended within a frame. */
    public data class Truncated(public val expectedBytes: Int, public val foundBytes: Int) : FrameError {
        override val message: String
            get() = "a frame of $expectedBytes bytes ended after $foundBytes; the peer closed while it was sending"
    }

    /** The bytes do not decode. */
    public data class Malformed(public val reason: String) : FrameError {
        override val message: String
            get() = "a frame does not decode: $reason; check that the peer runs an adjacent program version"
    }

    /** The peer speaks a protocol version that is not adjacent to this one. */
    public data class VersionUnsupported(public val peerVersion: Int) : FrameError {
        override val message: String
            get() = "protocol version $peerVersion is not adjacent to $PROTOCOL_VERSION; upgrade in single steps"
    }

    /** The peer did not prove that it holds the shared key. */
    public data class Unauthenticated(public val reason: String) : FrameError {
        override val message: String
            get() = "the peer is not authenticated: $reason; give all nodes the same shared key"
    }
}
