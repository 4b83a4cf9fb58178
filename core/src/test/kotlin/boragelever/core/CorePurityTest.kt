package boragelever.core

import com.tngtech.archunit.base.DescribedPredicate.describe
import com.tngtech.archunit.core.domain.JavaClasses
import com.tngtech.archunit.core.domain.JavaMethodCall
import com.tngtech.archunit.core.importer.ClassFileImporter
import com.tngtech.archunit.core.importer.ImportOption
import com.tngtech.archunit.lang.ArchRule
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses
import org.junit.jupiter.api.Named.named
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.Arguments
import org.junit.jupiter.params.provider.Arguments.arguments
import org.junit.jupiter.params.provider.MethodSource

/** Guards against decisions that depend on a clock, on ambient randomness, on I/O or on a message format. */
class CorePurityTest {
    @ParameterizedTest
    @MethodSource("rules")
    fun `core complies with the rule`(rule: ArchRule) {
        rule.check(classes)
    }

    private companion object {
        val classes: JavaClasses =
            ClassFileImporter().withImportOption(ImportOption.DoNotIncludeTests()).importPackages("boragelever.core")

        @JvmStatic
        fun rules(): List<Arguments> =
            listOf(
                arguments(named("no I/O packages", noDependencyOn("java.io..", "java.net..", "java.nio.file.."))),
                arguments(named("no threads", noDependencyOn("java.util.concurrent..", "kotlinx.coroutines.."))),
                arguments(named("no format", noDependencyOn("kotlinx.serialization.json..", "..cbor.."))),
                arguments(named("no clock", noCallTo("java.lang.System", "currentTimeMillis", "nanoTime"))),
                arguments(named("no time source", noDependencyOn("java.time..", "kotlin.time.."))),
                arguments(named("no ambient randomness", noUseOf("kotlin.random.Random\$Default"))),
                arguments(named("no JDK randomness", noUseOf("java.security.SecureRandom"))),
            )

        private fun noDependencyOn(vararg packages: String): ArchRule =
            noClasses().should().dependOnClassesThat().resideInAnyPackage(*packages)

        private fun noUseOf(type: String): ArchRule =
            noClasses().should().dependOnClassesThat().haveFullyQualifiedName(type)

        private fun noCallTo(owner: String, vararg methods: String): ArchRule =
            noClasses().should().callMethodWhere(
                describe("a call to $owner") { call: JavaMethodCall ->
                    call.targetOwner.name == owner && call.name in methods
                },
            )
    }
}
