package boragelever.core

import boragelever.core.config.ConfigDocument
import boragelever.core.config.Configuration
import boragelever.core.config.DisseminationConfig
import boragelever.core.config.DisseminationProfile
import boragelever.core.config.EntryKey
import boragelever.core.config.IdempotencyConfig
import boragelever.core.config.RouteConfig
import boragelever.core.control.CompileOutcome
import boragelever.core.control.ControlState
import boragelever.core.control.Effect
import boragelever.core.control.Event
import boragelever.core.control.FolderEntry
import boragelever.core.control.FolderFile
import boragelever.core.control.FolderResult
import boragelever.core.control.MergeOutcome
import boragelever.core.control.NodeIdentity
import boragelever.core.control.Notice
import boragelever.core.control.TICK_MILLIS
import boragelever.core.control.reduce
import boragelever.core.store.EntityTag
import boragelever.core.store.RowValue
import boragelever.core.store.StoreAnswer
import boragelever.core.store.StoreFailure
import boragelever.core.store.StoreKeys

/** What the runtime of a [Session] does with an effect. */
enum class Handling {
    EXECUTE,

    /** Fails without having been executed. */
    UNAVAILABLE,

    /** Executes, but the answer is lost. */
    LOSE_AFTER,

    /** Is lost on the way, and so is the answer. */
    LOSE_BEFORE,

    /** Waits until [Session.releaseHeld]. */
    HOLD,
}

/**
 * Drives [reduce] of some nodes against one fake store and folder on a controlled clock.
 *
 * Checks at each event that no node moves back to an older version and that a version number names one document.
 */
class Session(nodeNames: List<String> = listOf("n1"), private val observer: SessionObserver = SessionObserver.None) {
    var nowMillis = 0L
        private set
    var store = FakeStore()
    val folder = sortedMapOf<FileName, String>()
    var handling: (NodeId, Effect) -> Handling = { _, _ -> Handling.EXECUTE }
    val notices = mutableListOf<Pair<NodeId, Notice>>()
    val nodes = nodeNames.map(::NodeId)
    private val states = nodes.associateWith { ControlState(identity(it)) }.toMutableMap()
    private val paused = mutableSetOf<NodeId>()
    private val frozenMillis = mutableMapOf<NodeId, Long>()
    private val held = mutableListOf<Pair<NodeId, Effect>>()
    private val queue = ArrayDeque<Pair<NodeId, Event>>()
    private val heads = mutableMapOf<ConfigVersion, Digest>()
    private var events = 0L

    val head: RowValue.Head? get() = store.rows[StoreKeys.HEAD]?.value as? RowValue.Head
    val status: RowValue.Status? get() = store.rows[StoreKeys.STATUS]?.value as? RowValue.Status
    val lease: RowValue.Lease? get() = store.rows[StoreKeys.LEASE]?.value as? RowValue.Lease

    /** Entries of the document that the head names. */
    val published: Map<String, String>?
        get() = head?.let { store.documents.getValue(it.document).entries.mapKeys { (key, _) -> key.value } }

    fun state(node: NodeId): ControlState = states.getValue(node)

    fun start() {
        nodes.forEach { send(it, Event.Started(stamp(it))) }
    }

    /** Sends ticks for [millis]; answers arrive in the same millisecond. */
    fun run(millis: Long) {
        val endMillis = nowMillis + millis
        while (nowMillis < endMillis) {
            nowMillis += TICK_MILLIS
            nodes.filterNot { it in paused }.forEach { send(it, Event.Ticked(stamp(it))) }
        }
    }

    /** Runs until [condition] holds; fails after [limitMillis]. */
    fun runUntil(what: String, limitMillis: Long = 60_000, condition: Session.() -> Boolean) {
        val endMillis = nowMillis + limitMillis
        while (!condition()) {
            check(nowMillis < endMillis) { "not reached within $limitMillis ms: $what" }
            run(TICK_MILLIS)
        }
    }

    fun pause(node: NodeId) {
        paused += node
    }

    fun resume(node: NodeId) {
        paused -= node
    }

    /** Stops the clock of [node], so that a paused node doesn't notice the pause. */
    fun freezeClock(node: NodeId) {
        frozenMillis[node] = nowMillis
    }

    /** Executes what was held. */
    fun releaseHeld() {
        val released = held.toList()
        held.clear()
        released.forEach { (node, effect) -> answer(node, effect, Handling.EXECUTE)?.let { queue += node to it } }
        drain()
    }

    fun send(node: NodeId, event: Event) {
        queue += node to event
        drain()
    }

    fun note(text: String): Unit = observer.note(nowMillis, text)

    fun stamp(node: NodeId): Stamp = Stamp(frozenMillis[node] ?: nowMillis, ++events * SEED_STEP)

    private fun drain() {
        while (true) {
            val (node, event) = queue.removeFirstOrNull() ?: return
            val before = states.getValue(node)
            val transition = reduce(before, event)
            states[node] = transition.state
            checkPromises(node, before, transition.state)
            observer.reduced(nowMillis, node, event, before, transition)
            transition.effects.forEach { effect -> perform(node, effect)?.let { queue += node to it } }
        }
    }

