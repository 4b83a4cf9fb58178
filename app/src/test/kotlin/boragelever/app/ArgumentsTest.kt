package boragelever.app

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import java.nio.file.Files
import java.nio.file.Path

private const val NODE = "node --node n --region r --zone z --platform 127.0.0.1:1"
private const val PORT_REMEDY = "give a port from 0 to 65535, or an address that ends with it"

/** Guards against a wrong precedence of settings and against errors that do not name the flag and the remedy. */
class ArgumentsTest {
    @ParameterizedTest
    @CsvSource(
        quoteCharacter = '`',
        value = [
            "'' | | ShowHelp |",
            "help | | ShowHelp |",
            "node --help | | ShowHelp |",
            "version | | ShowVersion |",
            "$NODE | | RunNode |",
            "status | | ShowStatus |",
            "check x | | CheckFolder |",
            "check x --quiet --output json | | CheckFolder |",
            "diff x y | | DiffFolders |",
            "platform --for-seconds 1 | | RunPlatform |",
            "upstream --service s --instance i | | RunUpstream |",
            "frob | | | unknown command 'frob'; 'boragelever --help' lists the commands",
            "check | | | check takes one FOLDER; give the path of the folder",
            "diff x | | | diff takes two FOLDERs; give the old and the new folder",
            "status --frob | | | \"--frob\" is not a valid option; 'boragelever status --help' lists the flags",
            "node | | | --node is missing; give a name of letters, digits, dots, dashes or underscores",
            "$NODE --peer-port 65536 | | | --peer-port: '65536' is not allowed; $PORT_REMEDY",
            "$NODE | PEER_PORT=x | | --peer-port: 'x' is not allowed; $PORT_REMEDY",
            "$NODE --host h | | | --host: 'h' is not allowed; give an IP address, for example 10.1.2.3",
            "$NODE --traffic-threads 0 | | | --traffic-threads: '0' is not allowed; give an integer from 1 to 64",
            "dev --folder /none | | | --folder: '/none' is not allowed; give an existing directory",
            "$NODE --retry-slack 35.63636363636363 | | RunNode |",
            "$NODE --retry-slack -1 | | | --retry-slack: '-1' is not allowed; give a number from 0 to 1000000",
            "$NODE --retry-slack x | | | --retry-slack: 'x' is not allowed; give a number from 0 to 1000000",
            "status --output xml | | | --output: 'xml' is not allowed; give one of text, json",
            "check x | QUIET=1 | | " +
                "BORAGELEVER_QUIET for --quiet: '1' is not allowed; give true or false",
        ],
        delimiter = '|',
    )
    fun `arguments parse to a command or a usage error`(
        arguments: String,
        variable: String?,
        command: String?,
        error: String?,
    ) {
        val outcome = parse(arguments, variable)
        assertEquals(command, outcome.get()?.let { it::class.simpleName })
        assertEquals(error, outcome.getError()?.message)
    }

    @ParameterizedTest
    @CsvSource(
        "the default,               $NODE,                  ,               7002",
        "the variable,              $NODE,                  PEER_PORT=8000, 8000",
        "the flag over the variable,$NODE --peer-port 9000, PEER_PORT=8000, 9000",
    )
    fun `a flag overrides its variable, which overrides the default`(
        case: String,
        arguments: String,
        variable: String?,
        expected: Int,
    ) {
        val command = parse(arguments, variable).get() as Command.RunNode
        assertEquals(expected, command.settings.peerPort, case)
    }

    @Test
    fun `the documented flag table equals the flags of the program`() {
        val page = Files.readString(Path.of("../docs/operations/install.md"))
        val documented = page.lines().filter { it.startsWith("| `--") }
        val rows =
            CommandName.entries.flatMap { name ->
                name.flags().map { it to name.word }
            }.groupBy({ it.first }, { it.second })
        val expected =
            rows.entries.sortedBy { it.key.name }.map { (flag, commands) ->
                val default = flag.default?.let { "`$it`" }.orEmpty()
                "| `${flag.synopsis}` | `${flag.variable}` | ${commands.joinToString()} | $default | ${flag.usage} |"
            }
        assertEquals(expected.joinToString("\n"), documented.joinToString("\n"))
    }

    private fun parse(arguments: String, variable: String?) =
        parseArguments(
            arguments.split(' ').filter { it.isNotEmpty() && it != "''" },
            listOfNotNull(variable).associate { "BORAGELEVER_" + it.substringBefore('=') to it.substringAfter('=') },
            seed = 1,
        )
}
