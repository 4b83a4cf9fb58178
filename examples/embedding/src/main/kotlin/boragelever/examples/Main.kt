package boragelever.examples

import boragelever.core.NetworkAddress
import boragelever.core.NodeId
import boragelever.core.RegionName
import boragelever.core.ZoneName
import boragelever.core.control.ControlState
import boragelever.core.control.LeaseState
import boragelever.core.control.Notice

private const val SEED = 7L
private const val SETTLE_MILLIS = 12_000L

/** Result of [runExample]: both publishers, and the version that each remaining node has applied at the end. */
public data class ExampleResult(
    public val firstPublisher: String,
    public val secondPublisher: String,
    public val versions: Map<String, Long>,
    public val observations: List<Observation>,
)

/** Runs three nodes until one has published the folder, crashes it, and lets another node publish an edit. */
public fun runExample(): ExampleResult {
    val mesh = EmbeddedMesh(SEED)
    val nodes = listOf("n1", "n2", "n3")
    mesh.folder["10-greeting"] = "hello"
    nodes.forEach { mesh.add(controlState(it)) }
    mesh.run(SETTLE_MILLIS)

    val first = mesh.publisherOf(nodes)
    mesh.crash(first)
    mesh.folder["20-more"] = "good morning"
    mesh.run(2 * SETTLE_MILLIS)

    val survivors = nodes - first
    val versions = survivors.associateWith { checkNotNull(mesh.state(it).applied).id.version.value }
    return ExampleResult(first, mesh.publisherOf(survivors), versions, mesh.observations)
}

private fun EmbeddedMesh.publisherOf(nodes: List<String>): String = nodes.first { state(it).lease is LeaseState.Held }

private fun controlState(name: String): ControlState =
    ControlState {
        node = NodeId(name)
        region = RegionName("khomas")
        zone = ZoneName("a")
        peerAddress = NetworkAddress("$name:7002")
        callAddress = NetworkAddress("$name:7001")
    }

/** Runs the example and prints the versions that the nodes reported as published and applied. */
public fun main() {
    val result = runExample()
    result.observations
        .filter { it.notice is Notice.ConfigPublished || it.notice is Notice.ConfigApplied }
        .forEach { println("${it.nowMillis} ms ${it.node}: ${it.notice}") }
    println("${result.firstPublisher} published first, ${result.secondPublisher} took over: ${result.versions}")
}
