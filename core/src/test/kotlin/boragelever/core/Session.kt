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
import boragelever.core.store.StoreFailure
import boragelever.core.store.StoreKeys
import boragelever.core.store.StoreResult

/** How a [Session] executes an effect. */
enum class Handling {
    EXECUTE,

    /** The effect fails without being executed. */
    UNAVAILABLE,

    /** The effect is executed, but its result is lost. */
    LOSE_AFTER,

    /** The effect is lost before its execution, and no result arrives. */
    LOSE_BEFORE,

    /** The effect waits until [Session.executeHeld]. */
    HOLD,
}

/**
 * Runs the reducers of several nodes against one fake store and folder with a simulated clock.
 *
 * Checks after each event that no node goes back to an older version and that each version number identifies one
 * document.
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
    private val heldEffects = mutableListOf<Pair<NodeId, Effect>>()
    private val queue = ArrayDeque<Pair<NodeId, Event>>()
    private val digestsByVersion = mutableMapOf<ConfigVersion, Digest>()
    private var eventCount = 0L

    val head: RowValue.Head? get() = store.rows[StoreKeys.HEAD]?.value as? RowValue.Head
    val status: RowValue.Status? get() = store.rows[StoreKeys.STATUS]?.value as? RowValue.Status
    val lease: RowValue.Lease? get() = store.rows[StoreKeys.LEASE]?.value as? RowValue.Lease

    /** Entries of the document that the head names, or `null` without a head. */
    val published: Map<String, String>?
        get() = head?.let { store.documents.getValue(it.document).entries.mapKeys { (key, _) -> key.value } }

    fun state(node: NodeId): ControlState = states.getValue(node)

    fun start() {
        nodes.forEach { send(it, Event.Started(eventContext(it))) }
    }

    /** Advances the clock by [millis] and sends the ticks; results arrive in the same millisecond. */
    fun run(millis: Long) {
        val endMillis = nowMillis + millis
        while (nowMillis < endMillis) {
            nowMillis += TICK_MILLIS
            nodes.filterNot { it in paused }.forEach { send(it, Event.Ticked(eventContext(it))) }
        }
    }

    /** Runs until [condition] holds; fails with [what] after [limitMillis]. */
    fun runUntil(what: String, limitMillis: Long = 60_000, condition: Session.() -> Boolean) {
        val endMillis = nowMillis + limitMillis
        while (!condition()) {
            check(nowMillis < endMillis) { "condition not met within $limitMillis ms: $what" }
            run(TICK_MILLIS)
        }
    }

    fun pause(node: NodeId) {
        paused += node
    }

    fun resume(node: NodeId) {
        paused -= node
    }

    /** Stops the clock of [node], so that a paused node does not detect the pause. */
    fun freezeClock(node: NodeId) {
        frozenMillis[node] = nowMillis
    }

    /** Executes the effects that were held. */
    fun executeHeld() {
        val effects = heldEffects.toList()
        heldEffects.clear()
        effects.forEach { (node, effect) -> resultEvent(node, effect, Handling.EXECUTE)?.let { queue += node to it } }
        processQueue()
    }

    fun send(node: NodeId, event: Event) {
        queue += node to event
        processQueue()
    }

    fun note(text: String): Unit = observer.note(nowMillis, text)

    fun eventContext(node: NodeId): EventContext =
        EventContext(frozenMillis[node] ?: nowMillis, ++eventCount * SEED_STEP)

    private fun processQueue() {
        while (true) {
            val (node, event) = queue.removeFirstOrNull() ?: return
            val before = states.getValue(node)
            val transition = reduce(before, event)
            states[node] = transition.state
            checkInvariants(node, before, transition.state)
            observer.reduced(nowMillis, node, event, before, transition)
            transition.effects.forEach { effect -> perform(node, effect)?.let { queue += node to it } }
        }
    }

    private fun perform(node: NodeId, effect: Effect): Event? =
        when (val how = handling(node, effect)) {
            Handling.HOLD -> {
                heldEffects += node to effect
                null
            }
            else -> resultEvent(node, effect, how)
        }

    private fun resultEvent(node: NodeId, effect: Effect, how: Handling): Event? =
        when (effect) {
            is Effect.CallStore ->
                Event.StoreCommandCompleted(eventContext(node), effect.request, storeResult(effect, how))
            is Effect.ListFolder ->
                Event.FolderRequestCompleted(
                    eventContext(node),
                    effect.request,
                    folderResult(how) { FolderResult.Listed(entries()) },
                )
            is Effect.ReadFolder ->
                Event.FolderRequestCompleted(
                    eventContext(node),
                    effect.request,
                    folderResult(how) { FolderResult.Read(read(effect.names)) },
                )
            is Effect.MergeFolder -> Event.FolderMerged(eventContext(node), effect.request, merge(effect.files))
            is Effect.CompileDocument ->
                Event.DocumentCompiled(eventContext(node), effect.version, compile(effect.document))
            is Effect.Report -> {
                notices += node to effect.notice
                null
            }
            else -> null
        }

    private fun storeResult(effect: Effect.CallStore, how: Handling): StoreResult {
        if (how == Handling.UNAVAILABLE) return StoreResult.StoreFailed(StoreFailure.Unavailable("refused"))
        val (next, result) = store.execute(effect.command)
        if (how != Handling.LOSE_BEFORE) {
            store = next
            checkHeadInvariants()
        }
        return if (how == Handling.EXECUTE) result else StoreResult.StoreFailed(StoreFailure.OutcomeUnknown("lost"))
    }

    private fun folderResult(how: Handling, result: () -> FolderResult): FolderResult =
        if (how == Handling.EXECUTE) result() else FolderResult.Failed("the folder is out of reach")

    private fun entries(): List<FolderEntry> = folder.map { (name, text) -> FolderEntry(name, tag(text)) }

    private fun read(names: List<FileName>): List<FolderFile> =
        names.mapNotNull { name -> folder[name]?.let { FolderFile(name, tag(it), it) } }

    private fun checkHeadInvariants() {
        val current = head ?: return
        val digest = digestsByVersion.getOrPut(current.version) { current.digest }
        check(digest == current.digest) { "two documents were published as ${current.version}" }
        check(digestsByVersion.keys.max() == current.version) { "the head went back to ${current.version}" }
    }

    private fun checkInvariants(node: NodeId, before: ControlState, after: ControlState) {
        val oldId = before.applied?.id ?: return
        val newId = checkNotNull(after.applied) { "$node no longer has a configuration" }.id
        check(newId == oldId || newId.version > oldId.version) { "$node went back from $oldId to $newId" }
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

        /** Replaces the folder parser: files contain `key: value` lines, and a brace marks a partly written file. */
        fun merge(files: List<FolderFile>): MergeOutcome {
            val errors = files.filter { '{' in it.text }.map { "${it.name}:1: unclosed brace; close it" }
            if (errors.isNotEmpty()) return MergeOutcome.Rejected(errors)
            val lines = files.flatMap { it.text.lines() }
            return MergeOutcome.Merged(
                ConfigDocument(lines.associate { EntryKey(it.substringBefore(": ")) to it.substringAfter(": ") }),
            )
        }

        fun compile(document: ConfigDocument): CompileOutcome {
            if (document.entries.containsKey(EntryKey("future"))) return CompileOutcome.Refused(listOf("unknown key"))
            val bytes = document.entries[EntryKey("profile")] == "bytes"
            val profile = if (bytes) DisseminationProfile.BYTES else DisseminationProfile.CONVERGENCE
            val routes = document.entries[EntryKey("keep_ms")]?.let { routeWithRetention(it.toLong()) }.orEmpty()
            return CompileOutcome.Compiled(
                Configuration(routes = routes, dissemination = DisseminationConfig(profile, 2_000)),
            )
        }

        fun routeWithRetention(retentionMillis: Long): Map<RouteName, RouteConfig> {
            val idempotency = IdempotencyConfig(keepOutcomeMillis = retentionMillis)
            return mapOf(
                RouteName("r") to RouteConfig(pathPrefix = "/", destinations = emptyMap(), idempotency = idempotency),
            )
        }
    }
}
