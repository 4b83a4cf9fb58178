package boragelever.core.control

import boragelever.core.ConfigVersion
import boragelever.core.EventContext
import boragelever.core.FileName
import boragelever.core.Fingerprint
import boragelever.core.InstanceId
import boragelever.core.NodeId
import boragelever.core.config.ConfigDocument
import boragelever.core.config.Configuration
import boragelever.core.store.EntityTag
import boragelever.core.store.StoreResult

/** An input of the control state of a node. */
public sealed interface Event {
    /** Time and randomness at which the event is reduced. */
    public val context: EventContext

    /** The process has started. Always the first event. */
    public data class Started(override val context: EventContext) : Event

    /** The timer fired; the runtime sends one each [TICK_MILLIS]. */
    public data class Ticked(override val context: EventContext) : Event

    /** The store command with this [request] has completed or failed. */
    public data class StoreCommandCompleted(
        override val context: EventContext,
        public val request: RequestId,
        public val result: StoreResult,
    ) : Event

    /** The listing or read of the operators' folder with this [request] has completed or failed. */
    public data class FolderRequestCompleted(
        override val context: EventContext,
        public val request: RequestId,
        public val result: FolderResult,
    ) : Event

    /** The folder files of a scan were merged and validated. */
    public data class FolderMerged(
        override val context: EventContext,
        public val request: RequestId,
        public val outcome: MergeOutcome,
    ) : Event

    /** The document of [Effect.CompileDocument] was compiled or refused. */
    public data class DocumentCompiled(
        override val context: EventContext,
        public val version: ConfigVersion,
        public val outcome: CompileOutcome,
    ) : Event

    /** A message arrived from a peer. */
    public data class PeerMessageReceived(
        override val context: EventContext,
        public val from: NodeId,
        public val message: PeerMessage,
    ) : Event

    /** A connection to or from a peer is open; [record] is the member record of the peer from its hello. */
    public data class PeerConnected(override val context: EventContext, public val record: MemberRecord) : Event

    /** A connection to [peer] could not be opened or was lost, or a message to it was dropped. */
    public data class PeerUnreachable(override val context: EventContext, public val peer: NodeId) : Event

    /** A local upstream registered or renewed its registration, which is valid for [ttlMillis]. */
    public data class UpstreamRegistered(
        override val context: EventContext,
        public val upstream: UpstreamRecord,
        public val ttlMillis: Long,
        /** Orders registrations that may arrive late, or `null` if they arrive in order. */
        public val order: RegistrationOrder? = null,
    ) : Event

    /** A local upstream deregistered. */
    public data class UpstreamDeregistered(
        override val context: EventContext,
        public val instance: InstanceId,
        /** Start of the instance that deregistered, on its own clock, or `null` if it did not say. */
        public val startedEpochMillis: Long? = null,
    ) : Event

    /** A local upstream crashed: it closed or refused connections while the calls with [inFlight] were running. */
    public data class UpstreamCrashed(
        override val context: EventContext,
        public val instance: InstanceId,
        public val inFlight: List<InterruptedRequest>,
    ) : Event

    /** The local upstream [instance] completed a request of [Effect.WatchCompletions]. */
    public data class RequestCompleted(
        override val context: EventContext,
        public val instance: InstanceId,
        public val fingerprint: Fingerprint,
    ) : Event

    /** The reloadable settings of the node were read again. */
    public data class SettingsChanged(
        override val context: EventContext,
        public val settings: ReloadableSettings,
    ) : Event

    /** The process was asked to stop. */
    public data class StopRequested(override val context: EventContext) : Event

    /** No request is being received or handled any longer. */
    public data class CallsFinished(override val context: EventContext) : Event

    /** A request arrived after [CallsFinished]. */
    public data class CallsResumed(override val context: EventContext) : Event
}

/** A request that was running in an upstream when it crashed. */
public data class InterruptedRequest(
    public val fingerprint: Fingerprint,
    /** True if a local upstream has completed the request recently, so that it did not cause the crash. */
    public val hasCompleted: Boolean = false,
    /** True if the request ran as a trial of its quarantine. */
    public val isTrial: Boolean = false,
)

/** Order of the registrations of one instance: a later start is newer; within one start, a higher sequence is newer. */
public data class RegistrationOrder(public val startedEpochMillis: Long, public val sequence: Long) :
    Comparable<RegistrationOrder> {
    override fun compareTo(other: RegistrationOrder): Int =
        compareValuesBy(this, other, RegistrationOrder::startedEpochMillis, RegistrationOrder::sequence)
}

/** Interval between two [Event.Ticked] in milliseconds. */
public const val TICK_MILLIS: Long = 100

/** Identifies a request by the part of the control state that issued it and a number unique in the process. */
public data class RequestId(public val owner: RequestOwner, public val number: Long) {
    override fun toString(): String = "${owner.name.lowercase()}#$number"
}

/** Part of the control state that issues requests and handles their results. */
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

/** Text and entity tag of a file, read together. */
public data class FolderFile(public val name: FileName, public val entityTag: EntityTag, public val text: String)

/** Result of a request to the operators' folder. */
public sealed interface FolderResult {
    /** Result of [Effect.ListFolder], sorted by name. */
    public data class Listed(public val entries: List<FolderEntry>) : FolderResult

    /** Result of [Effect.ReadFolder]; files removed in the meantime are omitted. */
    public data class Read(public val files: List<FolderFile>) : FolderResult

    /** The folder could not be read; [message] states the cause and the remedy. */
    public data class Failed(public val message: String) : FolderResult
}

/** Result of merging the folder. */
public sealed interface MergeOutcome {
    /** The folder is valid. */
    public data class Merged(public val document: ConfigDocument) : MergeOutcome

    /** The folder is rejected; each error names file, line, key and remedy. */
    public data class Rejected(public val errors: List<String>) : MergeOutcome
}

/** Result of compiling a document. */
public sealed interface CompileOutcome {
    /** The document is valid. */
    public data class Compiled(public val configuration: Configuration) : CompileOutcome

    /** This program version cannot apply the document. */
    public data class Refused(public val errors: List<String>) : CompileOutcome
}