    private fun perform(node: NodeId, effect: Effect): Event? =
        when (val how = handling(node, effect)) {
            Handling.HOLD -> {
                held += node to effect
                null
            }
            else -> answer(node, effect, how)
        }

    private fun answer(node: NodeId, effect: Effect, how: Handling): Event? =
        when (effect) {
            is Effect.CallStore -> Event.StoreCommandCompleted(stamp(node), effect.request, storeAnswer(effect, how))
            is Effect.ListFolder ->
                Event.FolderRequestCompleted(
                    stamp(node),
                    effect.request,
                    folderAnswer(how) {
                        FolderResult.Listed(entries())
                    },
                )
            is Effect.ReadFolder ->
                Event.FolderRequestCompleted(
                    stamp(node),
                    effect.request,
                    folderAnswer(how) {
                        FolderResult.Read(read(effect.names))
                    },
                )
            is Effect.MergeFolder -> Event.FolderMerged(stamp(node), effect.request, merge(effect.files))
            is Effect.CompileDocument -> Event.DocumentCompiled(stamp(node), effect.version, compile(effect.document))
            is Effect.Report -> {
                notices += node to effect.notice
                null
            }
            else -> null
        }

    private fun storeAnswer(effect: Effect.CallStore, how: Handling): StoreAnswer {
        if (how == Handling.UNAVAILABLE) return StoreAnswer.StoreFailed(StoreFailure.Unavailable("refused"))
        val (next, answer) = store.execute(effect.command)
        if (how != Handling.LOSE_BEFORE) {
            store = next
            checkHead()
        }
        return if (how == Handling.EXECUTE) answer else StoreAnswer.StoreFailed(StoreFailure.AnswerLost("lost"))
    }

    private fun folderAnswer(how: Handling, answer: () -> FolderResult): FolderResult =
        if (how == Handling.EXECUTE) answer() else FolderResult.Failed("the folder is out of reach")

    private fun entries(): List<FolderEntry> = folder.map { (name, text) -> FolderEntry(name, tag(text)) }

    private fun read(names: List<FileName>): List<FolderFile> =
        names.mapNotNull { name -> folder[name]?.let { FolderFile(name, tag(it), it) } }

    private fun checkHead() {
        val current = head ?: return
        val digest = heads.getOrPut(current.version) { current.digest }
        check(digest == current.digest) { "two documents under ${current.version}" }
        check(heads.keys.max() == current.version) { "the head moved back to ${current.version}" }
    }

    private fun checkPromises(node: NodeId, before: ControlState, after: ControlState) {
        val earlier = before.applied?.id ?: return
        val later = checkNotNull(after.applied) { "$node dropped its configuration" }.id
        check(later == earlier || later.version > earlier.version) { "$node moved back from $earlier to $later" }
    }

    private companion object {
        const val SEED_STEP = 7_919L

        fun identity(node: NodeId): NodeIdentity =
            NodeIdentity(
                node = node,
                region = RegionName("khomas"),
                zone = ZoneName("a"),
                peerAddress = NetworkAddress("127.0.0.1:1"),
                callAddress = NetworkAddress("127.0.0.1:2"),
                incarnation = Incarnation(1),
            )

        fun tag(text: String): EntityTag = EntityTag(sha256(listOf(text)).value.take(8))

        /** Stands for the parser of the folder: `key: value` lines, and braces mark a half-written file. */
        fun merge(files: List<FolderFile>): MergeOutcome {
            val broken = files.filter { '{' in it.text }.map { "${it.name}:1: unclosed brace; close it" }
            if (broken.isNotEmpty()) return MergeOutcome.Rejected(broken)
            val lines = files.flatMap { it.text.lines() }
            return MergeOutcome.Merged(
                ConfigDocument(lines.associate { EntryKey(it.substringBefore(": ")) to it.substringAfter(": ") }),
            )
        }

        fun compile(document: ConfigDocument): CompileOutcome {
            if (document.entries.containsKey(EntryKey("future"))) return CompileOutcome.Refused(listOf("unknown key"))
            val bytes = document.entries[EntryKey("profile")] == "bytes"
            val profile = if (bytes) DisseminationProfile.BYTES else DisseminationProfile.CONVERGENCE
            val routes = document.entries[EntryKey("keep_ms")]?.let { keepingRoute(it.toLong()) }.orEmpty()
            return CompileOutcome.Compiled(
                Configuration(routes = routes, dissemination = DisseminationConfig(profile, 2_000)),
            )
        }

        fun keepingRoute(keepMillis: Long): Map<RouteName, RouteConfig> {
            val idempotency = IdempotencyConfig(keepOutcomeMillis = keepMillis)
            return mapOf(
                RouteName("r") to RouteConfig(pathPrefix = "/", destinations = emptyMap(), idempotency = idempotency),
            )
        }
    }
}
