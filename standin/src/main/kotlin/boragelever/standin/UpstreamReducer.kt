package boragelever.standin

import boragelever.core.IdempotencyKey
import boragelever.core.InstanceId
import boragelever.core.ServiceName
import boragelever.core.control.UpstreamState
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Settings of an upstream stand-in. */
public data class UpstreamSettings(
    public val service: ServiceName,
    public val instance: InstanceId,
    /** Maximum number of concurrent requests; further ones are shed with status 503. */
    public val slots: Int = 9,
    public val connections: Int = 130,
    /** Processing time of each request, in milliseconds. */
    public val serviceMillis: Long = 0,
    /** Body size of a download, in bytes. */
    public val bodySizeBytes: Int = 65_536,
    /** Time during which the instance is registered as starting, in milliseconds. */
    public val coldStartMillis: Long = 0,
    /** Time after which a crashed instance restarts on the same port, in milliseconds; 0 disables the restart. */
    public val restartDelayMillis: Long = 500,
)

/** Behaviour of an upstream stand-in. */
@Serializable
public sealed interface UpstreamMode {
    /** Serves each request normally. */
    @Serializable
    @SerialName("normal")
    public data object Normal : UpstreamMode

    /** Accepts requests and never responds. */
    @Serializable
    @SerialName("hang")
    public data object Hang : UpstreamMode

    /** Alternates between serving requests and closing connections, each for [periodMillis]. */
    @Serializable
    @SerialName("flap")
    public data class Flap(public val periodMillis: Long = 1_000) : UpstreamMode

    /** Adds [extraMillis] to the processing time of each request. */
    @Serializable
    @SerialName("slow")
    public data class Slow(public val extraMillis: Long = 1_000) : UpstreamMode

    /** Sends [afterBytes] bytes of each body, then nothing more while the connection stays open. */
    @Serializable
    @SerialName("stall")
    public data class Stall(public val afterBytes: Int = 1_024) : UpstreamMode

    /** Reports [loadPercent] regardless of the actual load. */
    @Serializable
    @SerialName("lie")
    public data class Lie(public val loadPercent: Int = 0) : UpstreamMode
}

/** State of an upstream stand-in. */
public data class UpstreamStandInState(
    public val settings: UpstreamSettings,
    public val mode: UpstreamMode = UpstreamMode.Normal,
    public val registeredState: UpstreamState = UpstreamState.SERVING,
    public val running: Int = 0,
    public val counts: UpstreamCounts = UpstreamCounts(),
)

/** Counters of an upstream stand-in since its creation; they survive crashes. */
@Serializable
public data class UpstreamCounts(
    /** Number of requests that started to run. */
    public val started: Long = 0,
    public val shed: Long = 0,
    public val crashes: Long = 0,
    /** Highest number of concurrent requests. */
    public val maxRunning: Int = 0,
    /** Number of runs by idempotency key. */
    public val runsByKey: Map<IdempotencyKey, Int> = emptyMap(),
)

/** The parts of a request that the stand-in evaluates. */
public data class UpstreamRequest(
    public val method: String,
    /** Path with query. */
    public val path: String,
    public val idempotencyKey: IdempotencyKey? = null,
    /** True if the request has [CRASH_HEADER]. */
    public val causesCrash: Boolean = false,
    /** Value of the `Range` header. */
    public val range: String? = null,
    /** Value of the `If-Range` header. */
    public val ifRange: String? = null,
    /** Value of the `X-Request-Id` header. */
    public val requestId: String? = null,
)

/** Input of [reduceUpstream]. */
public sealed interface UpstreamEvent {
    /** A request arrived at [nowMillis]. */
    public data class RequestArrived(public val request: UpstreamRequest, public val nowMillis: Long) : UpstreamEvent

    /** A running request ended, successfully or not. */
    public data object RequestEnded : UpstreamEvent

    /** The mode changes. */
    public data class ModeSet(public val mode: UpstreamMode) : UpstreamEvent

    /** The state with which the instance is registered changes. */
    public data class StateChanged(public val state: UpstreamState) : UpstreamEvent

    /** The instance restarted after a crash; its running requests were lost. */
    public data object Restarted : UpstreamEvent
}

/** Reaction of the stand-in to an event. */
public sealed interface UpstreamReply {
    /** Nothing is sent. */
    public data object None : UpstreamReply

    /** Runs for [delayMillis], then sends [body]. */
    public data class Run(
        public val body: UpstreamBody,
        public val delayMillis: Long,
        /** Load reported in [LOAD_HEADER], in percent of the slots. */
        public val loadPercent: Int,
        /** Number of body bytes after which nothing more is sent, or `null` to send all. */
        public val stallAfterBytes: Int? = null,
    ) : UpstreamReply

    /** Runs the request and never responds. */
    public data object Hang : UpstreamReply

    /** Responds with status 503 without running the request. */
    public data object Shed : UpstreamReply

    /** Closes the connection without running the request. */
    public data object BreakConnection : UpstreamReply

    /** Stops the instance and closes all its connections. */
    public data object Crash : UpstreamReply
}

/** Body of a response. */
public sealed interface UpstreamBody {
    /** Names the request and the instance that ran it. */
    @Serializable
    public data class Echo(
        public val method: String,
        public val path: String,
        public val service: ServiceName,
        public val instance: InstanceId,
    ) : UpstreamBody

