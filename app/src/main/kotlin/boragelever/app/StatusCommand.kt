package boragelever.app

import boragelever.core.NetworkAddress
import boragelever.node.admin.NodeStatus
import boragelever.node.admin.adminJson
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import kotlinx.serialization.SerializationException
import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration

private val timeout = Duration.ofSeconds(3)
private const val HTTP_OK = 200

internal fun showStatus(command: Command.ShowStatus): CommandOutcome =
    fetchStatus(command.admin).fold(
        success = { text -> describeStatus(text, command.output) },
        failure = { CommandOutcome(ExitCode.DEPENDENCY_FAILED, it) },
    )

private fun fetchStatus(admin: NetworkAddress): Result<String, String> {
    val client = HttpClient.newBuilder().connectTimeout(timeout).build()
    val request = HttpRequest.newBuilder(URI("http://$admin/status")).timeout(timeout).build()
    return try {
        val response = client.send(request, HttpResponse.BodyHandlers.ofString())
        if (response.statusCode() == HTTP_OK) {
            Ok(response.body().trimEnd())
        } else {
            Err("$admin returned HTTP ${response.statusCode()}; check that --admin is the admin port of a node")
        }
    } catch (e: IOException) {
        Err("cannot reach the node at $admin (${e.message ?: e::class.simpleName}); check --admin and the node")
    }
}

private fun describeStatus(text: String, output: OutputFormat): CommandOutcome =
    when (output) {
        OutputFormat.JSON -> successOutcome(text)
        OutputFormat.TEXT ->
            try {
                successOutcome(statusText(adminJson.decodeFromString(NodeStatus.serializer(), text)))
            } catch (e: SerializationException) {
                CommandOutcome(
                    ExitCode.DEPENDENCY_FAILED,
                    "cannot decode the status (${e.message}); use --output json or the program version of the node",
                )
            }
    }

private fun statusText(status: NodeStatus): String {
    val config = status.config?.let { "v${it.version} ${it.digest}, ${it.entries} entries, age ${it.ageMs ?: "?"} ms" }
    val publisher = if (status.publisher.holdsLease) "this node" else "another node"
    val members = status.members
    val store = status.store
    val lines =
        listOf(
            "node        ${status.node} in ${status.region}/${status.zone}, ${status.lifecycle}",
            "ready       ${status.notReady ?: "yes"}",
            "config      ${config ?: "none"}",
            "publisher   $publisher, epoch ${status.publisher.epoch ?: "unknown"}",
            "store       ${store.failure ?: "reachable"}, answered ${store.answerAgeMs ?: "?"} ms ago",
            "members     ${members.alive} alive, ${members.suspect} suspect, ${members.dead} dead",
        ) +
            status.publisher.folderErrors.map { "rejected    $it" } +
            status.upstreams.map { "upstream    ${it.instance} of ${it.service} at ${it.address}, ${it.state}" } +
            status.quarantine.map { "quarantined ${it.fingerprint}, ${it.remainingMs} ms left, ${it.crashes} crashes" }
    return lines.joinToString("\n")
}
