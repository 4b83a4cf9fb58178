package boragelever.bench

import boragelever.core.FileName
import boragelever.core.config.DisseminationProfile
import boragelever.core.control.FolderEntry
import boragelever.core.control.FolderFile
import boragelever.core.control.FolderResult
import boragelever.core.store.EntityTag

/** In-memory configuration folder of the operators. */
internal class BenchFolder(private val size: MeshSize, profile: DisseminationProfile) {
    private val files = sortedMapOf<FileName, FolderFile>()
    private val edits = sortedMapOf<String, Int>()

    /** Increases with each change of a file; also the entity tag of the file that changed last. */
    var revision: Int = 0
        private set

    init {
        write("10-services.yaml", services())
        write("20-routes.yaml", routes())
        write("40-dissemination.yaml", "dissemination: {profile: ${profile.name.lowercase()}, batch_window_ms: 1000}\n")
    }

    fun allFiles(): List<FolderFile> = files.values.toList()

    fun list(): FolderResult = FolderResult.Listed(files.values.map { FolderEntry(it.name, it.entityTag) })

    fun read(names: List<FileName>): FolderResult = FolderResult.Read(names.mapNotNull { files[it] })

    /** Simulates an operator's edit: changes `max_waiting` of the service that [number] selects. */
    fun edit(number: Int) {
        edits[size.serviceNames()[number % size.services].value] = FIRST_MAX_WAITING + number
        val lines = edits.map { (service, maxWaiting) -> "  $service: {queue: {max_waiting: $maxWaiting}}\n" }
        write("60-operators.yaml", "services:\n" + lines.joinToString(""))
    }

    /** Revision of the folder that [files] were read from. */
    fun revisionOf(files: List<FolderFile>): Int = files.maxOfOrNull { it.entityTag.value.toInt() } ?: 0

    private fun services(): String =
        "services:\n" + size.serviceNames().joinToString("") { name ->
            "  $name:\n    queue: {max_waiting: 18, max_wait_ms: 50}\n    drain_ms: 600000\n" +
                "    outlier: {consecutive_failures: 3, eject_ms: 2000}\n"
        }

    private fun routes(): String =
        "routes:\n" +
            size.serviceNames().joinToString("") { name -> route(name.value, "read") + route(name.value, "act") }

    private fun route(service: String, kind: String): String {
        val isRead = kind == "read"
        val methods = if (isRead) "GET, HEAD" else "POST"
        val key = if (isRead) "" else "    idempotency: {require_key: true}\n"
        return "  $service-$kind:\n    path_prefix: /$service/$kind\n    methods: [$methods]\n" +
            "    destinations: {$service: 1}\n    timeout_ms: 2000\n$key"
    }

    private fun write(name: String, text: String) {
        val file = FileName(name)
        files[file] = FolderFile(file, EntityTag("${++revision}"), text)
    }
}

/** Greater than the default and every value in the files, so that each edit changes the configuration. */
private const val FIRST_MAX_WAITING = 100
