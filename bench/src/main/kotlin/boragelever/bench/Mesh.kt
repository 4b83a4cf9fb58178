package boragelever.bench

import boragelever.core.ConfigVersion
import boragelever.core.NetworkAddress
import boragelever.core.Stamp
import boragelever.core.config.ConfigDocument
import boragelever.core.config.ConfigError
import boragelever.core.config.DisseminationProfile
import boragelever.core.config.render
import boragelever.core.control.CompileOutcome
import boragelever.core.control.Effect
import boragelever.core.control.Event
import boragelever.core.control.FolderAnswer
import boragelever.core.control.FolderFile
import boragelever.core.control.MergeOutcome
import boragelever.core.control.PeerMessage
import boragelever.core.control.TICK_MILLIS
import boragelever.core.control.reduce
import boragelever.core.store.RowValue
import boragelever.core.store.RowWrite
import boragelever.core.store.StoreAnswer
import boragelever.core.store.StoreCommand
import boragelever.core.store.StoreKeys
import boragelever.wire.NONCE_BYTES
import boragelever.wire.PROTOCOL_VERSION
import boragelever.wire.PeerFrame
import boragelever.wire.createHello
import boragelever.wire.encodeFrame
import boragelever.wire.encodeHello
import boragelever.yaml.compileDocument
import boragelever.yaml.loadFolder
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import kotlin.random.Random

/** What a mesh is built from. */
internal data class MeshSettings(
    val size: MeshSize,
    val profile: DisseminationProfile,
    val seed: Long,
    val links: LinkSettings = LinkSettings(),
    /** Time in which the store executes a command. */
    val storeMicros: Long = 5_000,
    /** Time in which a node merges the folder or compiles a document. */
    val compileMicros: Long = 10_000,
)

/** Drives the control reducers of many nodes through fakes of their surroundings, in virtual time. */
internal class Mesh(val settings: MeshSettings) {
    private val random = Random(settings.seed)
    private val queue = EventQueue(START_MICROS)
    private val links = Links(settings.links, random)
    private val outcomes = HashMap<ConfigDocument, CompileOutcome>()
    private val byAddress = HashMap<NetworkAddress, BenchNode>()
    private var mergedEdition = 0
    val nodes: MutableList<BenchNode> = mutableListOf()
    val store: BenchStore = BenchStore()
    val folder: BenchFolder = BenchFolder(settings.size, settings.profile)
    val convergence: Convergence = Convergence()
    val promises: Promises = Promises()
    var traffic: Traffic = Traffic()
    var times: ReduceTimes = ReduceTimes()

    /** Changes with each event and its effects; equal for equal runs. */
    var digest: Long = settings.seed
        private set

    val nowMicros: Long get() = queue.nowMicros

    fun live(): List<BenchNode> = nodes.filter { it.isUp }

    fun runFor(millis: Long): Unit = queue.runUntil(queue.nowMicros + millis * MICROS)

    fun schedule(delayMillis: Long, action: () -> Unit): Unit = queue.after(delayMillis * MICROS, action)

    /** Makes a node on [host] that has not started yet. */
    fun add(host: Int): BenchNode {
        val life = nodes.count { it.host == host } + 1
        val node = BenchNode(nodes.size, host, settings.size.identity(host, life))
        nodes += node
        byAddress[node.identity.peerAddress] = node
        return node
    }

    /** Starts the process of [node] and has its upstream announce itself. */
    fun start(node: BenchNode) {
        node.isUp = true
        feed(node) { Event.Started(it) }
        announce(node)
        startTicks(node)
    }

    fun startTicks(node: BenchNode): Unit = queue.after(random.nextLong(TICK_MILLIS * MICROS)) { tick(node) }

    /** Ends the process; its peers see their connections closed. */
    fun end(node: BenchNode) {
        node.isUp = false
        convergence.ended(node, nowMicros)
        node.connected.map { nodes[it] }.forEach { peer -> closeFar(node, peer) }
        node.connected.clear()
    }

    /** Ends the host without closing any connection. */
    fun fail(node: BenchNode) {
        node.isUp = false
        node.isSilent = true
        convergence.ended(node, nowMicros)
    }

    fun edit(number: Int) {
        folder.edit(number)
        convergence.edited(folder.edition, nowMicros)
    }

