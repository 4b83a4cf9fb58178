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

/** Delay of each effect's answer, in milliseconds of simulated time. */
private const val ANSWER_MILLIS = 5L

/** Something that a node reported, at [nowMillis] of simulated time. */
public data class Observation(public val nowMillis: Long, public val node: String, public val notice: Notice)

/** An event that reaches [node] at [atMillis]. */
private class Delivery(val atMillis: Long, val node: String, val event: (EventContext) -> Event)

/**
 * Several cores in one process that share one in-memory platform and one folder.
 *
 * The decisions are those of the product; what an embedder brings is this class: a queue of events, a clock, and a
 * place where each effect is carried out.
 */
public class EmbeddedMesh(private val seed: Long) {
    private val random = Random(seed)
    private val platform = MemoryPlatform()
    private val states = sortedMapOf<String, ControlState>()
    private val queue = ArrayDeque<Delivery>()
    private val observed = mutableListOf<Observation>()
    private var nowMillis = 0L

    /** Files of the folder by name; change it to edit the configuration. */
    public val folder: MutableMap<String, String> = sortedMapOf()

    /** All reports so far, oldest first. */
    public val observations: List<Observation> get() = observed

    /** Adds a node in its initial [state] and starts it. */
    public fun add(state: ControlState) {
        val name = state.identity.node.value
        states[name] = state
        deliver(name, 0) { Event.Started(it) }
    }

    /** Removes a node without notice, as a crash would. */
    public fun crash(node: String) {
        states.remove(node)
    }

    /** State of [node]; fails if there is none. */
    public fun state(node: String): ControlState = states.getValue(node)

    /** Advances the simulated time by [millis]. */
    public fun run(millis: Long) {
        val untilMillis = nowMillis + millis
        while (nowMillis < untilMillis) {
            states.keys.toList().forEach { node -> deliver(node, 0) { Event.Ticked(it) } }
            runDue(nowMillis + TICK_MILLIS)
        }
    }

    private fun runDue(untilMillis: Long) {
        while (true) {
            val next = queue.minByOrNull { it.atMillis }?.takeIf { it.atMillis < untilMillis } ?: break
            queue.remove(next)
            nowMillis = next.atMillis
            handle(next)
        }
        nowMillis = untilMillis
    }

    private fun handle(delivery: Delivery) {
        val state = states[delivery.node] ?: return
        val event = delivery.event(EventContext(nowMillis, random.nextLong()))
        val transition = reduce(state, event)
        states[delivery.node] = transition.state
        transition.effects.forEach { carryOut(delivery.node, it) }
    }

    private fun carryOut(node: String, effect: Effect) {
        when (effect) {
            is Effect.CallStore -> {
                val answer = storeAnswer(effect)
                deliver(node, ANSWER_MILLIS) { Event.StoreCommandCompleted(it, effect.request, answer) }
            }
            is Effect.ListFolder -> {
                val listed = FolderResult.Listed(folder.map { (name, text) -> FolderEntry(FileName(name), tag(text)) })
                deliver(node, ANSWER_MILLIS) { Event.FolderRequestCompleted(it, effect.request, listed) }
            }
            is Effect.ReadFolder -> {
                val files = effect.names.mapNotNull { name ->
                    folder[name.value]?.let { FolderFile(name, tag(it), it) }
                }
                deliver(node, ANSWER_MILLIS) {
                    Event.FolderRequestCompleted(it, effect.request, FolderResult.Read(files))
                }
            }
            is Effect.MergeFolder -> {
                val merged = MergeOutcome.Merged(merge(effect.files))
                deliver(node, ANSWER_MILLIS) { Event.FolderMerged(it, effect.request, merged) }
            }
            is Effect.CompileDocument -> {
                val compiled = CompileOutcome.Compiled(Configuration())
                deliver(node, ANSWER_MILLIS) { Event.DocumentCompiled(it, effect.version, compiled) }
            }
            is Effect.SendToPeer -> send(node, effect)
            is Effect.ContactAddress -> contact(node, effect)
            is Effect.ClosePeer, is Effect.InstallSnapshot, is Effect.Exit -> Unit
            is Effect.Report -> observed += Observation(nowMillis, node, effect.notice)
        }
    }

    private fun send(node: String, effect: Effect.SendToPeer) {
        val from = states.getValue(node).identity.node
        if (effect.peer.value in states) {
            deliver(effect.peer.value, ANSWER_MILLIS) { Event.PeerMessageReceived(it, from, effect.message) }
        } else {
            deliver(node, ANSWER_MILLIS) { Event.PeerUnreachable(it, effect.peer) }
        }
    }

    /** Introduces both ends to each other, as the handshake of a connection does. */
    private fun contact(node: String, effect: Effect.ContactAddress) {
        val peer = states.values.firstOrNull { it.identity.peerAddress == effect.address } ?: return
        listOf(node to peer.identity.node.value, peer.identity.node.value to node).forEach { (to, about) ->
            val record = states[about]?.membership?.localRecord ?: return
            deliver(to, ANSWER_MILLIS) { Event.PeerConnected(it, record) }
        }
    }

    private fun storeAnswer(effect: Effect.CallStore): StoreResult =
        when (val reply = platform.submit(PlatformRequest.Execute(effect.command))) {
            is PlatformReply.Completed -> reply.result
            else -> StoreResult.StoreFailed(StoreFailure.Unavailable("The platform in memory is down"))
        }

    /** Makes each file one entry. An embedder puts its own format here; the product uses YAML. */
    private fun merge(files: List<FolderFile>): ConfigDocument =
        ConfigDocument(files.associate { EntryKey(it.name.value) to it.text })

    private fun tag(text: String): EntityTag = EntityTag(text.hashCode().toString())

    private fun deliver(node: String, delayMillis: Long, event: (EventContext) -> Event) {
        queue += Delivery(nowMillis + delayMillis, node, event)
    }
}
