package boragelever.core.control

import boragelever.core.ConfigVersion
import boragelever.core.EventContext
import boragelever.core.NodeId
import boragelever.core.config.ConfigDocument
import boragelever.core.config.ConfigId
import boragelever.core.config.Configuration
import boragelever.core.store.Row
import boragelever.core.store.StoreCommand
import boragelever.core.store.StoreResult

/** Sends single events to the reducer of one node; [effects] are those of the last step. */
internal class ReducerDriver(size: MeshSize = MeshSize(1, 1, 3)) {
    private val identities = size.identities()
    var state = ControlState(identities.first())
    var effects = emptyList<Effect>()
    var nowMillis = 0L
    val peers: List<NodeId> = identities.drop(1).map { it.node }

    val sent: List<PeerMessage> get() = effects.filterIsInstance<Effect.SendToPeer>().map { it.message }
    val notices: List<Notice> get() = effects.filterIsInstance<Effect.Report>().map { it.notice }

    init {
        step { Event.Started(it) }
        identities.drop(1).forEach { identity -> step { Event.PeerConnected(it, record(identity)) } }
    }

    fun step(event: (EventContext) -> Event): ReducerDriver =
        recordTransition(reduce(state, event(EventContext(nowMillis, nowMillis + 17))))

    fun receive(message: PeerMessage, from: NodeId = peers.first()): ReducerDriver =
        step { Event.PeerMessageReceived(it, from, message) }

    /** Ticks every [TICK_MILLIS] for [millis] and collects the effects. */
    fun tick(millis: Long): ReducerDriver {
        val collected = mutableListOf<Effect>()
        repeat((millis / TICK_MILLIS).toInt()) {
            nowMillis += TICK_MILLIS
            collected += step { Event.Ticked(it) }.effects
        }
        effects = collected
        return this
    }

    /** Applies [version] with [configuration] as if a peer had pushed it to this node only. */
    fun apply(version: Long, configuration: Configuration? = null): ReducerDriver {
        val document = sampleDocument(version)
        receive(PeerMessage.ConfigPush(sampleId(version), ConfigBody.Full(document), TreeScope.SELF))
        val compiled = CompileOutcome.Compiled(configuration ?: sampleConfiguration(document))
        return step { Event.DocumentCompiled(it, ConfigVersion(version), compiled) }
    }

    /** Starts the scan of the member rows and completes it with [rows]. */
    fun completeMemberScan(rows: List<Row> = emptyList()): ReducerDriver {
        val scan = tick(1_000).effects.filterIsInstance<Effect.CallStore>().first {
            it.command is StoreCommand.ScanRows
        }
        return step { Event.StoreCommandCompleted(it, scan.request, StoreResult.RowsRead(rows)) }
    }

    private fun recordTransition(transition: Transition): ReducerDriver {
        state = transition.state
        effects = transition.effects
        return this
    }

    companion object {
        fun record(identity: NodeIdentity): MemberRecord =
            MemberRecord(
                identity.node,
                identity.incarnation,
                sequence = 0,
                identity.region,
                identity.zone,
                identity.peerAddress,
                identity.callAddress,
            )
    }
}

internal fun sampleId(version: Long, document: ConfigDocument = sampleDocument(version)): ConfigId =
    ConfigId(ConfigVersion(version), document.digest())
