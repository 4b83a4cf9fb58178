package boragelever.bench

import boragelever.core.control.Event
import boragelever.core.control.PeerMessage
import org.HdrHistogram.Histogram
import java.util.TreeMap

/** Counters of the messages between nodes since the start of a phase; bytes are frame sizes without TCP/IP headers. */
internal class Traffic {
    var messages: Long = 0
        private set
    var bytes: Long = 0
        private set
    var crossRegionMessages: Long = 0
        private set
    var crossRegionBytes: Long = 0
        private set
    val bytesByKind: TreeMap<String, Long> = TreeMap()
    val crossRegionBytesByKind: TreeMap<String, Long> = TreeMap()

    fun count(kind: String, sizeBytes: Int, isCrossRegion: Boolean) {
        messages++
        bytes += sizeBytes
        bytesByKind.merge(kind, sizeBytes.toLong(), Long::plus)
        if (isCrossRegion) {
            crossRegionMessages++
            crossRegionBytes += sizeBytes
            crossRegionBytesByKind.merge(kind, sizeBytes.toLong(), Long::plus)
        }
    }
}

/** Wall-clock time of the reducer in nanoseconds, by kind of event. */
internal class ReduceTimes {
    val byKind: TreeMap<String, Histogram> = TreeMap()

    fun record(event: Event, nanos: Long) {
        byKind.getOrPut(event.kind()) { newHistogram() }.recordValue(minOf(nanos, 3_600_000_000L))
    }
}

/** Name of the event's class, or of the message's class if the event is a received message. */
internal fun Event.kind(): String =
    when (this) {
        is Event.PeerMessageReceived -> message.kind()
        else -> this::class.java.simpleName
    }

internal fun PeerMessage.kind(): String = this::class.java.simpleName
