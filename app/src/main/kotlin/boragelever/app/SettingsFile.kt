package boragelever.app

import boragelever.core.control.ReloadableSettings
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.fold
import io.github.oshai.kotlinlogging.KotlinLogging
import sun.misc.Signal
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

private val log = KotlinLogging.logger {}

/** Environment variable with the path of a settings file, which holds one `NAME=VALUE` per line. */
internal const val SETTINGS_FILE_VARIABLE = "BORAGELEVER_CONFIG"

/** Interval of the check for file changes, which may come without a SIGHUP. */
private const val WATCH_MILLIS = 1_000L

/** Merges [environment] with the settings file that it names, if any; [environment] takes precedence. */
internal fun withSettingsFile(environment: Map<String, String>): Result<Map<String, String>, UsageError> {
    val path = environment[SETTINGS_FILE_VARIABLE] ?: return Ok(environment)
    return try {
        parseSettings(path, Files.readString(Path.of(path))).flatMap { Ok(it + environment) }
    } catch (e: IOException) {
        Err(UsageError("$SETTINGS_FILE_VARIABLE: '$path' cannot be read (${e.message}); give a readable file"))
    }
}

private val knownVariables: Set<String> by lazy {
    CommandName.entries.flatMap { it.flags() }.map { it.variable }.toSet()
}

/** Parses the settings file; variables with an empty value count as not set. */
private fun parseSettings(path: String, text: String): Result<Map<String, String>, UsageError> {
    val variables = mutableMapOf<String, String>()
    text.lines().forEachIndexed { index, line ->
        val entry = line.trim()
        if (entry.isEmpty() || entry.startsWith("#")) return@forEachIndexed
        if ('=' !in entry) {
            return Err(UsageError("$path:${index + 1}: '$entry' is not a setting; write NAME=VALUE"))
        }
        val name = entry.substringBefore('=').trim()
        if (name !in knownVariables) {
            return Err(
                UsageError("$path:${index + 1}: '$name' is unknown; 'boragelever node --help' lists the variables"),
            )
        }
        val value = entry.substringAfter('=').trim()
        if (value.isNotEmpty()) variables[name] = value
    }
    return Ok(variables)
}

/** Reloads the settings on SIGHUP and when the settings file changes. */
internal class SettingsWatcher(
    private val read: () -> Result<ReloadableSettings, UsageError>,
    private val apply: (ReloadableSettings) -> Unit,
) {
    private val path = System.getenv(SETTINGS_FILE_VARIABLE)?.let { Path.of(it) }
    private var lastText = readText()

    fun start() {
        Signal.handle(Signal("HUP")) {
            log.info { "[node] received SIGHUP; reloading the settings" }
            reload()
        }
        if (path == null) return
        Thread(::watch, "settings").apply { isDaemon = true }.start()
    }

    private fun watch() {
        while (true) {
            Thread.sleep(WATCH_MILLIS)
            val text = readText()
            if (text == lastText) continue
            lastText = text
            reload()
        }
    }

    @Synchronized
    private fun reload() {
        read().fold(
            success = apply,
            failure = { log.warn { "[node] cannot reload the settings; keeping the current ones: ${it.message}" } },
        )
    }

    private fun readText(): String? =
        try {
            path?.let { Files.readString(it) }
        } catch (e: IOException) {
            log.warn { "[node] cannot read the settings file; keeping the current settings: ${e.message}" }
            lastText
        }
}
