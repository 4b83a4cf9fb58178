package boragelever.bench

import boragelever.core.ConfigVersion
import boragelever.core.EventContext
import boragelever.core.NetworkAddress
import boragelever.core.config.ConfigDocument
import boragelever.core.config.ConfigError
import boragelever.core.config.DisseminationProfile
import boragelever.core.config.render
import boragelever.core.control.CompileOutcome
import boragelever.core.control.Effect
import boragelever.core.control.Event
import boragelever.core.control.FolderFile
import boragelever.core.control.FolderResult
import boragelever.core.control.MergeOutcome
import boragelever.core.control.PeerMessage
import boragelever.core.control.TICK_MILLIS
import boragelever.core.control.reduce
import boragelever.core.store.RowValue
import boragelever.core.store.RowWrite
import boragelever.core.store.StoreCommand
import boragelever.core.store.StoreKeys
import boragelever.core.store.StoreResult
import boragelever.wire.NONCE_BYTES
import boragelever.wire.PROTOCOL_VERSION
import boragelever.wire.PeerFrame
import boragelever.wire.createHello
import boragelever.wire.encodeFrame
import boragelever.wire.encodeHello
import boragelever.yaml.decodeConfigDocument
import boragelever.yaml.loadFolder
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import kotlin.random.Random

/** Parameters of a simulated mesh. */
internal data class MeshSettings(
    val size: MeshSize,
    val profile: DisseminationProfile,
    val seed: Long,
    val links: LinkSettings = LinkSettings(),
    /** Execution time of a store command. */
    val storeMicros: Long = 5_000,
    /** Time that a node takes to merge the folder or to compile a document. */
    val compileMicros: Long = 10_000,
)

/**
 * Simulates a mesh in virtual time.
 *
 * The production reducer advances the control state of each node; the network, the store and the folder are fakes.
 */
internal class Mesh(val settings: MeshSettings) {
    private val random = Random(settings.seed)
    private val queue = EventQueue(START_MICROS)
    private val links = Links(settings.links, random)
    private val compileOutcomes = HashMap<ConfigDocument, CompileOutcome>()
    private val nodesByAddress = HashMap<NetworkAddress, BenchNode>()
    private var mergedRevision = 0
    val nodes: MutableList<BenchNode> = mutableListOf()
    val store: BenchStore = BenchStore()
    val folder: BenchFolder = BenchFolder(settings.size, settings.profile)
    val convergence: Convergence = Convergence()
    val invariants: InvariantChecker = InvariantChecker()
    var traffic: Traffic = Traffic()
    var times: ReduceTimes = ReduceTimes()

    /** Digest of all events and their effects; two runs with the same settings have the same digest. */
    var digest: Long = settings.seed
        private set

    val nowMicros: Long get() = queue.nowMicros

    fun runningNodes(): List<BenchNode> = nodes.filter { it.isRunning }

    fun runFor(millis: Long): Unit = queue.runUntil(queue.nowMicros + millis * MICROS)

    fun schedule(delayMillis: Long, action: () -> Unit): Unit = queue.scheduleAfter(delayMillis * MICROS, action)

    /** Adds a node on [host] without starting it. */
    fun addNode(host: Int): BenchNode {
        val processNumber = nodes.count { it.host == host } + 1
        val node = BenchNode(nodes.size, host, settings.size.identity(host, processNumber))
        nodes += node
        nodesByAddress[node.identity.peerAddress] = node
        return node
    }

    /** Starts the process of [node] and registers its upstream. */
    fun start(node: BenchNode) {
        node.isRunning = true
        dispatch(node) { Event.Started(it) }
        registerUpstream(node)
        startTicks(node)
    }

    /** Starts the ticks of [node] at a random offset, so that the nodes do not tick simultaneously. */
    fun startTicks(node: BenchNode): Unit = queue.scheduleAfter(random.nextLong(TICK_MILLIS * MICROS)) { tick(node) }

    /** Ends the process; its peers observe that their connections are closed. */
    fun stop(node: BenchNode) {
        node.isRunning = false
        convergence.removeNode(node, nowMicros)
        node.peerNumbers.map { nodes[it] }.forEach { peer -> notifyPeerClosed(node, peer) }
        node.peerNumbers.clear()
    }

    /** Ends the host of [node] without closing its connections. */
    fun failHost(node: BenchNode) {
        node.isRunning = false
        node.isUnreachable = true
        convergence.removeNode(node, nowMicros)
    }

    fun edit(number: Int) {
        folder.edit(number)
        convergence.recordEdit(folder.revision, nowMicros)
    }

