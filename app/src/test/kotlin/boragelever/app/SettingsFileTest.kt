package boragelever.app

import com.github.michaelbull.result.fold
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.io.TempDir
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import java.nio.file.Path
import kotlin.io.path.writeText

/** Guards against variables of the settings file that are ignored or that override the environment. */
class SettingsFileTest {
    @TempDir
    lateinit var directory: Path

    @ParameterizedTest
    @CsvSource(
        "'BORAGELEVER_NODE=n1', 'n1'",
        "'# a comment||BORAGELEVER_NODE = n1', 'n1'",
        "'BORAGELEVER_NODE=', 'none'",
        "'BORAGELEVER_ZONE=z', 'none'",
        "BORAGELEVER_FROB=1, '2: BORAGELEVER_FROB is unknown; boragelever node --help lists the variables'",
        "'BORAGELEVER_NODE n1', '2: BORAGELEVER_NODE n1 is not a setting; write NAME=VALUE'",
    )
    fun `the settings file is parsed line by line`(lines: String, expected: String) {
        val file = directory.resolve("node.settings")
        file.writeText("\n" + lines.replace("|", "\n"))
        val result = withSettingsFile(mapOf(SETTINGS_FILE_VARIABLE to file.toString())).fold(
            success = { it["BORAGELEVER_NODE"] ?: "none" },
            failure = { it.message.removePrefix("$file:").replace("'", "") },
        )
        assertEquals(expected, result)
    }

    @ParameterizedTest
    @CsvSource("n2, n2", "'', ''")
    fun `the environment overrides the file`(value: String, expected: String) {
        val file = directory.resolve("node.settings")
        file.writeText("BORAGELEVER_NODE=n1\n")
        val environment = mapOf(SETTINGS_FILE_VARIABLE to file.toString(), "BORAGELEVER_NODE" to value)
        assertEquals(expected, withSettingsFile(environment).fold({ it["BORAGELEVER_NODE"] }, { it.message }))
    }

    @ParameterizedTest
    @CsvSource("missing.settings")
    fun `an unreadable settings file is a usage error`(name: String) {
        val path = directory.resolve(name).toString()
        val message = withSettingsFile(mapOf(SETTINGS_FILE_VARIABLE to path)).fold({ "read" }, { it.message })
        assertEquals("$SETTINGS_FILE_VARIABLE: '$path' cannot be read ($path); give a readable file", message)
    }
}
