package boragelever.app

import boragelever.core.NetworkAddress
import boragelever.core.control.ReloadableSettings
import boragelever.node.Node
import boragelever.node.requireFreePort
import boragelever.platform.ConfigFolder
import boragelever.platform.HttpPlatform
import boragelever.platform.Platform
import boragelever.standin.PlatformStandIn
import boragelever.standin.UpstreamSettings
import boragelever.standin.UpstreamStandIn
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import java.io.IOException

/** Runs a node until it exits; [arguments] are parsed again when the settings change. */
internal fun runNode(command: Command.RunNode, arguments: List<String>): CommandOutcome {
    configureLogging(command.logging, LogStream.OUTPUT)
    return reportingIoErrors {
        HttpPlatform(command.platform).use { platform ->
            val folder = command.folder.open(platform)
            val node = Node(command.settings, platform, folder, platform.withSeparateRateLimit())
            // Before the start, because a node serves its first calls before the start has returned.
            Termination.onSignal {
                node.stop()
                node.awaitExit()
            }
            node.start()
            SettingsWatcher({ readReloadableSettings(arguments) }, node::reload).start()
            node.awaitExit()
        }
        successOutcome("")
    }
}

private fun readReloadableSettings(arguments: List<String>): Result<ReloadableSettings, UsageError> =
    parseProgramArguments(arguments).flatMap {
        if (it is Command.RunNode) Ok(it.settings.live) else Err(UsageError("not a node command; restart the process"))
    }

internal fun runPlatform(command: Command.RunPlatform, print: (String) -> Unit): CommandOutcome {
    configureLogging(command.logging)
    return reportingIoErrors {
        requireFreeAddress(command.listen)
        PlatformStandIn(command.listen.port, command.listen.host).use { platform ->
            print("platform ${platform.address}")
            Termination.onSignal(platform::close)
            Termination.await(command.forSeconds)
        }
        successOutcome("")
    }
}

internal fun runUpstream(command: Command.RunUpstream, print: (String) -> Unit): CommandOutcome {
    configureLogging(command.logging)
    val record = command.upstream
    val settings =
        UpstreamSettings(record.service, record.instance, slots = record.slots, connections = record.connections)
    return reportingIoErrors {
        requireFreeAddress(record.address)
        UpstreamStandIn(settings, command.admin, record.address.host, record.address.port).use { upstream ->
            print("upstream ${upstream.address}")
            Termination.onSignal(upstream::close)
            Termination.await(command.forSeconds)
        }
        successOutcome("")
    }
}

/** Runs [block] and reports an [IOException], such as a port in use, as [ExitCode.DEPENDENCY_FAILED]. */
internal fun reportingIoErrors(block: () -> CommandOutcome): CommandOutcome =
    try {
        block()
    } catch (e: IOException) {
        CommandOutcome(ExitCode.DEPENDENCY_FAILED, "boragelever: ${e.message}")
    }

private fun requireFreeAddress(address: NetworkAddress) {
    try {
        requireFreePort(address.host, address.port)
    } catch (e: IOException) {
        throw IOException("cannot listen on $address: ${e.message}; give --listen a free port", e)
    }
}

internal val NetworkAddress.host: String get() = value.substringBeforeLast(':').removeSurrounding("[", "]")

internal val NetworkAddress.port: Int get() = value.substringAfterLast(':').toInt()

private fun FolderSource.open(platform: Platform): ConfigFolder =
    when (this) {
        is FolderSource.ObjectStore -> ConfigFolder.ObjectStorePrefix(platform, prefix)
        is FolderSource.Directory -> ConfigFolder.LocalDirectory(path)
    }
