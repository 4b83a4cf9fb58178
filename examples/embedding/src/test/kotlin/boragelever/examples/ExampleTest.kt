package boragelever.examples

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotEquals
import org.junit.jupiter.api.Test

/** Guards against an example that no longer runs against the library. */
class ExampleTest {
    @Test
    fun `a second publisher takes over and the survivors hold its version`() {
        val result = runExample()
        assertNotEquals(result.firstPublisher, result.secondPublisher)
        assertEquals(setOf(2L), result.versions.values.toSet())
    }
}
