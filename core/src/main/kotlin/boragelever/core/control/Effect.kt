package boragelever.core.control

import boragelever.core.ConfigVersion
import boragelever.core.FileName
import boragelever.core.Fingerprint
import boragelever.core.InstanceId
import boragelever.core.NetworkAddress
import boragelever.core.NodeId
import boragelever.core.config.ConfigDocument
import boragelever.core.routing.RoutingSnapshot
import boragelever.core.store.StoreCommand

/** A side effect that the runtime executes for the control state. */
public sealed interface Effect {
    /** Executes [command], then sends [Event.StoreCommandCompleted] with the same [request]. */
    public data class CallStore(public val request: RequestId, public val command: StoreCommand) : Effect

    /** Lists the operators' folder, then sends [Event.FolderRequestCompleted]. */
    public data class ListFolder(public val request: RequestId) : Effect

    /** Reads the files [names] of the operators' folder, then sends [Event.FolderRequestCompleted]. */
    public data class ReadFolder(public val request: RequestId, public val names: List<FileName>) : Effect

    /** Merges and validates [files], then sends [Event.FolderMerged]. */
    public data class MergeFolder(public val request: RequestId, public val files: List<FolderFile>) : Effect

    /** Compiles [document], then sends [Event.DocumentCompiled] with the same [version]. */
    public data class CompileDocument(
        public val version: ConfigVersion,
        public val document: ConfigDocument,
    ) : Effect

    /** Replaces the snapshot that the traffic threads read. */
    public data class InstallSnapshot(public val snapshot: RoutingSnapshot) : Effect

    /** Sends [message], opening a connection to [address] if there is none. */
    public data class SendToPeer(
        public val peer: NodeId,
        public val address: NetworkAddress,
        public val message: PeerMessage,
    ) : Effect

    /** Opens a connection to an address whose node is not known; [Event.PeerConnected] then identifies the peer. */
    public data class ContactAddress(public val address: NetworkAddress) : Effect

    /** Closes the connection to a peer. */
    public data class ClosePeer(public val peer: NodeId) : Effect

    /** Acknowledges to [instance] that it is leaving; each such announcement is acknowledged once. */
    public data class AcknowledgeLeave(public val instance: InstanceId) : Effect

    /**
     * Replaces the requests whose completion at a local upstream is sent as [Event.RequestCompleted].
     *
     * A request that has completed recently is sent at once.
     */
    public data class WatchCompletions(public val fingerprints: Set<Fingerprint>) : Effect

    /** Logs [notice] and counts it in the metrics. */
    public data class Report(public val notice: Notice) : Effect

    /** Ends the process. */
    public data object Exit : Effect
}
