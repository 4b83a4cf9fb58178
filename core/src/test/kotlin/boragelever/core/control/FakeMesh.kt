package boragelever.core.control

import boragelever.core.ConfigVersion
import boragelever.core.Digest
import boragelever.core.Epoch
import boragelever.core.EventContext
import boragelever.core.FakeStore
import boragelever.core.Fingerprint
import boragelever.core.Incarnation
import boragelever.core.NetworkAddress
import boragelever.core.NodeId
import boragelever.core.RegionName
import boragelever.core.SessionObserver
import boragelever.core.ZoneName
import boragelever.core.config.ConfigDocument
import boragelever.core.config.ConfigId
import boragelever.core.routing.RoutingSnapshot
import boragelever.core.store.ConfigSourceSnapshot
import boragelever.core.store.ObjectKey
import boragelever.core.store.RowValue
import boragelever.core.store.RowWrite
import boragelever.core.store.StoreCommand
import boragelever.core.store.StoreFailure
import boragelever.core.store.StoreKeys
import boragelever.core.store.StoreResult
import boragelever.core.store.WriteId
import java.util.PriorityQueue
import kotlin.random.Random

/** Faults of the links: probabilities of loss and duplication of a message, and the bound of its added random delay. */
internal data class Faults(val loss: Double = 0.0, val duplication: Double = 0.0, val reorderMillis: Long = 0)

/** One node of a [FakeMesh] across restarts; [generation] is the number of its starts. */
internal class FakeNode(val identity: NodeIdentity) {
    var state: ControlState = ControlState(identity)
    var isUp: Boolean = false
    var generation: Int = 0
    var isPaused: Boolean = false
    val deferredEvents = mutableListOf<Event>()
    val connected = mutableSetOf<NodeId>()
    val snapshots = mutableListOf<Pair<Long, RoutingSnapshot>>()
    val violations = mutableListOf<String>()
}