    fun feed(node: BenchNode, event: (Stamp) -> Event) {
        if (!node.isUp) return
        val made = event(Stamp(nowMicros / MICROS, random.nextLong()))
        val before = node.state
        val startNanos = System.nanoTime()
        val transition = reduce(before, made)
        val nanos = System.nanoTime() - startNanos
        node.state = transition.state
        node.load.reduceNanos += nanos
        node.load.events++
        times.record(made, nanos)
        note(node, made, transition.effects)
        promises.check(before, transition)
        val applied = transition.state.applied
        if (applied != null && applied !== before.applied) convergence.applied(node, applied.id.version, nowMicros)
        transition.effects.forEach { run(node, it) }
    }

    private fun note(node: BenchNode, event: Event, effects: List<Effect>) {
        digest = digest * DIGEST_FACTOR + event.kind().hashCode()
        digest = digest * DIGEST_FACTOR + node.number
        digest = digest * DIGEST_FACTOR + nowMicros
        effects.forEach { digest = digest * DIGEST_FACTOR + it::class.java.simpleName.hashCode() }
    }

    private fun announce(node: BenchNode) {
        val upstream = settings.size.upstream(node.host, node.identity)
        feed(node) { Event.UpstreamAnnounced(it, upstream, ttlMillis = NO_EXPIRY_MILLIS) }
    }

    private fun tick(node: BenchNode) {
        if (!node.isUp) return
        feed(node) { Event.Ticked(it) }
        queue.after(TICK_MILLIS * MICROS) { tick(node) }
    }

    private fun run(node: BenchNode, effect: Effect) {
        when (effect) {
            is Effect.CallStore -> callStore(node, effect)
            is Effect.ListFolder -> answerFolder(node, 1, { folder.list() }) { stamp, answer ->
                Event.FolderAnswered(stamp, effect.request, answer)
            }
            is Effect.ReadFolder -> answerFolder(node, effect.names.size, {
                folder.read(effect.names)
            }) { stamp, answer ->
                Event.FolderAnswered(stamp, effect.request, answer)
            }
            is Effect.MergeFolder -> {
                mergedEdition = folder.editionOf(effect.files)
                val outcome = mergeFiles(effect.files)
                queue.after(settings.compileMicros) { feed(node) { Event.FolderMerged(it, effect.request, outcome) } }
            }
            is Effect.CompileDocument -> queue.after(settings.compileMicros) {
                val outcome = outcomes.getOrPut(effect.document) { compile(effect.document) }
                feed(node) { Event.DocumentCompiled(it, effect.version, outcome) }
            }
            is Effect.SendToPeer -> transmit(node, effect.address, effect.message)
            is Effect.ContactAddress -> transmit(node, effect.address, null)
            is Effect.ClosePeer -> close(node, effect)
            is Effect.Exit -> end(node)
            is Effect.InstallSnapshot, is Effect.Report -> Unit
        }
    }

    private fun callStore(node: BenchNode, effect: Effect.CallStore) {
        val isRemote = node.identity.region != STORE_REGION
        queue.after(links.storeDelayMicros(node) + settings.storeMicros) {
            val answer = store.execute(effect.command, isRemote)
            if (effect.command.isAcceptance && answer is StoreAnswer.Committed) accepted(effect.command)
            queue.after(links.storeDelayMicros(node)) {
                feed(node) { Event.StoreAnswered(it, effect.request, answer) }
            }
        }
    }

    private fun accepted(command: StoreCommand) {
        val writes = (command as StoreCommand.Transact).writes
        val head = writes.filterIsInstance<RowWrite.Put>().first { it.key == StoreKeys.HEAD }.value as RowValue.Head
        convergence.accepted(ConfigVersion(head.version.value), mergedEdition, nowMicros, live())
    }

    private fun answerFolder(
        node: BenchNode,
        requests: Int,
        read: () -> FolderAnswer,
        event: (Stamp, FolderAnswer) -> Event,
    ) {
        val isRemote = node.identity.region != STORE_REGION
        queue.after(links.storeDelayMicros(node) + settings.storeMicros) {
            val answer = read()
            store.countFolderReads(requests, answer.bodyBytes(), isRemote)
            queue.after(links.storeDelayMicros(node)) { feed(node) { event(it, answer) } }
        }
    }

