package boragelever.core.control

import boragelever.core.ConfigVersion
import boragelever.core.FileName
import boragelever.core.Fingerprint
import boragelever.core.InstanceId
import boragelever.core.NodeId
import boragelever.core.Stamp
import boragelever.core.config.ConfigDocument
import boragelever.core.config.Configuration
import boragelever.core.store.EntityTag
import boragelever.core.store.StoreAnswer

/** Everything that can happen to the control state of a node. */
public sealed interface Event {
    /** Time and randomness at which the event is reduced. */
    public val stamp: Stamp

    /** The process has started. Always the first event. */
    public data class Started(override val stamp: Stamp) : Event

    /** The timer fired; the runtime sends one each [TICK_MILLIS]. */
    public data class Ticked(override val stamp: Stamp) : Event

    /** The store answered the command with this [request]. */
    public data class StoreCommandCompleted(
        override val stamp: Stamp,
        public val request: RequestId,
        public val result: StoreAnswer,
    ) : Event

    /** The operators' folder answered. */
    public data class FolderRequestCompleted(
        override val stamp: Stamp,
        public val request: RequestId,
        public val result: FolderResult,
    ) : Event

    /** The files of a scan were merged and validated. */
    public data class FolderMerged(
        override val stamp: Stamp,
        public val request: RequestId,
        public val outcome: MergeOutcome,
    ) : Event

    /** A received document was decoded. */
    public data class DocumentCompiled(
        override val stamp: Stamp,
        public val version: ConfigVersion,
        public val outcome: CompileOutcome,
    ) : Event

    /** A message arrived from a peer. */
    public data class PeerMessageReceived(
        override val stamp: Stamp,
        public val from: NodeId,
        public val message: PeerMessage,
    ) : Event

    /** A connection to or from a peer is open; [record] is what the peer said of itself in its hello. */
    public data class PeerConnected(override val stamp: Stamp, public val record: MemberRecord) : Event

    /** A connection to a peer could not be opened or was lost, or a message to it was dropped. */
    public data class PeerUnreachable(override val stamp: Stamp, public val peer: NodeId) : Event

    /** An upstream beside this node announced itself or renewed its announcement. */
    public data class UpstreamRegistered(
        override val stamp: Stamp,
        public val upstream: UpstreamRecord,
        public val ttlMillis: Long,
        /** Orders announcements whose delivery may be delayed, or `null` if they arrive in order. */
        public val order: RegistrationOrder? = null,
    ) : Event

    /** An upstream beside this node took its announcement back. */
    public data class UpstreamDeregistered(override val stamp: Stamp, public val instance: InstanceId) : Event

    /** The upstream beside this node closed its connections or refused them; [running] were in flight in it. */
    public data class UpstreamDied(
        override val stamp: Stamp,
        public val instance: InstanceId,
        public val inFlight: List<Fingerprint>,
    ) : Event

    /** The settings of the node were read anew. */
    public data class SettingsChanged(override val stamp: Stamp, public val settings: ReloadableSettings) : Event

    /** The process was asked to stop. */
    public data class StopRequested(override val stamp: Stamp) : Event

    /** No call is in flight any more. */
    public data class CallsFinished(override val stamp: Stamp) : Event
}

/** Order of the announcements of one instance: a later start goes first, then the higher number within it. */
public data class RegistrationOrder(public val startedEpochMillis: Long, public val sequence: Long) :
    Comparable<RegistrationOrder> {
    override fun compareTo(other: RegistrationOrder): Int =
        compareValuesBy(this, other, RegistrationOrder::startedEpochMillis, RegistrationOrder::sequence)
}

/** Interval of [Event.Ticked] in milliseconds. */
public const val TICK_MILLIS: Long = 100

/** Which part of the control state issued a request, and its number. */
public data class RequestId(public val owner: RequestOwner, public val number: Long) {
    override fun toString(): String = "${owner.name.lowercase()}#$number"
}

/** Part of the control state that issues requests. */
public enum class RequestOwner {
    LEASE,
    PUBLISHER,
    CLAIM_CLEANUP,
    CONFIG,
    DISSEMINATION,
    SOURCE,
    MEMBERSHIP,
}

/** Name and entity tag of a file in the operators' folder. */
public data class FolderEntry(public val name: FileName, public val entityTag: EntityTag)

/** Text of a file as read together with its entity tag. */
public data class FolderFile(public val name: FileName, public val entityTag: EntityTag, public val text: String)

/** Answer of the operators' folder. */
public sealed interface FolderResult {
    /** Answer to [Effect.ListFolder], in the order of names. */
    public data class Listed(public val entries: List<FolderEntry>) : FolderResult

    /** Answer to [Effect.ReadFolder]; a file removed meanwhile is left out. */
    public data class Read(public val files: List<FolderFile>) : FolderResult

    /** The folder could not be read; the [message] names the remedy. */
    public data class Failed(public val message: String) : FolderResult
}

/** Result of merging the folder. */
public sealed interface MergeOutcome {
    /** The folder is valid. */
    public data class Merged(public val document: ConfigDocument) : MergeOutcome

    /** The folder is refused; each error names file, line, key and remedy. */
    public data class Rejected(public val errors: List<String>) : MergeOutcome
}

/** Result of decoding a document. */
public sealed interface CompileOutcome {
    /** The document is valid. */
    public data class Compiled(public val configuration: Configuration) : CompileOutcome

    /** The document cannot be applied by this program version. */
    public data class Refused(public val errors: List<String>) : CompileOutcome
}