/** Simulates many nodes with one clock and one event queue, with delays and faults on their links. */
internal class FakeMesh(
    size: MeshSize,
    seed: Int,
    private val observer: SessionObserver = SessionObserver.None,
    private val observed: NodeId? = null,
) {
    private val random = Random(seed)
    private val queue = PriorityQueue<Pending>(compareBy({ it.atMillis }, { it.order }))
    private var order = 0L
    var nowMillis: Long = 10_000
    var faults: Faults = Faults()
    var isStoreUp: Boolean = true
    var store = FakeStore()

    /** Time before which all connections to the store were opened that have gone silent. */
    private var silencedMillis = 0L

    /** True if the link between two nodes is cut. A cut link loses messages without an error. */
    var isCut: (FakeNode, FakeNode) -> Boolean = { _, _ -> false }
    val nodes: List<FakeNode> = size.identities().map { FakeNode(it) }
    private val nodesByAddress = nodes.associateBy { it.identity.peerAddress }
    private val digests = mutableMapOf<ConfigVersion, Digest>()

    private class Pending(val atMillis: Long, val order: Long, val action: () -> Unit)

    /** Handles [Effect.WatchCompletions] of a node. */
    var onWatch: (FakeNode, Set<Fingerprint>) -> Unit = { _, _ -> }

    fun schedule(delayMillis: Long, action: () -> Unit) {
        queue.add(Pending(nowMillis + delayMillis, order++, action))
    }

    fun runFor(millis: Long) {
        runUntil(millis) { false }
    }

    /** Runs in steps of 10 ms until [done] returns true; returns the elapsed time, or `null` after [limitMillis]. */
    fun runUntil(limitMillis: Long, done: () -> Boolean): Long? {
        val startMillis = nowMillis
        while (nowMillis < startMillis + limitMillis) {
            if (done()) return nowMillis - startMillis
            val stepEnd = nowMillis + 10
            while (queue.isNotEmpty() && queue.peek().atMillis <= stepEnd) {
                val next = queue.poll()
                nowMillis = maxOf(nowMillis, next.atMillis)
                next.action()
            }
            nowMillis = stepEnd
        }
        return if (done()) limitMillis else null
    }

    fun start(node: FakeNode) {
        node.generation++
        val incarnation = Incarnation(node.identity.incarnation.value + node.generation * 100L)
        node.state = ControlState(node.identity.copy(incarnation = incarnation))
        node.isUp = true
        node.isPaused = false
        node.connected.clear()
        node.deferredEvents.clear()
        dispatch(node, node.generation) { Event.Started(it) }
        val generation = node.generation
        schedule(random.nextLong(TICK_MILLIS)) { tick(node, generation) }
    }

    fun kill(node: FakeNode) {
        node.isUp = false
        nodes.forEach { other ->
            if (other.isUp && other.connected.remove(node.identity.node)) {
                schedule(latency(node, other)) { dispatch(other) { Event.PeerUnreachable(it, node.identity.node) } }
            }
        }
    }

    fun resume(node: FakeNode) {
        node.isPaused = false
        val deferred = node.deferredEvents.toList()
        node.deferredEvents.clear()
        deferred.forEach { event -> applyEvent(node, event) }
    }

    private fun tick(node: FakeNode, generation: Int) {
        if (!node.isUp || node.generation != generation) return
        if (!node.isPaused) dispatch(node, generation) { Event.Ticked(it) }
        schedule(TICK_MILLIS) { tick(node, generation) }
    }

    fun dispatch(node: FakeNode, generation: Int = node.generation, event: (EventContext) -> Event) {
        if (!node.isUp || node.generation != generation) return
        val created = event(EventContext(nowMillis, random.nextLong()))
        if (node.isPaused) node.deferredEvents += created else applyEvent(node, created)
    }

    private fun applyEvent(node: FakeNode, event: Event) = apply(node, event, reduce(node.state, event))

    /** Writes a new head row and offers the configuration to [node] as if [node] had published it. */
    fun publish(node: FakeNode, version: Long, document: ConfigDocument = sampleDocument(version)) {
        val id = ConfigId(ConfigVersion(version), document.digest())
        val key = ObjectKey("config/$version")
        val head = RowValue.Head(id.version, Epoch(1), id.digest, key, node.identity.node)
        val write = StoreCommand.Transact(WriteId("head"), emptyList(), listOf(RowWrite.Put(StoreKeys.HEAD, head)))
        store = store.execute(StoreCommand.PutDocument(key, document)).first.execute(write).first
        apply(node, null, node.state.offerConfig(id, document))
    }

    /** Offers the configuration of the head row to [node], as a publisher does if its predecessor failed to push it. */
    fun offerStoredHead(node: FakeNode) {
        val head = store.rows[StoreKeys.HEAD]?.value as? RowValue.Head ?: return
        apply(
            node,
            null,
            node.state.offerConfig(ConfigId(head.version, head.digest), store.documents.getValue(head.document)),
        )
    }

    private fun apply(node: FakeNode, event: Event?, transition: Transition) {
        node.checkInvariants(transition.state)
        val before = node.state
        node.state = transition.state
        if (event != null && node.identity.node == observed) {
            observer.reduced(nowMillis, node.identity.node, event, before, transition)
        }
        transition.effects.forEach { run(node, it) }
    }

    private fun FakeNode.checkInvariants(next: ControlState) {
        val config = next.applied ?: return
        if (config === state.applied) return
        if (config.id.version <= state.applied?.id.versionOrNone()) violations += "version decreased to ${config.id}"
        if (config.document.digest() != config.id.digest) violations += "wrong digest in ${config.id}"
        if (digests.getOrPut(config.id.version) { config.id.digest } != config.id.digest) violations += "two documents"
    }

    private fun run(node: FakeNode, effect: Effect) {
        when (effect) {
            is Effect.SendToPeer -> transmit(node, effect.address, effect.message)
            is Effect.ContactAddress -> transmit(node, effect.address, null)
            is Effect.CallStore -> callStore(node, effect)
            is Effect.CompileDocument -> compile(node, effect)
            is Effect.InstallSnapshot -> {
                val missingServices = effect.snapshot.routes.flatMap { it.destinations }.map { it.service } -
                    effect.snapshot.services.keys
                if (missingServices.isNotEmpty()) node.violations += "the snapshot lacks the services $missingServices"
                node.snapshots += nowMillis to effect.snapshot
            }
            is Effect.WatchCompletions -> onWatch(node, effect.fingerprints)
            is Effect.Exit -> kill(node)
            else -> Unit
        }
    }

    private fun transmit(from: FakeNode, address: NetworkAddress, message: PeerMessage?) {
        val to = nodesByAddress.getValue(address)
        if (isCut(from, to) || random.nextDouble() < faults.loss) return
        val copies = if (random.nextDouble() < faults.duplication) 2 else 1
        repeat(copies) {
            val extraMillis = if (faults.reorderMillis > 0) random.nextLong(faults.reorderMillis) else 0
            schedule(latency(from, to) + extraMillis) { receive(from, to, message) }
        }
    }

    private fun receive(from: FakeNode, to: FakeNode, message: PeerMessage?) {
        if (isCut(from, to)) return
        if (!to.isUp) {
            schedule(latency(from, to)) { dispatch(from) { Event.PeerUnreachable(it, to.identity.node) } }
            return
        }
        connect(from, to)
        if (message != null) dispatch(to) { Event.PeerMessageReceived(it, from.identity.node, message) }
    }

    private fun connect(from: FakeNode, to: FakeNode) {
        if (!from.isUp || !to.connected.add(from.identity.node)) return
        from.connected += to.identity.node
        val fromRecord = checkNotNull(from.state.membership.localRecord)
        val toRecord = checkNotNull(to.state.membership.localRecord)
        dispatch(to) { Event.PeerConnected(it, fromRecord) }
        dispatch(from) { Event.PeerConnected(it, toRecord) }
    }

    private fun latency(from: FakeNode, to: FakeNode): Long =
        if (from.identity.region == to.identity.region) 1 + random.nextLong(2) else 12 + random.nextLong(3)

    /** Writes [version] to the configuration source. */
    fun writeSource(version: Long) {
        val snapshot = ConfigSourceSnapshot(ConfigVersion(version), sampleDocument(version))
        store = store.copy(revision = store.revision + 1, source = snapshot to store.revision + 1)
    }

    /** Makes the open connections of all nodes to the store silent; new ones work. */
    fun silenceStoreConnections() {
        silencedMillis = nowMillis
    }

    /** Completes a watch request when the source changes, at the end of its wait or, if silent, at its timeout. */
    private fun awaitSource(
        node: FakeNode,
        effect: Effect.CallStore,
        command: StoreCommand.AwaitConfigSource,
        openedMillis: Long = nowMillis,
        generation: Int = node.generation,
    ) {
        val waitedMillis = nowMillis - openedMillis
        val isSilent = openedMillis < silencedMillis
        val isChanged = (store.source?.second ?: 0) > command.after.value
        val result = when {
            isSilent -> STORE_DOWN.takeIf { waitedMillis >= command.waitMillis + WATCH_TIMEOUT_SLACK_MILLIS }
            isChanged || waitedMillis >= command.waitMillis -> execute(command)
            else -> null
        }
        if (result == null) {
            schedule(5) { awaitSource(node, effect, command, openedMillis, generation) }
        } else {
            schedule(5) { dispatch(node, generation) { Event.StoreCommandCompleted(it, effect.request, result) } }
        }
    }

    private fun callStore(node: FakeNode, effect: Effect.CallStore) {
        val generation = node.generation
        val command = effect.command
        if (command is StoreCommand.AwaitConfigSource) return awaitSource(node, effect, command)
        schedule(5) {
            val result = if (isStoreUp) execute(effect.command) else STORE_DOWN
            dispatch(node, generation) { Event.StoreCommandCompleted(it, effect.request, result) }
        }
    }

    private fun execute(command: StoreCommand): StoreResult {
        val (next, result) = store.execute(command)
        store = next
        return result
    }

    private fun compile(node: FakeNode, effect: Effect.CompileDocument) {
        val generation = node.generation
        schedule(2) {
            val outcome = CompileOutcome.Compiled(sampleConfiguration(effect.document))
            dispatch(node, generation) { Event.DocumentCompiled(it, effect.version, outcome) }
        }
    }

    fun registerUpstream(node: FakeNode, state: UpstreamState) {
        val upstream = sampleUpstream(node.identity.node.value, state)
        dispatch(node) { Event.UpstreamRegistered(it, upstream, ttlMillis = 3_600_000) }
    }

    /** Cuts all links between the nodes for which [side] returns true and the others. */
    fun partition(side: (FakeNode) -> Boolean) {
        isCut = { a, b -> side(a) != side(b) }
    }

    fun heal() {
        isCut = { _, _ -> false }
    }

    fun live(): List<FakeNode> = nodes.filter { it.isUp && !it.isPaused }

    /** True if every live node has applied [version] and lists exactly the live nodes as alive. */
    fun hasConverged(version: Long): Boolean =
        live().all { it.state.applied?.id.versionOrNone() == ConfigVersion(version) } && membersAgree()

    fun membersAgree(): Boolean {
        val expected = live().map { it.identity.node }.toSet()
        return live().all { node ->
            val alive = node.state.membership.table.members.values.filter { it.status == MemberStatus.ALIVE }
            alive.size == expected.size && alive.all { it.record.node in expected }
        }
    }
}