    private fun transmit(from: BenchNode, address: NetworkAddress, message: PeerMessage?) {
        val to = byAddress[address] ?: return
        val isNew = from.connected.add(to.number)
        if (isNew) links.open(from, to, nowMicros)
        val sizeBytes = if (message == null) 1 else frameBytes(from, message)
        // A connection that is refused or not answered carries no frame.
        val carries = to.isUp || !isNew
        if (isNew && carries) count(from, to, "Hello", helloBytes(from))
        if (message != null && carries) count(from, to, message.kind(), sizeBytes)
        val atMicros = links.arrivalMicros(from, to, nowMicros, sizeBytes)
        queue.at(atMicros) { arrive(from, to, message, sizeBytes) }
    }

    private fun arrive(from: BenchNode, to: BenchNode, message: PeerMessage?, sizeBytes: Int) {
        if (to.isSilent) return
        if (!to.isUp) {
            from.connected.remove(to.number)
            queue.after(links.delayMicros(to, from)) {
                feed(from) { Event.PeerUnreachable(it, to.identity.node) }
            }
            return
        }
        if (!from.isUp) return
        if (to.connected.add(from.number)) greet(from, to)
        if (message == null) return
        to.load.receivedBytes += sizeBytes
        feed(to) { Event.PeerMessageReceived(it, from.identity.node, message) }
    }

    private fun greet(from: BenchNode, to: BenchNode) {
        val theirs = from.state.members.localRecord ?: return
        val ours = to.state.members.localRecord ?: return
        count(to, from, "Hello", helloBytes(to))
        feed(to) { Event.PeerConnected(it, theirs) }
        queue.after(links.delayMicros(to, from)) { feed(from) { Event.PeerConnected(it, ours) } }
    }

    private fun close(node: BenchNode, effect: Effect.ClosePeer) {
        val peer = byAddress.values.find { it.identity.node == effect.peer } ?: return
        if (node.connected.remove(peer.number)) closeFar(node, peer)
    }

    private fun closeFar(node: BenchNode, peer: BenchNode) {
        queue.after(links.delayMicros(node, peer)) {
            if (peer.connected.remove(node.number)) feed(peer) { Event.PeerUnreachable(it, node.identity.node) }
        }
    }

    private fun count(from: BenchNode, to: BenchNode, kind: String, sizeBytes: Int) {
        from.load.sentBytes += sizeBytes
        from.load.sentMessages++
        traffic.count(kind, sizeBytes, from.identity.region != to.identity.region)
    }
}

private fun helloBytes(node: BenchNode): Int {
    val record = node.state.members.localRecord ?: return 0
    val hello = createHello(record, ByteArray(NONCE_BYTES), key = null)
    return checkNotNull(encodeHello(hello).get()) { "a hello fits into a frame" }.size
}

internal fun frameBytes(from: BenchNode, message: PeerMessage): Int {
    val frame = encodeFrame(PeerFrame(PROTOCOL_VERSION, from.identity.node, message))
    return checkNotNull(frame.get()) { "a message fits into a frame" }.size
}

private fun FolderAnswer.bodyBytes(): Int =
    when (this) {
        is FolderAnswer.Listed -> entries.sumOf { it.name.value.length + it.entityTag.value.length }
        is FolderAnswer.Read -> files.sumOf { it.text.length }
        is FolderAnswer.Failed -> 0
    }

internal fun mergeFiles(files: List<FolderFile>): MergeOutcome =
    loadFolder(files).fold(
        success = { MergeOutcome.Merged(it.document) },
        failure = { errors -> MergeOutcome.Rejected(errors.map(ConfigError::render)) },
    )

internal fun compile(document: ConfigDocument): CompileOutcome =
    compileDocument(document).fold(
        success = { CompileOutcome.Compiled(it) },
        failure = { errors -> CompileOutcome.Refused(errors.map(ConfigError::render)) },
    )

internal const val MICROS: Long = 1_000

/** Virtual time of the start; not zero, as no monotonic clock starts at zero. */
private const val START_MICROS = 10_000_000L

/** Upstreams renew their announcement each few seconds; the bench leaves these events out. */
private const val NO_EXPIRY_MILLIS = 86_400_000L

private const val DIGEST_FACTOR = 1_000_003L
