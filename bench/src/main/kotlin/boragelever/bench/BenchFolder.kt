package boragelever.bench

import boragelever.core.FileName
import boragelever.core.config.DisseminationProfile
import boragelever.core.control.FolderEntry
import boragelever.core.control.FolderFile
import boragelever.core.control.FolderResult
import boragelever.core.store.EntityTag

/** The operators' folder in memory. */
internal class BenchFolder(private val size: MeshSize, profile: DisseminationProfile) {
    private val files = sortedMapOf<FileName, FolderFile>()
    private val edits = sortedMapOf<String, Int>()

    /** Number of the last change of a file. */
    var edition: Int = 0
        private set

    init {
        write("10-services.yaml", services())
        write("20-routes.yaml", routes())
        write("40-dissemination.yaml", "dissemination: {profile: ${profile.name.lowercase()}, batch_window_ms: 1000}\n")
    }

    fun all(): List<FolderFile> = files.values.toList()

    fun list(): FolderResult = FolderResult.Listed(files.values.map { FolderEntry(it.name, it.entityTag) })

    fun read(names: List<FileName>): FolderResult = FolderResult.Read(names.mapNotNull { files[it] })

    /** Changes one setting of one service, as an operator does. */
    fun edit(number: Int) {
        edits[size.serviceNames()[number % size.services].value] = FIRST_WAITING + number
        val lines = edits.map { (service, waiting) -> "  $service: {queue: {max_waiting: $waiting}}\n" }
        write("60-operators.yaml", "services:\n" + lines.joinToString(""))
    }

    /** Edition of the folder that [files] were read from. */
    fun editionOf(files: List<FolderFile>): Int = files.maxOfOrNull { it.entityTag.value.toInt() } ?: 0

    private fun services(): String =
        "services:\n" + size.serviceNames().joinToString("") { name ->
            "  $name:\n    queue: {max_waiting: 18, max_wait_ms: 50}\n    drain_ms: 600000\n" +
                "    outlier: {consecutive_failures: 3, eject_ms: 2000}\n"
        }

    private fun routes(): String =
        "routes:\n" +
            size.serviceNames().joinToString("") { name -> route(name.value, "read") + route(name.value, "act") }

    private fun route(service: String, use: String): String {
        val isRead = use == "read"
        val methods = if (isRead) "GET, HEAD" else "POST"
        val key = if (isRead) "" else "    idempotency: {require_key: true}\n"
        return "  $service-$use:\n    path_prefix: /$service/$use\n    methods: [$methods]\n" +
            "    destinations: {$service: 1}\n    timeout_ms: 2000\n$key"
    }

    private fun write(name: String, text: String) {
        val file = FileName(name)
        files[file] = FolderFile(file, EntityTag("${++edition}"), text)
    }
}

/** Above the default and all values in the files, so that each edit changes the configuration. */
private const val FIRST_WAITING = 100
