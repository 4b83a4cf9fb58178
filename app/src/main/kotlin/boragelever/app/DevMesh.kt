package boragelever.app

import boragelever.core.InstanceId
import boragelever.core.NetworkAddress
import boragelever.core.NodeId
import boragelever.core.RegionName
import boragelever.core.ServiceName
import boragelever.core.ZoneName
import boragelever.core.config.ConfigId
import boragelever.node.Node
import boragelever.node.NodeSettings
import boragelever.platform.ConfigFolder
import boragelever.platform.HttpPlatform
import boragelever.standin.PlatformStandIn
import boragelever.standin.UpstreamSettings
import boragelever.standin.UpstreamStandIn
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

private const val UPSTREAMS_PER_SERVICE = 2
private val regions = listOf("khomas", "erongo", "oshana")
private val zones = listOf("a", "b")

/** A node of a [DevMesh] with its settings. */
internal class DevNode(val settings: NodeSettings, val node: Node)

/** A configuration version that all nodes have applied. */
internal class AppliedVersion(
    val id: ConfigId,
    val nodes: Int,
    /** Time from the last folder change to the last apply, or `null` if the folder last changed before the start. */
    val sinceFolderChangeMillis: Long?,
    /** Time from publication to the last apply, or `null` if no node of this process published the version. */
    val sincePublishMillis: Long?,
)

/** Six nodes in three regions with stand-ins for the platform and the upstreams, all on loopback. */
internal class DevMesh(val folder: Path) : AutoCloseable {
    private val platform = PlatformStandIn()
    private val clients = mutableListOf<HttpPlatform>()
    private val upstreams = mutableMapOf<ServiceName, List<UpstreamStandIn>>()
    private val startedAtMillis = System.currentTimeMillis()

    /** Offset from [System.nanoTime] to wall-clock time, in milliseconds. */
    private val epochOffsetMillis = startedAtMillis - System.nanoTime() / NANOS_PER_MILLI
    private var lastReportedVersion: ConfigId? = null

    val platformAddress: NetworkAddress get() = platform.address

    val nodes: List<DevNode> =
        regions
            .flatMap { region -> zones.map { zone -> createSettings(region, zone) } }
            .map { DevNode(it, createNode(it)) }

    /** Starts the nodes sequentially. */
    fun start() {
        nodes.forEach { it.node.start() }
    }

    /**
     * Returns the version that all nodes have applied if it differs from the last one returned, otherwise `null`.
     *
     * Starts upstream stand-ins for its new services.
     */
    fun pollNewVersion(): AppliedVersion? {
        val applied = nodes.mapNotNull { it.node.lastApplied }
        val id = applied.map { it.id }.distinct().singleOrNull()
        if (applied.size < nodes.size || id == null || id == lastReportedVersion) return null
        lastReportedVersion = id
        startUpstreams()
        val lastMillis = applied.maxOf { it.atMillis }
        val published = nodes.mapNotNull { it.node.lastPublished }.firstOrNull { it.id == id }
        val changedMillis = folderChangedAtMillis()?.takeIf { it >= startedAtMillis }
        return AppliedVersion(
            id,
            nodes.size,
            changedMillis?.let { lastMillis + epochOffsetMillis - it },
            published?.let { lastMillis - it.atMillis },
        )
    }

    /** Errors of the last rejected folder, without duplicates. */
    fun folderErrors(): List<String> = nodes.flatMap { it.node.currentStatus().publisher.folderErrors }.distinct()

    /** One call per route, distributed round-robin over the nodes. */
    fun sampleCalls(): List<SampleCall> {
        val routes = nodes.first().node.state.applied?.configuration?.routes.orEmpty()
        return routes.entries.mapIndexed { index, (name, route) ->
            SampleCall(name, nodes[index % nodes.size].node.addresses.proxy, route)
        }
    }

    override fun close() {
        upstreams.values.flatten().forEach { it.close() }
        nodes.forEach { it.node.kill() }
        clients.forEach { it.close() }
        platform.close()
    }

    private fun createSettings(region: String, zone: String): NodeSettings =
        NodeSettings(
            NodeId("$region-$zone"),
            RegionName(region),
            ZoneName(zone),
            storeRegion = RegionName(regions.first()),
            seed = "$region-$zone".hashCode().toLong(),
        )

    private fun createNode(settings: NodeSettings): Node {
        val client = HttpPlatform(platform.address)
        clients += client
        return Node(settings, client, ConfigFolder.LocalDirectory(folder), client.withSeparateRateLimit())
    }

    private fun startUpstreams() {
        val services = nodes.first().node.state.applied?.configuration?.services?.keys.orEmpty()
        val upstreamsPerService = maxOf(UPSTREAMS_PER_SERVICE, nodes.size / maxOf(1, services.size))
        services.filter { it !in upstreams }.forEach { service ->
            val first = upstreams.values.sumOf { it.size }
            upstreams[service] =
                List(upstreamsPerService) { startUpstream(service, it, nodes[(first + it) % nodes.size].node) }
        }
    }

    private fun startUpstream(service: ServiceName, number: Int, node: Node): UpstreamStandIn =
        UpstreamStandIn(UpstreamSettings(service, InstanceId("$service-$number")), node.addresses.admin)

    /** Returns the wall-clock time of the last change in the folder, or `null` if it cannot be read. */
    private fun folderChangedAtMillis(): Long? =
        try {
            Files.list(folder).use { files ->
                files.toList().plusElement(folder).maxOf { Files.getLastModifiedTime(it).toMillis() }
            }
        } catch (e: IOException) {
            null
        }
}

private const val NANOS_PER_MILLI = 1_000_000L
