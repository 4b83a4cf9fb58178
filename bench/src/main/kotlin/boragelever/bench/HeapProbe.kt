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

/** Heap size of one node's control state and sizes of the frames it is built from, in bytes. */
internal data class HeapResult(val stateBytes: Long, val tableFrameBytes: Int, val documentFrameBytes: Int)

/**
 * Measures the heap size of one node's control state and routing snapshot.
 *
 * The frames are decoded again for each state. In a simulated mesh the nodes share objects, so measuring those would
 * report too small a size.
 */
internal fun measureHeap(settings: MeshSettings): HeapResult {
    val frames = encodeFrames(settings)
    val copies = maxOf(4, TOTAL_MEMBER_RECORDS / settings.size.nodes)
    val warmUpState = buildState(settings, frames)
    val before = usedBytes()
    val states = List(copies) { buildState(settings, frames) }
    val bytes = (usedBytes() - before) / copies
    check(states.all { it.snapshot != null } && warmUpState.snapshot != null) { "a control state has no snapshot" }
    return HeapResult(bytes, frames[0].size, frames[1].size)
}

private fun encodeFrames(settings: MeshSettings): List<ByteArray> {
    val size = settings.size
    val records = (1 until size.nodes).map { host ->
        val identity = size.identity(host, processNumber = 1)
        val started = reduce(ControlState(identity), Event.Started(CONTEXT)).state
        val registered = Event.UpstreamRegistered(CONTEXT, size.upstream(host, identity), 60_000)
        MemberStatusRecord(checkNotNull(reduce(started, registered).state.membership.localRecord), MemberStatus.ALIVE)
    }
    val document = (mergeFiles(BenchFolder(size, settings.profile).allFiles()) as MergeOutcome.Merged).document
    val push = PeerMessage.ConfigPush(
        ConfigId(ConfigVersion(1), document.digest()),
        ConfigBody.Full(document),
        TreeScope.SELF,
    )
    return listOf(PeerMessage.MemberUpdate(1, records, TreeScope.SELF, isReply = true), push).map { message ->
        val frame = encodeFrame(PeerFrame(PROTOCOL_VERSION, records.first().record.node, message))
        checkNotNull(frame.get()) { "a bench message exceeds the frame size limit" }
    }
}

private fun buildState(settings: MeshSettings, frames: List<ByteArray>): ControlState {
    val identity = settings.size.identity(0, processNumber = 1)
    val started = reduce(ControlState(identity), Event.Started(CONTEXT)).state
    val received = frames.fold(started) { state, bytes ->
        val frame = (decodeFrame(checkNotNull(framePayload(bytes).get())).get() as DecodedFrame.Known).frame
        reduce(state, Event.PeerMessageReceived(CONTEXT, frame.from, frame.message)).state
    }
    val pending = checkNotNull(received.pendingConfig) { "the pushed document did not start a compilation" }
    val compiled = Event.DocumentCompiled(CONTEXT, pending.id.version, compile(pending.document))
    return reduce(received, compiled).state
}

private fun usedBytes(): Long {
    repeat(3) {
        System.gc()
        Thread.sleep(50)
    }
    return Runtime.getRuntime().let { it.totalMemory() - it.freeMemory() }
}

private val CONTEXT = EventContext(10_000, seed = 1)

/** Number of members in all measured states together, large enough to make the rest of the heap negligible. */
private const val TOTAL_MEMBER_RECORDS = 20_000
