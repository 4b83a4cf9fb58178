package boragelever.yaml

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

/** Guards against mistakes that are accepted, hidden by another one, or reported at the wrong location. */
class ConfigErrorsTest {
    @ParameterizedTest
    @MethodSource("mistakes")
    fun `each mistake is reported with file, line, key and remedy`(case: FolderCase) {
        assertEquals(case.expected, loadFolder(case.files).errorLines())
    }

    @ParameterizedTest
    @MethodSource("hostileTexts")
    fun `a hostile text is refused with one-line errors and does not crash the process`(text: String) {
        val lines = loadFolder(folder(text)).errorLines()

        assertTrue(lines.isNotEmpty())
        assertTrue(lines.all { line -> line.length < 3_000 && line.none { it.isISOControl() } }, "$lines")
    }

    private companion object {
        @JvmStatic
        fun mistakes(): List<FolderCase> = folderCases("mistakes.txt")

        @JvmStatic
        fun hostileTexts(): List<String> =
            listOf(
                "[".repeat(100_000),
                "a: {".repeat(200) + "}".repeat(200),
                "limits: {}\na: \u0007",
                "services: {\"\\n\": {}}",
                "services: {${"a".repeat(10_000)}: {}}",
                "limits:\n\ta: 1",
                (1..200).joinToString("\n") { "limits: {}" },
            )
    }
}