/** Time beyond its wait after which the platform client gives up a watch request. */
private const val WATCH_TIMEOUT_SLACK_MILLIS = 500L

private val STORE_DOWN = StoreResult.StoreFailed(StoreFailure.Unavailable("the store is down"))

/** Number of regions, zones in each, and nodes in each zone. */
internal data class MeshSize(
    val regions: Int,
    val zones: Int,
    val nodes: Int,
    val seeds: Int = 3,
    val origin: ConfigOrigin = ConfigOrigin.Folder,
) {
    fun identities(): List<NodeIdentity> {
        val all = (0 until regions).flatMap { r ->
            (0 until zones).flatMap { z -> (0 until nodes).map { identity(r, z, it) } }
        }
        val seedAddresses = all.shuffled(Random(1)).take(seeds).map { it.peerAddress }
        return all.map { it.copy(seeds = seedAddresses, origin = origin) }
    }

    private fun identity(r: Int, z: Int, index: Int): NodeIdentity {
        val name = "n$r${z}_$index"
        return NodeIdentity(
            node = NodeId(name),
            region = RegionName("r$r"),
            zone = ZoneName("z$z"),
            peerAddress = NetworkAddress("$name:7000"),
            callAddress = NetworkAddress("$name:7001"),
            incarnation = Incarnation(1_000),
            epochOffsetMillis = 1_000_000_000,
        )
    }
}
