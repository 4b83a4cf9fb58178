package boragelever.yaml

import boragelever.core.Fingerprint
import boragelever.core.RouteName
import boragelever.core.ServiceName
import boragelever.core.config.ConfigDocument
import boragelever.core.config.Configuration
import boragelever.core.config.CrossRegion
import boragelever.core.config.DisseminationConfig
import boragelever.core.config.DisseminationProfile
import boragelever.core.config.EntryKey
import boragelever.core.config.IdempotencyConfig
import boragelever.core.config.LimitsConfig
import boragelever.core.config.LocalityConfig
import boragelever.core.config.OutlierConfig
import boragelever.core.config.QuarantineConfig
import boragelever.core.config.QueueConfig
import boragelever.core.config.Repeatability
import boragelever.core.config.RetryConfig
import boragelever.core.config.RouteConfig
import boragelever.core.config.ServiceConfig
import boragelever.core.config.schemaRows
import boragelever.core.control.FolderFile
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.Arguments
import org.junit.jupiter.params.provider.Arguments.arguments
import org.junit.jupiter.params.provider.MethodSource
import java.nio.file.Path
import kotlin.io.path.readText

/** Guards against documents that lose settings, differ between equal folders, or fail on newer program versions. */
class ConfigDocumentsTest {
    @Test
    fun `each key of the schema sets its property`() {
        val merged = loadFolder(folder(EVERY_KEY)).getOrFail()

        assertEquals(everyKeyDecoded, merged.configuration)
        assertEquals(
            emptyList<String>(),
            schemaRows().map { it.path.substringAfterLast('.') }.filter { it !in EVERY_KEY },
        )
    }

    @ParameterizedTest
    @MethodSource("validFolders")
    fun `a folder is unchanged by conversion to a document and to YAML`(files: List<FolderFile>) {
        val merged = loadFolder(files).getOrFail()
        val reloaded = loadFolder(folder(renderYaml(merged.document).getOrFail())).getOrFail()

        assertEquals(merged.configuration, decodeConfigDocument(merged.document).getOrFail())
        assertEquals(merged.document.digest(), reloaded.document.digest())
    }

    @ParameterizedTest
    @MethodSource("canonicalDocuments")
    fun `a folder is converted to canonical entries`(text: String, document: ConfigDocument) {
        assertEquals(document, loadFolder(folder(text)).getOrFail().document)
    }

    @ParameterizedTest
    @MethodSource("receivedDocuments")
    fun `a received document is decoded or refused with its errors`(document: ConfigDocument, errors: List<String>) {
        assertEquals(errors, decodeConfigDocument(document).errorLines())
    }

    @Test
    fun `a diff contains each changed entry once`() {
        val from = document("limits" to "{}", "services/a" to "{}", "services/b" to "{}")
        val to = document("routes/r" to "{}", "services/a" to "{}", "services/b" to "1")

        val expected = listOf(
            EntryChange.Removed(EntryKey("limits"), "{}"),
            EntryChange.Added(EntryKey("routes/r"), "{}"),
            EntryChange.Changed(EntryKey("services/b"), from = "{}", to = "1"),
        )
        assertEquals(expected, diffDocuments(from, to))
    }

    @Test
    fun `the examples contain the settings of their deployments`() {
        val kalahari = loadFolder(exampleFolder("kalahari")).getOrFail().configuration
        val lindqvist = loadFolder(exampleFolder("lindqvist")).getOrFail().configuration

        assertEquals(setOf("scanhub", "fitbook", "patternstore"), kalahari.services.keys.map { it.value }.toSet())
        assertEquals(setOf("records", "decisions", "drafts"), lindqvist.services.keys.map { it.value }.toSet())
        assertEquals(setOf("bookings", "payments"), kalahari.routesRequiringKey())
        assertEquals(setOf("decisions"), lindqvist.routesRequiringKey())
        assertEquals(DisseminationProfile.BYTES, kalahari.dissemination.profile)
        assertEquals(DisseminationProfile.CONVERGENCE, lindqvist.dissemination.profile)
    }

    @Test
    fun `the examples of the reference page match the program`() {
        val page = Path.of("..", "docs", "configuration.md").readText()
        val (base, changes, merged) = page.split("```yaml\n").drop(1).map { it.substringBefore("```") }
        val errors = page.substringAfter("```text\n").substringBefore("```").trim().lines()
        val mistakes = folderCases("mistakes.txt").single { "$it" == "example of the reference page" }

        assertEquals(merged, renderYaml(loadFolder(folder(base, changes)).getOrFail().tree))
        assertEquals(errors, loadFolder(mistakes.files).errorLines())
    }

    private fun Configuration.routesRequiringKey(): Set<String> =
        routes.filterValues { it.idempotency.requireKey }.keys.map { it.value }.toSet()

