package boragelever.core

import boragelever.core.config.ConfigId
import boragelever.core.control.ConfigBody
import boragelever.core.control.MemberStatusRecord
import boragelever.core.control.PeerMessage
import boragelever.core.routing.RoutingSnapshot

/** Returns a short text of a message between nodes. */
internal fun render(message: PeerMessage): String =
    when (message) {
        is PeerMessage.Heartbeat -> "heartbeat ${version(message.config)}"
        is PeerMessage.HeartbeatAck -> "heartbeat ack ${version(message.config)}"
        is PeerMessage.ConfigPush -> "push ${message.id.version} ${render(message.body)} for ${message.scope}"
        is PeerMessage.ConfigAck -> "config ack ${version(message.applied)}"
        is PeerMessage.ConfigPull -> "pull above ${version(message.applied)}"
        is PeerMessage.SourceReport -> "source ${version(message.config)}"
        is PeerMessage.MemberUpdate -> {
            val kind = if (message.isReply) "answer" else "for ${message.scope}"
            "members ${message.records.map { render(it) }.sorted()} $kind"
        }
        is PeerMessage.MemberAck -> "member ack"
        is PeerMessage.MemberSummary -> "summary of ${message.entries.size}"
        is PeerMessage.MemberPull -> "pull members ${message.nodes.sorted()}"
        is PeerMessage.QuarantineUpdate -> "deaths ${message.deaths} for ${message.scope}"
    }

/** Returns a short text of a snapshot; a question mark follows endpoints that are not trusted. */
internal fun render(snapshot: RoutingSnapshot): String {
    val endpoints = snapshot.services.values
        .flatMap { it.endpoints }
        .map { if (it.trusted) "${it.instance}" else "${it.instance}?" }
    return "${snapshot.config.version} $endpoints"
}

private fun version(id: ConfigId?): String = id?.version?.toString() ?: "none"

private fun render(body: ConfigBody): String =
    when (body) {
        is ConfigBody.Full -> "full"
        is ConfigBody.Delta -> "delta on ${body.delta.base.version}"
    }

private fun render(update: MemberStatusRecord): String {
    val record = update.record
    val unreachable = record.unreachableRegions.joinToString("") { " without $it" }
    return "${record.node} ${record.incarnation}.${record.sequence} ${update.status}$unreachable"
}