    fun dispatch(node: BenchNode, createEvent: (EventContext) -> Event) {
        if (!node.isRunning) return
        val event = createEvent(EventContext(nowMicros / MICROS, random.nextLong()))
        val before = node.state
        val startNanos = System.nanoTime()
        val transition = reduce(before, event)
        val nanos = System.nanoTime() - startNanos
        node.state = transition.state
        node.stats.reduceNanos += nanos
        node.stats.events++
        times.record(event, nanos)
        updateDigest(node, event, transition.effects)
        invariants.check(before, transition)
        val applied = transition.state.applied
        if (applied != null && applied !== before.applied) convergence.markApplied(node, applied.id.version, nowMicros)
        transition.effects.forEach { execute(node, it) }
    }

    private fun updateDigest(node: BenchNode, event: Event, effects: List<Effect>) {
        digest = digest * DIGEST_FACTOR + event.kind().hashCode()
        digest = digest * DIGEST_FACTOR + node.number
        digest = digest * DIGEST_FACTOR + nowMicros
        effects.forEach { digest = digest * DIGEST_FACTOR + it::class.java.simpleName.hashCode() }
    }

    private fun registerUpstream(node: BenchNode) {
        val upstream = settings.size.upstream(node.host, node.identity)
        dispatch(node) { Event.UpstreamRegistered(it, upstream, ttlMillis = UPSTREAM_TTL_MILLIS) }
    }

    private fun tick(node: BenchNode) {
        if (!node.isRunning) return
        dispatch(node) { Event.Ticked(it) }
        queue.scheduleAfter(TICK_MILLIS * MICROS) { tick(node) }
    }

    private fun execute(node: BenchNode, effect: Effect) {
        when (effect) {
            is Effect.CallStore -> executeStoreCommand(node, effect)
            is Effect.ListFolder -> executeFolderRequest(node, 1, { folder.list() }) { context, result ->
                Event.FolderRequestCompleted(context, effect.request, result)
            }
            is Effect.ReadFolder -> executeFolderRequest(node, effect.names.size, {
                folder.read(effect.names)
            }) { context, result ->
                Event.FolderRequestCompleted(context, effect.request, result)
            }
            is Effect.MergeFolder -> {
                mergedRevision = folder.revisionOf(effect.files)
                val outcome = mergeFiles(effect.files)
                queue.scheduleAfter(settings.compileMicros) {
                    dispatch(node) { Event.FolderMerged(it, effect.request, outcome) }
                }
            }
            is Effect.CompileDocument -> queue.scheduleAfter(settings.compileMicros) {
                val outcome = compileOutcomes.getOrPut(effect.document) { compile(effect.document) }
                dispatch(node) { Event.DocumentCompiled(it, effect.version, outcome) }
            }
            is Effect.SendToPeer -> send(node, effect.address, effect.message)
            is Effect.ContactAddress -> send(node, effect.address, null)
            is Effect.ClosePeer -> closeConnection(node, effect)
            is Effect.Exit -> stop(node)
            is Effect.InstallSnapshot, is Effect.AcknowledgeLeave, is Effect.WatchCompletions, is Effect.Report -> Unit
        }
    }

    private fun executeStoreCommand(node: BenchNode, effect: Effect.CallStore) {
        val isCrossRegion = node.identity.region != STORE_REGION
        queue.scheduleAfter(links.storeDelayMicros(node) + settings.storeMicros) {
            val result = store.execute(effect.command, isCrossRegion)
            if (effect.command.publishesConfig && result is StoreResult.Committed) recordPublished(effect.command)
            queue.scheduleAfter(links.storeDelayMicros(node)) {
                dispatch(node) { Event.StoreCommandCompleted(it, effect.request, result) }
            }
        }
    }

    private fun recordPublished(command: StoreCommand) {
        val writes = (command as StoreCommand.Transact).writes
        val head = writes.filterIsInstance<RowWrite.Put>().first { it.key == StoreKeys.HEAD }.value as RowValue.Head
        convergence.recordPublished(ConfigVersion(head.version.value), mergedRevision, nowMicros, runningNodes())
    }

    private fun executeFolderRequest(
        node: BenchNode,
        requests: Int,
        read: () -> FolderResult,
        createEvent: (EventContext, FolderResult) -> Event,
    ) {
        val isCrossRegion = node.identity.region != STORE_REGION
        queue.scheduleAfter(links.storeDelayMicros(node) + settings.storeMicros) {
            val result = read()
            store.countFolderReads(requests, result.bodyBytes(), isCrossRegion)
            queue.scheduleAfter(links.storeDelayMicros(node)) { dispatch(node) { createEvent(it, result) } }
        }
    }

