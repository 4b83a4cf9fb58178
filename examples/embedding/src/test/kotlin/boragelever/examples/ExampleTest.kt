package boragelever.examples

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotEquals
import org.junit.jupiter.api.Test

/** Guards against a change of the library that breaks the embedding example. */
class ExampleTest {
    @Test
    fun `a second publisher takes over and the remaining nodes apply its version`() {
        val result = runExample()
        assertNotEquals(result.firstPublisher, result.secondPublisher)
        assertEquals(setOf(2L), result.versions.values.toSet())
    }
}
