package boragelever.node

import boragelever.core.config.ConfigId
import boragelever.core.control.Death
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

/** Returns the log line for [notice]; its prefix names the component of the node. */
internal fun logLine(notice: Notice): LogLine =
    when (notice) {
        is Notice.ConfigApplied -> LogLine.Info("[config] applied ${notice.id.shortText()}")
        is Notice.ConfigRefused ->
            LogLine.Warning(
                "[config] cannot apply ${notice.id.shortText()}; ignoring it: ${notice.errors.joinToString("; ")}",
            )
        is Notice.ConfigPublished ->
            LogLine.Info("[publish] published ${notice.id.shortText()} in epoch ${notice.epoch}")
        is Notice.FolderRejected ->
            LogLine.Warning("[publish] folder rejected, nothing published: ${notice.errors.joinToString("; ")}")
        is Notice.FolderUnreadable -> LogLine.Warning("[publish] folder scan failed; retrying: ${notice.message}")
        is Notice.PublishSuperseded ->
            LogLine.Warning("[publish] publish abandoned: a newer leaseholder supersedes epoch ${notice.epoch}")
        is Notice.LeaseAcquired -> LogLine.Info("[lease] acquired the publisher lease, epoch ${notice.epoch}")
        is Notice.LeaseLost -> LogLine.Warning("[lease] lost the publisher lease of epoch ${notice.epoch}")
        is Notice.LeaseReleased -> LogLine.Info("[lease] released the publisher lease of epoch ${notice.epoch}")
        is Notice.StoreUnreachable -> LogLine.Warning("[store] store unreachable; retrying: ${notice.failure.message}")
        is Notice.StoreReachable -> LogLine.Info("[store] store reachable")
        is Notice.StoreRefused -> LogLine.Warning("[store] store refused a command: ${notice.failure.message}")
        is Notice.MemberChanged -> memberLogLine(notice)
        is Notice.Quarantined ->
            LogLine.Warning(
                "[proxy] fingerprint ${notice.fingerprint} is quarantined after ${notice.deaths.evidence()}, " +
                    "no completion known",
            )
        is Notice.QuarantineEnded ->
            LogLine.Warning(
                "[proxy] fingerprint ${notice.fingerprint} is no longer quarantined: " +
                    "completed on ${notice.instance ?: "an instance"} beside ${notice.node}, " +
                    "despite ${notice.deaths.evidence()}",
            )
        is Notice.CrashUnrelated ->
            LogLine.Info(
                "[proxy] ${notice.fingerprints.size} requests that were running when ${notice.instance} crashed have " +
                    "also completed and are not quarantined, such as ${notice.fingerprints.first()}",
            )
        is Notice.ProcessResumed -> LogLine.Warning("[node] process was paused for ${notice.pausedMillis} ms")
        is Notice.Draining -> LogLine.Info("[node] stopping: not ready from now on, new calls are refused shortly")
        is Notice.SettingsChanged -> LogLine.Info("[node] settings reloaded: ${notice.settings}")
        is Notice.UpstreamChanged ->
            LogLine.Info("[upstream] ${notice.instance} is ${notice.change.name.lowercase()}")
    }

private fun List<Death>.evidence(): String {
    val trials = count { it.isTrial }
    val instances = mapNotNull { it.instance?.value }.distinct().sorted()
    val times = map { it.atMillis }
    val spanMillis = times.maxOrNull()?.minus(times.min()) ?: 0
    return "$size upstream crashes in $spanMillis ms (trials $trials, instances ${instances.joinToString(" ")})"
}

private fun memberLogLine(notice: Notice.MemberChanged): LogLine {
    val text = "[peer] ${notice.node} is ${notice.status.lowercaseName()}"
    return when (notice.status) {
        // Debug level, because a joining node records all members at the same time.
        MemberStatus.ALIVE -> LogLine.Debug(text)
        MemberStatus.SUSPECT -> LogLine.Info(text)
        MemberStatus.DEAD -> LogLine.Warning(text)
    }
}

internal fun MemberStatus.lowercaseName(): String = name.lowercase()

internal fun ConfigId.shortText(): String = "$version (${digest.value.take(SHORT_DIGEST_CHARS)})"

private const val SHORT_DIGEST_CHARS = 12
