package boragelever.yaml

import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.random.Random

/** Guards against a merge that drops values, keeps removed ones, or depends on the order of files. */
class MergeTest {
    @ParameterizedTest
    @MethodSource("merges")
    fun `files are merged in the order of their names`(case: FolderCase) {
        assertEquals(
            case.expected,
            renderYaml(loadFolder(case.files).getOrFail().tree).lines().filter { it.isNotEmpty() },
        )
    }

    /** Some of the generated folders are invalid, so that errors are compared as well. */
    @Property(seed = "20261204", tries = 300)
    fun `the result does not depend on the order in which files are passed`(
        @ForAll("fragments") fragments: List<String>,
        @ForAll seed: Long,
    ) {
        val files = folder(*fragments.toTypedArray())

        assertEquals(loadFolder(files), loadFolder(files.shuffled(Random(seed))))
    }

    @Provide
    fun fragments(): Arbitrary<List<String>> {
        val settings = Arbitraries.of("null", "{}", "{drain_ms: 1}", "{drain_ms: 2}", "{drain_ms: null}", "[1]")
        val entry = Arbitraries.of("a", "b", "c").flatMap { name -> settings.map { "$name: $it" } }
        return entry.list().ofMaxSize(3).map { "services: {${it.joinToString()}}" }.list().ofMaxSize(5)
    }

    private companion object {
        @JvmStatic
        fun merges(): List<FolderCase> = folderCases("merges.txt")
    }
}
