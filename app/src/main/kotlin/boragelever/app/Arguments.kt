package boragelever.app

import boragelever.core.InstanceId
import boragelever.core.NodeId
import boragelever.core.RegionName
import boragelever.core.ServiceName
import boragelever.core.ZoneName
import boragelever.core.call.CallHeaderNames
import boragelever.core.control.ConfigOrigin
import boragelever.core.control.ReloadableSettings
import boragelever.core.control.UpstreamRecord
import boragelever.core.control.UpstreamState
import boragelever.node.NodeSettings
import boragelever.platform.platformHeaderNames
import boragelever.wire.SharedKey
import com.github.michaelbull.result.BindingScope
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.binding
import com.github.michaelbull.result.flatMap
import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

private const val MAX_SECONDS = 86_400L
private const val MAX_SAMPLE_CALLS = 100_000L
private const val MAX_SLOTS = 100_000L
private const val MAX_RETRY_SLACK = 1_000_000
private const val MAX_TRAFFIC_THREADS = 64L

/** A shorter key could be brute-forced offline from one recorded handshake. */
private const val MIN_KEY_BYTES = 16

/** Parses [arguments] and [environment]. A flag overrides its environment variable, which overrides the default. */
internal fun parseArguments(
    arguments: List<String>,
    environment: Map<String, String>,
    seed: Long,
): Result<Command, UsageError> {
    val word = arguments.firstOrNull()
    val name = CommandName.entries.firstOrNull { it.word == word }
    return when {
        name != null -> parseFlags(name, arguments.drop(1), environment).flatMap { createCommand(name, it, seed) }
        word == null || word == "help" || word == "--help" -> Ok(Command.ShowHelp(programHelp()))
        else -> Err(UsageError("unknown command '$word'; 'boragelever --help' lists the commands"))
    }
}

private fun parseFlags(
    name: CommandName,
    arguments: List<String>,
    environment: Map<String, String>,
): Result<Flags, UsageError> {
    val flags = name.newFlags()
    val parser = CmdLineParser(flags)
    return variablesAsArguments(name, environment).flatMap { variables ->
        try {
            parser.parseArgument(variables)
            parser.parseArgument(arguments)
            Ok(flags)
        } catch (e: CmdLineException) {
            val problem = e.message.orEmpty().trimEnd('.')
            Err(UsageError("$problem; 'boragelever ${name.word} --help' lists the flags"))
        }
    }
}

/** Returns the flags that are set in [environment] as command-line arguments. */
private fun variablesAsArguments(
    name: CommandName,
    environment: Map<String, String>,
): Result<List<String>, UsageError> {
    val given = name.flags().mapNotNull { flag -> environment[flag.variable]?.let { flag to it } }
    val invalid = given.firstOrNull { (flag, value) -> flag.metaVar == null && value !in booleanValues }
    if (invalid != null) {
        val (flag, value) = invalid
        return Err(UsageError("${flag.variable} for ${flag.name}: '$value' is not allowed; give true or false"))
    }
    return Ok(
        given.flatMap { (flag, value) ->
            when {
                flag.metaVar != null -> listOf(flag.name, value)
                value == "true" -> listOf(flag.name)
                else -> emptyList()
            }
        },
    )
}

private val booleanValues = setOf("true", "false")

private fun createCommand(name: CommandName, flags: Flags, seed: Long): Result<Command, UsageError> =
    binding {
        when {
            flags.help -> Command.ShowHelp(name.help())
            else -> commandFromFlags(flags, seed)
        }
    }

private fun BindingScope<UsageError>.commandFromFlags(flags: Flags, seed: Long): Command =
    when (flags) {
        is NodeFlags -> nodeCommand(flags, seed)
        is CheckFlags -> checkCommand(flags)
        is DiffFlags -> diffCommand(flags)
        is StatusFlags -> Command.ShowStatus(Values.address("--admin", flags.admin).bind(), output(flags))
        is DevFlags ->
            Command.RunDev(
                folder(flags.folder),
                duration(flags),
                Values.optionalNumber("--sample-calls", flags.sampleCalls, 1..MAX_SAMPLE_CALLS).bind(),
                logging(flags),
            )
        is PlatformFlags ->
            Command.RunPlatform(Values.address("--listen", flags.listen).bind(), duration(flags), logging(flags))
        is UpstreamFlags -> upstreamCommand(flags)
        else -> Command.ShowVersion
    }

