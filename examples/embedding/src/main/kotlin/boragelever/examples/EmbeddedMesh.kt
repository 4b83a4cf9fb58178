package boragelever.examples

import boragelever.core.EventContext
import boragelever.core.FileName
import boragelever.core.config.ConfigDocument
import boragelever.core.config.Configuration
import boragelever.core.config.EntryKey
import boragelever.core.control.CompileOutcome
import boragelever.core.control.ControlState
import boragelever.core.control.Effect
import boragelever.core.control.Event
import boragelever.core.control.FolderEntry
import boragelever.core.control.FolderFile
import boragelever.core.control.FolderResult
import boragelever.core.control.MergeOutcome
import boragelever.core.control.Notice
import boragelever.core.control.TICK_MILLIS
import boragelever.core.control.reduce
import boragelever.core.store.EntityTag
import boragelever.core.store.StoreFailure
import boragelever.core.store.StoreResult
import boragelever.standin.MemoryPlatform
import boragelever.standin.PlatformReply
import boragelever.standin.PlatformRequest
import kotlin.random.Random

/** Delay from an effect to the event with its result, in milliseconds of simulated time. */
private const val EFFECT_DELAY_MILLIS = 5L

/** A notice that [node] reported at [nowMillis], in milliseconds of simulated time. */
public data class Observation(public val nowMillis: Long, public val node: String, public val notice: Notice)

/** An event that is handled by [node] at [atMillis], in milliseconds of simulated time. */
private class Delivery(val atMillis: Long, val node: String, val event: (EventContext) -> Event)

/**
 * Several nodes in one process that share one in-memory platform and one folder.
 *
 * The decisions are made by [reduce] of the core module. An embedder provides what this class provides: an event queue,
 * a clock, and the execution of each effect.
 */
public class EmbeddedMesh(private val seed: Long) {
    private val random = Random(seed)
    private val platform = MemoryPlatform()
    private val states = sortedMapOf<String, ControlState>()
    private val queue = ArrayDeque<Delivery>()
    private val reportedNotices = mutableListOf<Observation>()
    private var nowMillis = 0L

    /** Files of the folder, contents by name; change the map to edit the configuration. */
    public val folder: MutableMap<String, String> = sortedMapOf()

    /** All notices reported so far, oldest first. */
    public val observations: List<Observation> get() = reportedNotices

    /** Adds a node in its initial [state] and starts it. */
    public fun add(state: ControlState) {
        val name = state.identity.node.value
        states[name] = state
        deliver(name, 0) { Event.Started(it) }
    }

    /** Removes [node] without telling the other nodes, like a crash. */
    public fun crash(node: String) {
        states.remove(node)
    }

    /** State of [node]; throws [NoSuchElementException] if there is no such node. */
    public fun state(node: String): ControlState = states.getValue(node)

    /** Advances the simulated time by [millis] and handles all events that become due. */
    public fun run(millis: Long) {
        val endMillis = nowMillis + millis
        while (nowMillis < endMillis) {
            states.keys.toList().forEach { node -> deliver(node, 0) { Event.Ticked(it) } }
            handleDueEvents(nowMillis + TICK_MILLIS)
        }
    }

    private fun handleDueEvents(endMillis: Long) {
        while (true) {
            val next = queue.minByOrNull { it.atMillis }?.takeIf { it.atMillis < endMillis } ?: break
            queue.remove(next)
            nowMillis = next.atMillis
            handle(next)
        }
        nowMillis = endMillis
    }

    private fun handle(delivery: Delivery) {
        val state = states[delivery.node] ?: return
        val event = delivery.event(EventContext(nowMillis, random.nextLong()))
        val transition = reduce(state, event)
        states[delivery.node] = transition.state
        transition.effects.forEach { execute(delivery.node, it) }
    }

    private fun execute(node: String, effect: Effect) {
        when (effect) {
            is Effect.CallStore -> {
                val result = executeStoreCommand(effect)
                deliver(node, EFFECT_DELAY_MILLIS) { Event.StoreCommandCompleted(it, effect.request, result) }
            }
            is Effect.ListFolder -> {
                val listing = FolderResult.Listed(
                    folder.map { (name, text) ->
                        FolderEntry(FileName(name), entityTag(text))
                    },
                )
                deliver(node, EFFECT_DELAY_MILLIS) { Event.FolderRequestCompleted(it, effect.request, listing) }
            }
            is Effect.ReadFolder -> {
                val files = effect.names.mapNotNull { name ->
                    folder[name.value]?.let { FolderFile(name, entityTag(it), it) }
                }
                deliver(node, EFFECT_DELAY_MILLIS) {
                    Event.FolderRequestCompleted(it, effect.request, FolderResult.Read(files))
                }
            }
            is Effect.MergeFolder -> {
                val merged = MergeOutcome.Merged(merge(effect.files))
                deliver(node, EFFECT_DELAY_MILLIS) { Event.FolderMerged(it, effect.request, merged) }
            }
            is Effect.CompileDocument -> {
                val compiled = CompileOutcome.Compiled(Configuration())
                deliver(node, EFFECT_DELAY_MILLIS) { Event.DocumentCompiled(it, effect.version, compiled) }
            }
            is Effect.SendToPeer -> send(node, effect)
            is Effect.ContactAddress -> contact(node, effect)
            is Effect.ClosePeer, is Effect.InstallSnapshot, is Effect.AcknowledgeLeave, is Effect.WatchCompletions,
            is Effect.Exit,
            -> Unit
            is Effect.Report -> reportedNotices += Observation(nowMillis, node, effect.notice)
        }
    }

    private fun send(node: String, effect: Effect.SendToPeer) {
        val sender = states.getValue(node).identity.node
        if (effect.peer.value in states) {
            deliver(effect.peer.value, EFFECT_DELAY_MILLIS) { Event.PeerMessageReceived(it, sender, effect.message) }
        } else {
            deliver(node, EFFECT_DELAY_MILLIS) { Event.PeerUnreachable(it, effect.peer) }
        }
    }

    /** Connects the nodes and exchanges their member records, as the handshake of a connection does. */
    private fun contact(node: String, effect: Effect.ContactAddress) {
        val peer = states.values.firstOrNull { it.identity.peerAddress == effect.address } ?: return
        listOf(node to peer.identity.node.value, peer.identity.node.value to node).forEach { (receiver, peerName) ->
            val record = states[peerName]?.membership?.localRecord ?: return
            deliver(receiver, EFFECT_DELAY_MILLIS) { Event.PeerConnected(it, record) }
        }
    }

    private fun executeStoreCommand(effect: Effect.CallStore): StoreResult =
        when (val reply = platform.submit(PlatformRequest.Execute(effect.command))) {
            is PlatformReply.Completed -> reply.result
            else -> StoreResult.StoreFailed(StoreFailure.Unavailable("the in-memory platform is down"))
        }

    /** Turns each file into one entry. An embedder parses its own format here; `boragelever` itself uses YAML. */
    private fun merge(files: List<FolderFile>): ConfigDocument =
        ConfigDocument(files.associate { EntryKey(it.name.value) to it.text })

    private fun entityTag(text: String): EntityTag = EntityTag(text.hashCode().toString())

    private fun deliver(node: String, delayMillis: Long, event: (EventContext) -> Event) {
        queue += Delivery(nowMillis + delayMillis, node, event)
    }
}
