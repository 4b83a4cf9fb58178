package boragelever.app

import boragelever.platform.StoreProtocol
import boragelever.platform.platformHeaderNames
import com.tngtech.archunit.core.domain.JavaClasses
import com.tngtech.archunit.core.importer.ClassFileImporter
import com.tngtech.archunit.core.importer.ImportOption
import com.tngtech.archunit.lang.ArchRule
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Named.named
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.Arguments
import org.junit.jupiter.params.provider.Arguments.arguments
import org.junit.jupiter.params.provider.MethodSource
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.extension
import kotlin.io.path.name
import kotlin.io.path.readText

/** Guards against decisions in the platform module and against names of the platform in other modules. */
class PlatformFolderTest {
    @ParameterizedTest
    @MethodSource("rules")
    fun `the platform module contains no decisions`(rule: ArchRule) {
        rule.check(classes)
    }

    @ParameterizedTest
    @MethodSource("names")
    fun `names of the platform occur only in the platform module`(name: String) {
        assertTrue(sources.getValue("platform").any { it.contains(name) }, "'$name' is not in the platform module")
        val others = sources.filterKeys { it != "platform" }.filterValues { files -> files.any { "\"$name" in it } }
        assertEquals(emptySet<String>(), others.keys)
    }

    private companion object {
        val classes: JavaClasses =
            ClassFileImporter().withImportOption(
                ImportOption.DoNotIncludeTests(),
            ).importPackages("boragelever.platform")

        /** Contents of the main source files by module name. */
        val sources: Map<String, List<String>> =
            Files.list(Path.of("").toAbsolutePath().parent).use { it.toList() }
                .filter { Files.isDirectory(it.resolve("src/main/kotlin")) }
                .associate { module -> module.name to readSources(module.resolve("src/main/kotlin")) }

        private fun readSources(folder: Path): List<String> =
            Files.walk(folder).use { it.toList() }.filter { it.extension == "kt" }.map { it.readText() }

        @JvmStatic
        fun rules(): List<Arguments> =
            listOf(
                arguments(named("no routing", noDependencyOn("boragelever\\.core\\.routing\\..*"))),
                arguments(named("no reducer", noDependencyOn("boragelever\\.core\\..*Reducer(Kt)?"))),
                arguments(
                    named("no state of calls", noDependencyOn("boragelever\\.core\\.call\\.(?!CallHeaderNames).*")),
                ),
                arguments(named("no control state", noDependencyOn("boragelever\\.core\\.control\\.ControlState.*"))),
                arguments(named("no random choice", noDependencyOn("kotlin\\.random\\..*|java\\.util\\.Random"))),
            )

        private fun noDependencyOn(names: String): ArchRule =
            noClasses().should().dependOnClassesThat().haveNameMatching(names)

        @JvmStatic
        fun names(): List<String> =
            with(platformHeaderNames) {
                listOfNotNull(
                    deadlineHeader,
                    requestIdHeader,
                    expectedInstanceHeader,
                    callingServiceHeader,
                    notRunHeader,
                    signatureHeader,
                    loadHeader,
                )
            } + listOf(
                StoreProtocol.TRANSACT_PATH,
                StoreProtocol.RANGE_PATH,
                StoreProtocol.CHANGES_PATH,
                StoreProtocol.OBJECT_PUT_PATH,
                StoreProtocol.OBJECT_GET_PATH,
                StoreProtocol.OBJECT_DELETE_PATH,
                StoreProtocol.OBJECTS_PATH,
                "/boragelever/ready",
                "/boragelever/Instances.",
                "coldLeft",
                "ifRev",
            )
    }
}