    /** Bytes [first] to [last] of a download of [sizeBytes]; the content is the same on all instances. */
    public data class Download(
        public val first: Int,
        public val last: Int,
        public val sizeBytes: Int,
    ) : UpstreamBody {
        /** True if the response covers only a part of the download. */
        public val isPartial: Boolean get() = first > 0 || last < sizeBytes - 1

        /** Strong entity tag; equal on all instances with the same [sizeBytes]. */
        public val entityTag: String get() = downloadEntityTag(sizeBytes)

        /** Content of the range. */
        public fun bytes(): ByteArray = ByteArray(last - first + 1) { ((first + it) % CONTENT_PERIOD).toByte() }
    }
}

/** The next state of an upstream stand-in and its reply. */
public data class UpstreamStep(public val state: UpstreamStandInState, public val reply: UpstreamReply)

/** Applies [event] to [state]. Pure function: all effects are described by the reply. */
public fun reduceUpstream(state: UpstreamStandInState, event: UpstreamEvent): UpstreamStep =
    when (event) {
        is UpstreamEvent.RequestArrived -> requestArrived(state, event.request, event.nowMillis)
        is UpstreamEvent.RequestEnded ->
            UpstreamStep(state.copy(running = maxOf(0, state.running - 1)), UpstreamReply.None)
        is UpstreamEvent.ModeSet -> UpstreamStep(state.copy(mode = event.mode), UpstreamReply.None)
        is UpstreamEvent.StateChanged -> UpstreamStep(state.copy(registeredState = event.state), UpstreamReply.None)
        is UpstreamEvent.Restarted -> UpstreamStep(state.copy(running = 0), UpstreamReply.None)
    }

private fun requestArrived(state: UpstreamStandInState, request: UpstreamRequest, nowMillis: Long): UpstreamStep {
    val mode = state.mode
    return when {
        mode is UpstreamMode.Flap && nowMillis / mode.periodMillis % 2 == 1L ->
            UpstreamStep(state, UpstreamReply.BreakConnection)
        state.running >= state.settings.slots -> {
            val counts = state.counts.copy(shed = state.counts.shed + 1)
            UpstreamStep(state.copy(counts = counts), UpstreamReply.Shed)
        }
        request.causesCrash -> {
            val counts = state.counts.run(request, state.running + 1)
            UpstreamStep(state.copy(counts = counts.copy(crashes = counts.crashes + 1)), UpstreamReply.Crash)
        }
        else -> {
            val next = state.copy(running = state.running + 1, counts = state.counts.run(request, state.running + 1))
            UpstreamStep(next, next.run(request))
        }
    }
}

private fun UpstreamStandInState.run(request: UpstreamRequest): UpstreamReply {
    val load = running * PERCENT / settings.slots
    val reply = UpstreamReply.Run(createBody(request), settings.serviceMillis, load)
    return when (mode) {
        is UpstreamMode.Normal, is UpstreamMode.Flap -> reply
        is UpstreamMode.Hang -> UpstreamReply.Hang
        is UpstreamMode.Slow -> reply.copy(delayMillis = reply.delayMillis + mode.extraMillis)
        is UpstreamMode.Stall -> reply.copy(stallAfterBytes = mode.afterBytes)
        is UpstreamMode.Lie -> reply.copy(loadPercent = mode.loadPercent)
    }
}

private fun UpstreamStandInState.createBody(request: UpstreamRequest): UpstreamBody {
    if (!request.path.startsWith(DOWNLOAD_PATH)) {
        return UpstreamBody.Echo(request.method, request.path, settings.service, settings.instance)
    }
    val size = settings.bodySizeBytes
    val rangeApplies = request.ifRange == null || request.ifRange == downloadEntityTag(size)
    val range = if (rangeApplies) request.range?.let { RANGE.matchEntire(it) } else null
    val first = range?.groupValues?.get(1)?.toIntOrNull() ?: 0
    val last = range?.groupValues?.get(2)?.toIntOrNull() ?: (size - 1)
    val satisfiable = first <= last && last < size
    return if (satisfiable) UpstreamBody.Download(first, last, size) else UpstreamBody.Download(0, size - 1, size)
}

private fun UpstreamCounts.run(request: UpstreamRequest, running: Int): UpstreamCounts {
    val key = request.idempotencyKey
    val runs = if (key == null) runsByKey else runsByKey + (key to (runsByKey[key] ?: 0) + 1)
    return copy(started = started + 1, maxRunning = maxOf(maxRunning, running), runsByKey = runs)
}

private fun downloadEntityTag(sizeBytes: Int): String = "\"download-$sizeBytes\""

/** Path prefix of requests that return a download. */
public const val DOWNLOAD_PATH: String = "/download"

/** Request header that makes the instance crash while it runs the request. */
public const val CRASH_HEADER: String = "x-standin-crash"

/** Response header with the load, in percent of the slots. */
public const val LOAD_HEADER: String = "x-upstream-load"

private val RANGE = Regex("""bytes=(\d+)-(\d*)""")
private const val PERCENT = 100

/** Period of the download content; a prime, so that a shifted range does not match the correct one. */
private const val CONTENT_PERIOD = 251