private fun BindingScope<UsageError>.nodeCommand(flags: NodeFlags, seed: Long): Command {
    val host = Values.host("--host", flags.host).bind()
    val directory = flags.folder
    return Command.RunNode(
        settings =
            NodeSettings(
                node = NodeId(Values.name("--node", flags.node).bind()),
                region = RegionName(Values.name("--region", flags.region).bind()),
                zone = ZoneName(Values.name("--zone", flags.zone).bind()),
                host = host,
                bindHost = Values.host("--bind-host", flags.bindHost ?: host).bind(),
                proxyPort = Values.port("--proxy-port", flags.proxyPort).bind(),
                hopPort = Values.port("--hop-port", flags.hopPort).bind(),
                readyPort = Values.optionalPort("--ready-port", flags.readyPort).bind(),
                heartbeatPort = Values.optionalPort("--heartbeat-port", flags.heartbeatPort).bind(),
                heartbeatMillis = Values.millis("--heartbeat", flags.heartbeat).bind(),
                origin =
                    when (Values.choice<OriginName>("--origin", flags.origin).bind()) {
                        OriginName.FOLDER -> ConfigOrigin.Folder
                        OriginName.OPERATOR -> ConfigOrigin.StoreRow
                    },
                headerNames =
                    when (Values.choice<DialectName>("--dialect", flags.dialect).bind()) {
                        DialectName.OWN -> CallHeaderNames()
                        DialectName.PLATFORM -> platformHeaderNames
                    },
                live = reloadableSettings(flags),
                peerPort = Values.port("--peer-port", flags.peerPort).bind(),
                adminHost = Values.host("--admin-host", flags.adminHost).bind(),
                adminPort = Values.port("--admin-port", flags.adminPort).bind(),
                seeds = Values.addresses("--seeds", flags.seeds.orEmpty()).bind(),
                storeRegion = Values.optionalName("--store-region", flags.storeRegion).bind()?.let(::RegionName),
                sharedKey = flags.sharedKeyFile?.let { readKey(it).bind() },
                trafficThreads =
                    Values.number("--traffic-threads", flags.trafficThreads, 1..MAX_TRAFFIC_THREADS).bind().toInt(),
                otlpEndpoint = flags.otlpEndpoint?.let { endpoint(it).bind() },
                seed = seed,
            ),
        platform = Values.address("--platform", flags.platform).bind(),
        folder =
            if (directory == null) {
                FolderSource.ObjectStore(Values.text("--folder-prefix", flags.folderPrefix).bind())
            } else {
                FolderSource.Directory(folder(directory))
            },
        logging = logging(flags),
    )
}

private fun BindingScope<UsageError>.reloadableSettings(flags: NodeFlags): ReloadableSettings =
    ReloadableSettings(
        callingService = Values.optionalName("--service", flags.service).bind()?.let(::ServiceName),
        stopGraceMillis = Values.optionalMillis("--stop-grace", flags.stopGrace).bind(),
        sharedRetrySlack = Values.optionalDecimal("--retry-slack", flags.retrySlack, 0..MAX_RETRY_SLACK).bind(),
        sharedRetryRatio = Values.optionalShare("--retry-ratio", flags.retryRatio).bind(),
    )

private fun BindingScope<UsageError>.checkCommand(flags: CheckFlags): Command {
    val folder = flags.arguments.singleOrNull()
    if (folder == null) Err(UsageError("check takes one FOLDER; give the path of the folder")).bind()
    return Command.CheckFolder(Path.of(folder.orEmpty()), output(flags), flags.quiet)
}

private fun BindingScope<UsageError>.diffCommand(flags: DiffFlags): Command {
    if (flags.arguments.size != 2) Err(UsageError("diff takes two FOLDERs; give the old and the new folder")).bind()
    val (from, to) = flags.arguments
    return Command.DiffFolders(Path.of(from), Path.of(to), output(flags))
}

private fun BindingScope<UsageError>.upstreamCommand(flags: UpstreamFlags): Command =
    Command.RunUpstream(
        UpstreamRecord(
            ServiceName(Values.name("--service", flags.service).bind()),
            InstanceId(Values.name("--instance", flags.instance).bind()),
            Values.address("--listen", flags.listen).bind(),
            Values.number("--slots", flags.slots, 1..MAX_SLOTS).bind().toInt(),
            Values.number("--connections", flags.connections, 1..MAX_SLOTS).bind().toInt(),
            UpstreamState.SERVING,
        ),
        Values.address("--admin", flags.admin).bind(),
        duration(flags),
        logging(flags),
    )

private fun BindingScope<UsageError>.output(flags: ResultFlags): OutputFormat =
    Values.choice<OutputFormat>("--output", flags.output).bind()

private fun BindingScope<UsageError>.logging(flags: ServiceFlags): LogSettings =
    LogSettings(
        Values.choice<OutputFormat>("--log-format", flags.logFormat).bind(),
        Values.choice<LogLevel>("--log-level", flags.logLevel).bind(),
    )

private fun BindingScope<UsageError>.duration(flags: BoundedFlags): Long? =
    Values.optionalNumber("--for-seconds", flags.forSeconds, 1..MAX_SECONDS).bind()

private fun BindingScope<UsageError>.folder(value: String?): Path =
    Values.parseValue("--folder", value, "an existing directory") { Path.of(it).takeIf(Files::isDirectory) }.bind()

private fun endpoint(value: String): Result<String, UsageError> =
    Values.parseValue("--otlp-endpoint", value, "a URL, for example http://127.0.0.1:4317") {
        it.takeIf { url -> url.startsWith("http://") || url.startsWith("https://") }
    }

private fun readKey(file: String): Result<SharedKey, UsageError> =
    Values.parseValue("--shared-key-file", file, "a readable file with at least $MIN_KEY_BYTES bytes") {
        try {
            val text = Files.readString(Path.of(it)).trim()
            text.encodeToByteArray().takeIf { key -> key.size >= MIN_KEY_BYTES }?.let(::SharedKey)
        } catch (e: IOException) {
            null
        }
    }
