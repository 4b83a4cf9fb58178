package boragelever.node

import boragelever.core.Fingerprint
import boragelever.core.config.ConfigError
import boragelever.core.config.render
import boragelever.core.control.CompileOutcome
import boragelever.core.control.Effect
import boragelever.core.control.Event
import boragelever.core.control.MergeOutcome
import boragelever.core.routing.RoutingSnapshot
import boragelever.node.peer.PeerTransport
import boragelever.platform.ConfigFolder
import boragelever.yaml.decodeConfigDocument
import boragelever.yaml.loadFolder
import com.github.michaelbull.result.fold
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import java.util.concurrent.atomic.AtomicReference

private val log = KotlinLogging.logger {}

/** Components of the node that effects act on. */
internal class EffectTargets(
    val store: MeteredPlatform,
    val folder: ConfigFolder,
    val transport: PeerTransport,
    val snapshots: AtomicReference<RoutingSnapshot?>,
    val leaveAcknowledgements: LeaveAcknowledgements,
    val watchCompletions: (Set<Fingerprint>) -> Unit,
    val noticeCounters: NoticeCounters,
    val exit: () -> Unit,
)

/** Executes effects. Slow ones run in a coroutine of [scope] and report their result as an event to [submit]. */
internal class EffectRunner(
    private val targets: EffectTargets,
    private val scope: CoroutineScope,
    private val submit: suspend (EventFactory) -> Unit,
) {
    /** Starts [effect] without blocking. */
    fun start(effect: Effect) {
        when (effect) {
            is Effect.CallStore -> launchInScope {
                val result = targets.store.execute(effect.command)
                submit { Event.StoreCommandCompleted(it, effect.request, result) }
            }
            is Effect.ListFolder -> launchInScope {
                val result = targets.folder.list()
                submit { Event.FolderRequestCompleted(it, effect.request, result) }
            }
            is Effect.ReadFolder -> launchInScope {
                val result = targets.folder.read(effect.names)
                submit { Event.FolderRequestCompleted(it, effect.request, result) }
            }
            is Effect.MergeFolder -> launchInScope {
                val outcome = merge(effect)
                submit { Event.FolderMerged(it, effect.request, outcome) }
            }
            is Effect.CompileDocument -> launchInScope {
                val outcome = compile(effect)
                submit { Event.DocumentCompiled(it, effect.version, outcome) }
            }
            is Effect.InstallSnapshot -> targets.snapshots.set(effect.snapshot)
            is Effect.SendToPeer -> targets.transport.send(effect.peer, effect.address, effect.message)
            is Effect.ContactAddress -> targets.transport.contact(effect.address)
            is Effect.ClosePeer -> targets.transport.disconnect(effect.peer)
            is Effect.AcknowledgeLeave -> targets.leaveAcknowledgements.acknowledge(effect.instance)
            is Effect.WatchCompletions -> targets.watchCompletions(effect.fingerprints)
            is Effect.Report -> {
                targets.noticeCounters.record(effect.notice)
                log.write(logLine(effect.notice))
            }
            is Effect.Exit -> targets.exit()
        }
    }

    private fun launchInScope(work: suspend () -> Unit) {
        scope.launch { work() }
    }
}

private fun merge(effect: Effect.MergeFolder): MergeOutcome =
    loadFolder(effect.files).fold(
        success = { MergeOutcome.Merged(it.document) },
        failure = { errors -> MergeOutcome.Rejected(errors.map(ConfigError::render)) },
    )

private fun compile(effect: Effect.CompileDocument): CompileOutcome =
    decodeConfigDocument(effect.document).fold(
        success = { CompileOutcome.Compiled(it) },
        failure = { errors -> CompileOutcome.Refused(errors.map(ConfigError::render)) },
    )
