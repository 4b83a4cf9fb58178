package boragelever.core.config

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import java.nio.file.Path
import kotlin.io.path.readLines

/** Guards against a reference page that lacks a key, lists a removed one, or states a wrong range or default. */
class ConfigurationReferenceTest {
    @Test
    fun `the reference page has exactly the rows of the schema`() {
        val documented = Path.of("..", "docs", "configuration.md").readLines().filter { it.startsWith("| `") }

        assertEquals(schemaRows().map { it.toMarkdown() }, documented)
    }
}
