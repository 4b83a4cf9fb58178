package boragelever.app

import boragelever.core.NetworkAddress
import boragelever.core.control.UpstreamRecord
import boragelever.node.NodeSettings
import java.nio.file.Path

/** A parsed command of the program with its settings. */
internal sealed interface Command {
    /** Runs one node until the process is stopped. */
    data class RunNode(
        val settings: NodeSettings,
        val platform: NetworkAddress,
        val folder: FolderSource,
        val logging: LogSettings,
    ) : Command

    /** Merges and validates a folder. */
    data class CheckFolder(val folder: Path, val output: OutputFormat, val quiet: Boolean) : Command

    /** Shows the difference between the configurations of two folders. */
    data class DiffFolders(val from: Path, val to: Path, val output: OutputFormat) : Command

    /** Shows the status of a running node. */
    data class ShowStatus(val admin: NetworkAddress, val output: OutputFormat) : Command

    /** Runs a development mesh in this process. */
    data class RunDev(
        val folder: Path,
        val forSeconds: Long?,
        /** Number of calls per route after a version is applied on all nodes, or `null` for none. */
        val sampleCalls: Long?,
        val logging: LogSettings,
    ) : Command

    /** Runs the platform stand-in. */
    data class RunPlatform(val listen: NetworkAddress, val forSeconds: Long?, val logging: LogSettings) : Command

    /** Runs an upstream stand-in that registers with a co-located node. */
    data class RunUpstream(
        val upstream: UpstreamRecord,
        val admin: NetworkAddress,
        val forSeconds: Long?,
        val logging: LogSettings,
    ) : Command

    /** Shows the version of the program. */
    data object ShowVersion : Command

    /** Prints the help [text] of the program or of one command. */
    data class ShowHelp(val text: String) : Command
}

/** Location of the configuration folder. */
internal sealed interface FolderSource {
    /** Objects with [prefix] in the platform's object store. */
    data class ObjectStore(val prefix: String) : FolderSource

    /** A directory on this host. */
    data class Directory(val path: Path) : FolderSource
}

/** Value of `--origin`. */
internal enum class OriginName {
    FOLDER,
    OPERATOR,
}

/** Value of `--dialect`. */
internal enum class DialectName {
    OWN,
    PLATFORM,
}

/** Format of results and log lines. */
internal enum class OutputFormat {
    TEXT,
    JSON,
}

/** Format and lowest level of log lines. */
internal data class LogSettings(val format: OutputFormat, val level: LogLevel)

/** Lowest severity that is logged. */
internal enum class LogLevel {
    DEBUG,
    INFO,
    WARN,
    ERROR,
}

/** Exit code of the process. */
internal enum class ExitCode(val number: Int) {
    SUCCESS(0),
    INVALID_INPUT(1),
    INVALID_USAGE(2),
    DEPENDENCY_FAILED(3),
}

/** Result of a command; [text] goes to standard output on [ExitCode.SUCCESS], otherwise to standard error. */
internal data class CommandOutcome(val exitCode: ExitCode, val text: String)

/** Invalid arguments or settings; [message] names the cause and the remedy. */
internal data class UsageError(val message: String)
