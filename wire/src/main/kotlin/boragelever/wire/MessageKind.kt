package boragelever.wire

import boragelever.core.control.PeerMessage
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer

/** A kind of peer message: its name on the wire and its serializer. */
@OptIn(ExperimentalSerializationApi::class)
internal class MessageKind<T : PeerMessage>(val serializer: KSerializer<T>) {
    val wireName: String = serializer.descriptor.serialName

    /** Returns the serializer for a message whose kind was determined by [forMessage]. */
    @Suppress("UNCHECKED_CAST") // `forMessage` returns for each message type the kind with its serializer.
    fun messageSerializer(): KSerializer<PeerMessage> = serializer as KSerializer<PeerMessage>

    companion object {
        private val heartbeat = MessageKind(PeerMessage.Heartbeat.serializer())
        private val heartbeatAck = MessageKind(PeerMessage.HeartbeatAck.serializer())
        private val configPush = MessageKind(PeerMessage.ConfigPush.serializer())
        private val configAck = MessageKind(PeerMessage.ConfigAck.serializer())
        private val configPull = MessageKind(PeerMessage.ConfigPull.serializer())
        private val sourceReport = MessageKind(PeerMessage.SourceReport.serializer())
        private val memberUpdate = MessageKind(PeerMessage.MemberUpdate.serializer())
        private val memberAck = MessageKind(PeerMessage.MemberAck.serializer())
        private val memberSummary = MessageKind(PeerMessage.MemberSummary.serializer())
        private val memberPull = MessageKind(PeerMessage.MemberPull.serializer())
        private val quarantineUpdate = MessageKind(PeerMessage.QuarantineUpdate.serializer())

        private val byName: Map<String, MessageKind<out PeerMessage>> =
            listOf(
                heartbeat,
                heartbeatAck,
                configPush,
                configAck,
                configPull,
                sourceReport,
                memberUpdate,
                memberAck,
                memberSummary,
                memberPull,
                quarantineUpdate,
            ).associateBy { it.wireName }

        fun forWireName(wireName: String): MessageKind<out PeerMessage>? = byName[wireName]

        fun forMessage(message: PeerMessage): MessageKind<out PeerMessage> =
            when (message) {
                is PeerMessage.Heartbeat -> heartbeat
                is PeerMessage.HeartbeatAck -> heartbeatAck
                is PeerMessage.ConfigPush -> configPush
                is PeerMessage.ConfigAck -> configAck
                is PeerMessage.ConfigPull -> configPull
                is PeerMessage.SourceReport -> sourceReport
                is PeerMessage.MemberUpdate -> memberUpdate
                is PeerMessage.MemberAck -> memberAck
                is PeerMessage.MemberSummary -> memberSummary
                is PeerMessage.MemberPull -> memberPull
                is PeerMessage.QuarantineUpdate -> quarantineUpdate
            }
    }
}
