package boragelever.app

/** Interval of the checks for a new version and for folder errors. */
private const val POLL_MILLIS = 20L

/** Runs a development mesh and prints each version once all nodes have applied it. */
internal fun runDev(command: Command.RunDev, print: (String) -> Unit): CommandOutcome {
    configureLogging(command.logging)
    return reportingIoErrors {
        val mesh = DevMesh(command.folder)
        Termination.onSignal(mesh::close)
        mesh.use {
            it.start()
            print(describe(it))
            reportVersions(it, command, print)
        }
        successOutcome("")
    }
}

private fun reportVersions(mesh: DevMesh, command: Command.RunDev, print: (String) -> Unit) {
    val deadlineNanos = command.forSeconds?.let { System.nanoTime() + it * NANOS_PER_SECOND }
    var reportedErrors = emptyList<String>()
    while (deadlineNanos == null || System.nanoTime() < deadlineNanos) {
        mesh.pollNewVersion()?.let { version ->
            print(describe(version))
            val calls = mesh.sampleCalls()
            calls.forEach { print("  ${it.route}: ${it.curlLine()}") }
            command.sampleCalls?.let { executeSampleCalls(calls, it.toInt()).forEach(print) }
        }
        val errors = mesh.folderErrors()
        if (errors != reportedErrors) errors.forEach { print("rejected: $it") }
        reportedErrors = errors
        Thread.sleep(POLL_MILLIS)
    }
}

private fun describe(mesh: DevMesh): String {
    val nodes =
        mesh.nodes.map {
            "node ${it.settings.node} in ${it.settings.region}/${it.settings.zone}: " +
                "callers ${it.node.addresses.proxy}, admin ${it.node.addresses.admin}"
        }
    return (listOf("platform ${mesh.platformAddress}, folder ${mesh.folder}") + nodes).joinToString("\n")
}

private fun describe(version: AppliedVersion): String {
    val sinceChange = version.sinceFolderChangeMillis?.let { ", $it ms after the change of the folder" }.orEmpty()
    val sincePublish = version.sincePublishMillis?.let { ", $it ms after the publish" }.orEmpty()
    return "${version.id.version} is in force on all ${version.nodes} nodes$sinceChange$sincePublish"
}

private const val NANOS_PER_SECOND = 1_000_000_000L
