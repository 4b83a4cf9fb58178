package boragelever.node

import boragelever.core.config.ConfigId
import boragelever.core.control.MemberStatus
import boragelever.core.control.Notice
import io.github.oshai.kotlinlogging.KLogger

/** Level and text of the log line for a notice. */
internal sealed interface LogLine {
    val text: String

    data class Debug(override val text: String) : LogLine

    data class Info(override val text: String) : LogLine

    data class Warning(override val text: String) : LogLine
}

/** Writes [line] to this logger. */
internal fun KLogger.write(line: LogLine) {
    when (line) {
        is LogLine.Debug -> debug { line.text }
        is LogLine.Info -> info { line.text }
        is LogLine.Warning -> warn { line.text }
    }
}

/** Returns the log line for a notice; the prefix names the part of the node. */
internal fun logLine(notice: Notice): LogLine =
    when (notice) {
        is Notice.ConfigApplied -> LogLine.Info("[config] ${notice.id.short()} is in force")
        is Notice.ConfigRefused ->
            LogLine.Warning("[config] ${notice.id.short()} cannot be applied: ${notice.errors.joinToString("; ")}")
        is Notice.ConfigPublished -> LogLine.Info("[publish] ${notice.id.short()} is published in ${notice.epoch}")
        is Notice.FolderRejected ->
            LogLine.Warning("[publish] the folder is rejected: ${notice.errors.joinToString("; ")}")
        is Notice.FolderUnreadable -> LogLine.Warning("[publish] the folder cannot be read: ${notice.message}")
        is Notice.PublishSuperseded -> LogLine.Warning("[publish] a newer lease holder overruled ${notice.epoch}")
        is Notice.LeaseAcquired -> LogLine.Info("[lease] this node publishes in ${notice.epoch}")
        is Notice.LeaseLost -> LogLine.Warning("[lease] ${notice.epoch} is lost")
        is Notice.LeaseReleased -> LogLine.Info("[lease] ${notice.epoch} is released")
        is Notice.StoreUnreachable -> LogLine.Warning("[store] the store cannot be reached: ${notice.failure.message}")
        is Notice.StoreReachable -> LogLine.Info("[store] the store answers")
        is Notice.StoreRefused -> LogLine.Warning("[store] the store refuses a command: ${notice.failure.message}")
        is Notice.MemberChanged -> memberLine(notice)
        is Notice.Quarantined ->
            LogLine.Warning("[proxy] ${notice.fingerprint} is refused after ${notice.deaths} deaths of upstreams")
        is Notice.ProcessResumed -> LogLine.Warning("[node] the process was paused for ${notice.pausedMillis} ms")
        is Notice.Draining -> LogLine.Info(
            "[node] the node stops: it is not ready, and refuses new work after a notice",
        )
        is Notice.SettingsChanged -> LogLine.Info("[node] settings are reloaded: ${notice.settings}")
        is Notice.UpstreamChanged ->
            LogLine.Info("[upstream] ${notice.instance} is ${notice.change.name.lowercase()}")
    }

private fun memberLine(notice: Notice.MemberChanged): LogLine {
    val text = "[peer] ${notice.node} is ${notice.status.word()}"
    return when (notice.status) {
        // A node that joins learns of every member at once.
        MemberStatus.ALIVE -> LogLine.Debug(text)
        MemberStatus.SUSPECT -> LogLine.Info(text)
        MemberStatus.DEAD -> LogLine.Warning(text)
    }
}

internal fun MemberStatus.word(): String = name.lowercase()

internal fun ConfigId.short(): String = "$version (${digest.value.take(SHORT_DIGEST_CHARS)})"

private const val SHORT_DIGEST_CHARS = 12
