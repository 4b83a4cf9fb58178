package boragelever.bench

import boragelever.core.control.Event
import boragelever.core.control.PeerMessage
import org.HdrHistogram.Histogram
import java.util.TreeMap

/** Messages between nodes since the start of a phase; bytes are those of the frames, without TCP and IP headers. */
internal class Traffic {
    var messages: Long = 0
        private set
    var bytes: Long = 0
        private set
    var remoteMessages: Long = 0
        private set
    var remoteBytes: Long = 0
        private set
    val bytesByKind: TreeMap<String, Long> = TreeMap()
    val remoteBytesByKind: TreeMap<String, Long> = TreeMap()

    fun count(kind: String, sizeBytes: Int, isRemote: Boolean) {
        messages++
        bytes += sizeBytes
        bytesByKind.merge(kind, sizeBytes.toLong(), Long::plus)
        if (isRemote) {
            remoteMessages++
            remoteBytes += sizeBytes
            remoteBytesByKind.merge(kind, sizeBytes.toLong(), Long::plus)
        }
    }
}

/** Real time of the reducer by kind of event, in nanoseconds. */
internal class ReduceTimes {
    val byKind: TreeMap<String, Histogram> = TreeMap()

    fun record(event: Event, nanos: Long) {
        byKind.getOrPut(event.kind()) { newHistogram() }.recordValue(minOf(nanos, 3_600_000_000L))
    }
}

internal fun Event.kind(): String =
    when (this) {
        is Event.PeerMessageReceived -> message.kind()
        else -> this::class.java.simpleName
    }

internal fun PeerMessage.kind(): String = this::class.java.simpleName
