package boragelever.app

import org.kohsuke.args4j.CmdLineParser
import org.kohsuke.args4j.NamedOptionDef
import org.kohsuke.args4j.spi.BooleanOptionHandler

private const val HELP_FLAG = "--help"
private const val ENVIRONMENT_PREFIX = "BORAGELEVER_"

/** A command of the program with its flags. */
internal enum class CommandName(val word: String, val summary: String, val newFlags: () -> Flags) {
    NODE("node", "Runs a node co-located with an upstream.", ::NodeFlags),
    CHECK("check", "Validates a folder of configuration files.", ::CheckFlags),
    DIFF("diff", "Shows the difference between the configurations of two folders.", ::DiffFlags),
    STATUS("status", "Shows the status of a running node.", ::StatusFlags),
    DEV("dev", "Runs six nodes with stand-ins for the platform and upstreams in one process.", ::DevFlags),
    PLATFORM("platform", "Runs the platform stand-in.", ::PlatformFlags),
    UPSTREAM("upstream", "Runs an upstream stand-in that registers with a node.", ::UpstreamFlags),
    VERSION("version", "Shows the version of the program.", ::Flags),
    ;

    /** Descriptions of all flags except `--help`, sorted by name. */
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

    /** Help text of this command. */
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

/** Description of a flag, taken from its args4j annotation. */
internal data class FlagDescription(
    val name: String,
    /** Placeholder of the value, or `null` if the flag takes no value. */
    val metaVar: String?,
    val default: String?,
    val usage: String,
) {
    /** Name of the environment variable that sets the flag; the flag takes precedence. */
    val variable: String get() = ENVIRONMENT_PREFIX + name.removePrefix("--").replace('-', '_').uppercase()

    val synopsis: String get() = listOfNotNull(name, metaVar).joinToString(" ")
}

/** Help text of the program. */
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