    private companion object {
        const val EVERY_KEY = """
            services:
              a:
                drain_ms: 1
                slow_start_ms: 2
                max_connections: 24
                queue: {max_waiting: 3, max_wait_ms: 4}
                outlier: {consecutive_failures: 5, eject_ms: 6, max_ejected_percent: 7, panic_percent: 8}
                locality: {spill_percent: 9, cross_region: never}
            routes:
              r:
                host: a.b
                path_prefix: /a
                methods: [GET]
                destinations: {a: 10}
                timeout_ms: 11
                objective_ms: 25
                priority: 26
                idle_timeout_ms: 12
                total_timeout_ms: 27
                retry: {max_attempts: 1, budget_percent: 13, attempt_timeout_ms: 14, hedge_after_ms: 15}
                idempotency:
                  require_key: true
                  repeatable: never
                  idempotent_methods: [PUT]
                  keep_outcome_ms: 86400016
                  max_kept_body_bytes: 17
            limits:
              max_header_bytes: 1024
              max_body_bytes: 18
              max_connections: 19
              max_concurrent_calls: 20
              header_timeout_ms: 27
              caller_idle_ms: 28
            quarantine: {deaths: 21, duration_ms: 22, lifted: ["1234", "0x:#,y", "null", "~"]}
            dissemination: {profile: poll, batch_window_ms: 23, relays_per_region: 4}
        """

        val everyKeyDecoded = Configuration(
            services = mapOf(
                ServiceName("a") to ServiceConfig(
                    drainMillis = 1,
                    slowStartMillis = 2,
                    maxConnections = 24,
                    queue = QueueConfig(maxWaiting = 3, maxWaitMillis = 4),
                    outlier = OutlierConfig(5, ejectMillis = 6, maxEjectedPercent = 7, panicPercent = 8),
                    locality = LocalityConfig(spillPercent = 9, crossRegion = CrossRegion.NEVER),
                ),
            ),
            routes = mapOf(
                RouteName("r") to RouteConfig(
                    host = "a.b",
                    pathPrefix = "/a",
                    methods = setOf("GET"),
                    destinations = mapOf(ServiceName("a") to 10),
                    timeoutMillis = 11,
                    objectiveMillis = 25,
                    priority = 26,
                    idleTimeoutMillis = 12,
                    totalTimeoutMillis = 27,
                    retry = RetryConfig(1, budgetPercent = 13, attemptTimeoutMillis = 14, hedgeAfterMillis = 15),
                    idempotency = IdempotencyConfig(
                        true,
                        Repeatability.NEVER,
                        setOf("PUT"),
                        keepOutcomeMillis = 86_400_016,
                        maxKeptBodyBytes = 17,
                    ),
                ),
            ),
            limits = LimitsConfig(
                1024,
                maxBodyBytes = 18,
                maxConnections = 19,
                maxConcurrentCalls = 20,
                headerTimeoutMillis = 27,
                callerIdleMillis = 28,
            ),
            quarantine = QuarantineConfig(21, durationMillis = 22, fingerprints("1234", "0x:#,y", "null", "~")),
            dissemination = DisseminationConfig(DisseminationProfile.POLL, batchWindowMillis = 23, relaysPerRegion = 4),
        )

        fun fingerprints(vararg values: String): Set<Fingerprint> = values.map(::Fingerprint).toSet()

        @JvmStatic
        fun validFolders(): List<List<FolderFile>> =
            listOf(folder(), folder(EVERY_KEY), exampleFolder("kalahari"), exampleFolder("lindqvist"))

        @JvmStatic
        fun canonicalDocuments(): List<Arguments> =
            listOf(
                arguments("", document()),
                arguments("services: {}", document()),
                arguments("limits: {}", document("limits" to "{}")),
                arguments(
                    "routes: {r: {path_prefix: \"/\", destinations: {a: 1}}}\nservices: {b: {}, a: {drain_ms: \"5\"}}",
                    document(
                        "routes/r" to """{"destinations":{"a":1},"path_prefix":"/"}""",
                        "services/a" to """{"drain_ms":5}""",
                        "services/b" to "{}",
                    ),
                ),
                arguments(
                    "quarantine: {lifted: [\"007\", 'true', -x, 5]}",
                    document("quarantine" to """{"lifted":["007",true,"-x",5]}"""),
                ),
            )

        const val TOO_DEEP = "the value is nested too deeply; close open brackets and remove levels"

        @JvmStatic
        fun receivedDocuments(): List<Arguments> =
            listOf(
                receivedCase(),
                receivedCase("services/a" to """{"new":{"x":[1]}}""", "new" to "5", "new/x" to "{}"),
                receivedCase(
                    "limits" to "{",
                    error = "limits:1: limits: the entry is not JSON; publish the configuration again",
                ),
                receivedCase(
                    "limits" to "null",
                    error = "limits:1: limits: expected a map, found nothing; write a map",
                ),
                receivedCase(
                    "services/a" to "[".repeat(100) + "]".repeat(100),
                    error = "services/a:1: services.a${"[0]".repeat(33)}: $TOO_DEEP",
                ),
                receivedCase(
                    "services/b" to "{}",
                    "routes/r" to """{"path_prefix":"/","destinations":{"a":1}}""",
                    error = "routes/r:1: routes.r.destinations.a: 'a' is not declared; declare 'a' or use one of b",
                ),
            )

        fun receivedCase(vararg entries: Pair<String, String>, error: String? = null): Arguments =
            arguments(document(*entries), listOfNotNull(error))
    }
}