    private fun send(from: BenchNode, address: NetworkAddress, message: PeerMessage?) {
        val to = nodesByAddress[address] ?: return
        val isNew = from.peerNumbers.add(to.number)
        if (isNew) links.openConnection(from, to, nowMicros)
        val sizeBytes = if (message == null) 1 else frameBytes(from, message)
        // No frame is sent on a new connection to a stopped process, since the connection is refused or times out.
        val isDelivered = to.isRunning || !isNew
        if (isNew && isDelivered) recordSent(from, to, "Hello", helloBytes(from))
        if (message != null && isDelivered) recordSent(from, to, message.kind(), sizeBytes)
        val atMicros = links.arrivalMicros(from, to, nowMicros, sizeBytes)
        queue.scheduleAt(atMicros) { deliver(from, to, message, sizeBytes) }
    }

    private fun deliver(from: BenchNode, to: BenchNode, message: PeerMessage?, sizeBytes: Int) {
        if (to.isUnreachable) return
        if (!to.isRunning) {
            from.peerNumbers.remove(to.number)
            queue.scheduleAfter(links.delayMicros(to, from)) {
                dispatch(from) { Event.PeerUnreachable(it, to.identity.node) }
            }
            return
        }
        if (!from.isRunning) return
        if (to.peerNumbers.add(from.number)) completeHandshake(from, to)
        if (message == null) return
        to.stats.receivedBytes += sizeBytes
        dispatch(to) { Event.PeerMessageReceived(it, from.identity.node, message) }
    }

    private fun completeHandshake(from: BenchNode, to: BenchNode) {
        val fromRecord = from.state.membership.localRecord ?: return
        val toRecord = to.state.membership.localRecord ?: return
        recordSent(to, from, "Hello", helloBytes(to))
        dispatch(to) { Event.PeerConnected(it, fromRecord) }
        queue.scheduleAfter(links.delayMicros(to, from)) { dispatch(from) { Event.PeerConnected(it, toRecord) } }
    }

    private fun closeConnection(node: BenchNode, effect: Effect.ClosePeer) {
        val peer = nodesByAddress.values.find { it.identity.node == effect.peer } ?: return
        if (node.peerNumbers.remove(peer.number)) notifyPeerClosed(node, peer)
    }

    private fun notifyPeerClosed(node: BenchNode, peer: BenchNode) {
        queue.scheduleAfter(links.delayMicros(node, peer)) {
            if (peer.peerNumbers.remove(node.number)) dispatch(peer) { Event.PeerUnreachable(it, node.identity.node) }
        }
    }

    private fun recordSent(from: BenchNode, to: BenchNode, kind: String, sizeBytes: Int) {
        from.stats.sentBytes += sizeBytes
        from.stats.sentMessages++
        traffic.count(kind, sizeBytes, from.identity.region != to.identity.region)
    }
}

private fun helloBytes(node: BenchNode): Int {
    val record = node.state.membership.localRecord ?: return 0
    val hello = createHello(record, ByteArray(NONCE_BYTES), key = null)
    return checkNotNull(encodeHello(hello).get()) { "a hello message exceeds the frame size limit" }.size
}

internal fun frameBytes(from: BenchNode, message: PeerMessage): Int {
    val frame = encodeFrame(PeerFrame(PROTOCOL_VERSION, from.identity.node, message))
    return checkNotNull(frame.get()) { "a bench message exceeds the frame size limit" }.size
}

private fun FolderResult.bodyBytes(): Int =
    when (this) {
        is FolderResult.Listed -> entries.sumOf { it.name.value.length + it.entityTag.value.length }
        is FolderResult.Read -> files.sumOf { it.text.length }
        is FolderResult.Failed -> 0
    }

internal fun mergeFiles(files: List<FolderFile>): MergeOutcome =
    loadFolder(files).fold(
        success = { MergeOutcome.Merged(it.document) },
        failure = { errors -> MergeOutcome.Rejected(errors.map(ConfigError::render)) },
    )

internal fun compile(document: ConfigDocument): CompileOutcome =
    decodeConfigDocument(document).fold(
        success = { CompileOutcome.Compiled(it) },
        failure = { errors -> CompileOutcome.Refused(errors.map(ConfigError::render)) },
    )

internal const val MICROS: Long = 1_000

/** Initial virtual time; not zero, because a real monotonic clock does not start at zero either. */
private const val START_MICROS = 10_000_000L

/** Longer than any run, so that upstreams do not have to renew their registration; the renewals are not simulated. */
private const val UPSTREAM_TTL_MILLIS = 86_400_000L

private const val DIGEST_FACTOR = 1_000_003L
