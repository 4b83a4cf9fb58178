package boragelever.app

import boragelever.core.NetworkAddress
import boragelever.core.control.UpstreamRecord
import boragelever.node.NodeSettings
import java.nio.file.Path

/** What the program was asked to do. */
internal sealed interface Command {
    /** Runs one node until it is stopped. */
    data class RunNode(
        val settings: NodeSettings,
        val platform: NetworkAddress,
        val folder: FolderSource,
        val logging: LogSettings,
    ) : Command

    /** Merges and validates a folder. */
    data class CheckFolder(val folder: Path, val output: OutputFormat, val quiet: Boolean) : Command

    /** Shows what a change from one folder to another does. */
    data class DiffFolders(val from: Path, val to: Path, val output: OutputFormat) : Command

    /** Shows the status of a running node. */
    data class ShowStatus(val admin: NetworkAddress, val output: OutputFormat) : Command

    /** Runs a whole mesh in this process. */
    data class RunDev(
        val folder: Path,
        val forSeconds: Long?,
        /** Calls to make of each route once a version is in force, or `null` for none. */
        val sampleCalls: Long?,
        val logging: LogSettings,
    ) : Command

    /** Runs the stand-in for the platform. */
    data class RunPlatform(val listen: NetworkAddress, val forSeconds: Long?, val logging: LogSettings) : Command

    /** Runs a stand-in for an upstream beside a node. */
    data class RunUpstream(
        val upstream: UpstreamRecord,
        val admin: NetworkAddress,
        val forSeconds: Long?,
        val logging: LogSettings,
    ) : Command

    /** Shows the version of the program. */
    data object ShowVersion : Command

    /** Shows how the program or one of its commands is used. */
    data class ShowHelp(val text: String) : Command
}

/** Where operators keep their files. */
internal sealed interface FolderSource {
    /** Objects with a prefix in the platform's object store. */
    data class ObjectStore(val prefix: String) : FolderSource

    /** A directory of this host. */
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

/** Form of results. */
internal enum class OutputFormat {
    TEXT,
    JSON,
}

/** Form and detail of log lines, which go to standard error. */
internal data class LogSettings(val format: OutputFormat, val level: LogLevel)

/** Least severe level that is logged. */
internal enum class LogLevel {
    DEBUG,
    INFO,
    WARN,
    ERROR,
}

/** How the program ends. */
internal enum class ExitCode(val number: Int) {
    SUCCESS(0),
    INVALID_INPUT(1),
    INVALID_USAGE(2),
    DEPENDENCY_FAILED(3),
}

/** Result of a command: [text] goes to standard output if it is done, else to standard error. */
internal data class CommandOutcome(val exitCode: ExitCode, val text: String)

/** Why the arguments are refused. */
internal data class UsageError(val message: String)
