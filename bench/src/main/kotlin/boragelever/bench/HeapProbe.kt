package boragelever.bench

import boragelever.core.ConfigVersion
import boragelever.core.EventContext
import boragelever.core.config.ConfigId
import boragelever.core.control.ConfigBody
import boragelever.core.control.ControlState
import boragelever.core.control.Event
import boragelever.core.control.MemberStatus
import boragelever.core.control.MemberStatusRecord
import boragelever.core.control.MergeOutcome
import boragelever.core.control.PeerMessage
import boragelever.core.control.TreeScope
import boragelever.core.control.reduce
import boragelever.wire.DecodedFrame
import boragelever.wire.PROTOCOL_VERSION
import boragelever.wire.PeerFrame
import boragelever.wire.decodeFrame
import boragelever.wire.encodeFrame
import boragelever.wire.framePayload
import com.github.michaelbull.result.get

/** Heap of the control state of one node and sizes of what it is built from, in bytes. */
internal data class HeapResult(val stateBytes: Long, val tableFrameBytes: Int, val documentFrameBytes: Int)

/**
 * Measures the heap of one node's control state and snapshot.
 *
 * Each state is built from frames decoded for it alone, so that nothing is shared between the states as it is between
 * nodes of one simulated mesh.
 */
internal fun measureHeap(settings: MeshSettings): HeapResult {
    val frames = framesOf(settings)
    val copies = maxOf(4, HEAP_RECORDS / settings.size.nodes)
    val warm = buildState(settings, frames)
    val before = usedBytes()
    val states = List(copies) { buildState(settings, frames) }
    val bytes = (usedBytes() - before) / copies
    check(states.all { it.snapshot != null } && warm.snapshot != null) { "each state has a snapshot" }
    return HeapResult(bytes, frames[0].size, frames[1].size)
}

private fun framesOf(settings: MeshSettings): List<ByteArray> {
    val size = settings.size
    val records = (1 until size.nodes).map { host ->
        val identity = size.identity(host, life = 1)
        val started = reduce(ControlState(identity), Event.Started(STAMP)).state
        val announced = Event.UpstreamRegistered(STAMP, size.upstream(host, identity), 60_000)
        MemberStatusRecord(checkNotNull(reduce(started, announced).state.membership.localRecord), MemberStatus.ALIVE)
    }
    val document = (mergeFiles(BenchFolder(size, settings.profile).all()) as MergeOutcome.Merged).document
    val push = PeerMessage.ConfigPush(
        ConfigId(ConfigVersion(1), document.digest()),
        ConfigBody.Full(document),
        TreeScope.SELF,
    )
    return listOf(PeerMessage.MemberUpdate(1, records, TreeScope.SELF, isReply = true), push).map { message ->
        val frame = encodeFrame(PeerFrame(PROTOCOL_VERSION, records.first().record.node, message))
        checkNotNull(frame.get()) { "a message fits into a frame" }
    }
}

private fun buildState(settings: MeshSettings, frames: List<ByteArray>): ControlState {
    val identity = settings.size.identity(0, life = 1)
    val started = reduce(ControlState(identity), Event.Started(STAMP)).state
    val received = frames.fold(started) { state, bytes ->
        val frame = (decodeFrame(checkNotNull(framePayload(bytes).get())).get() as DecodedFrame.Known).frame
        reduce(state, Event.PeerMessageReceived(STAMP, frame.from, frame.message)).state
    }
    val pending = checkNotNull(received.pendingConfig) { "the pushed document is being compiled" }
    val compiled = Event.DocumentCompiled(STAMP, pending.id.version, compile(pending.document))
    return reduce(received, compiled).state
}

private fun usedBytes(): Long {
    repeat(3) {
        System.gc()
        Thread.sleep(50)
    }
    return Runtime.getRuntime().let { it.totalMemory() - it.freeMemory() }
}

private val STAMP = EventContext(10_000, seed = 1)

/** Members in all measured states together; enough for the result to stand out from the rest of the heap. */
private const val HEAP_RECORDS = 20_000
