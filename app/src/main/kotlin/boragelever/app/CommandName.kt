package boragelever.app

import org.kohsuke.args4j.CmdLineParser
import org.kohsuke.args4j.NamedOptionDef
import org.kohsuke.args4j.spi.BooleanOptionHandler

private const val HELP_FLAG = "--help"
private const val ENVIRONMENT_PREFIX = "BORAGELEVER_"

/** A command of the program with its flags. */
internal enum class CommandName(val word: String, val summary: String, val newFlags: () -> Flags) {
    NODE("node", "Runs a node beside an upstream.", ::NodeFlags),
    CHECK("check", "Validates a folder of configuration files.", ::CheckFlags),
    DIFF("diff", "Shows what the change from one folder to another does.", ::DiffFlags),
    STATUS("status", "Shows the status of a running node.", ::StatusFlags),
    DEV("dev", "Runs six nodes with stand-ins for platform and upstreams in one process.", ::DevFlags),
    PLATFORM("platform", "Runs the stand-in for the platform.", ::PlatformFlags),
    UPSTREAM("upstream", "Runs a stand-in for an upstream beside a node.", ::UpstreamFlags),
    VERSION("version", "Shows the version of the program.", ::Flags),
    ;

    /** Descriptions of all flags but `--help`, in the order of their names. */
    fun flags(): List<FlagDescription> =
        CmdLineParser(newFlags()).options
            .mapNotNull { handler ->
                (handler.option as? NamedOptionDef)?.let { option ->
                    FlagDescription(
                        option.name(),
                        option.metaVar().takeUnless { handler is BooleanOptionHandler },
                        handler.printDefaultValue().takeUnless { handler is BooleanOptionHandler },
                        option.usage(),
                    )
                }
            }.filter { it.name != HELP_FLAG }
            .sortedBy { it.name }

    /** Text of `--help`. */
    fun help(): String {
        val operands = CmdLineParser(newFlags()).arguments.joinToString("") { " " + it.option.metaVar() }
        val lines =
            flags().map { flag ->
                val default = flag.default?.let { " Default: $it." }.orEmpty()
                "  ${flag.synopsis}\n      ${flag.usage}$default Variable: ${flag.variable}."
            }
        return (listOf("usage: boragelever $word [flags]$operands", summary, "", "flags:") + lines).joinToString("\n")
    }
}

/** One flag as its annotation describes it. */
internal data class FlagDescription(
    val name: String,
    /** Placeholder of the value, or `null` if the flag takes none. */
    val metaVar: String?,
    val default: String?,
    val usage: String,
) {
    /** Environment variable that the flag overrides. */
    val variable: String get() = ENVIRONMENT_PREFIX + name.removePrefix("--").replace('-', '_').uppercase()

    val synopsis: String get() = listOfNotNull(name, metaVar).joinToString(" ")
}

/** Text of the program's own help. */
internal fun programHelp(): String =
    buildString {
        appendLine("usage: boragelever COMMAND [flags]")
        appendLine()
        CommandName.entries.forEach { appendLine("  ${it.word.padEnd(HELP_COLUMN)}${it.summary}") }
        appendLine()
        appendLine("boragelever COMMAND --help shows the flags of a command.")
        append("Each flag can be given as an environment variable; the flag takes precedence.")
    }

private const val HELP_COLUMN = 10
