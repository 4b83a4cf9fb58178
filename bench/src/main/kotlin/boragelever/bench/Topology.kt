package boragelever.bench

import boragelever.core.Incarnation
import boragelever.core.InstanceId
import boragelever.core.NetworkAddress
import boragelever.core.NodeId
import boragelever.core.RegionName
import boragelever.core.ServiceName
import boragelever.core.ZoneName
import boragelever.core.control.NodeIdentity
import boragelever.core.control.UpstreamRecord
import boragelever.core.control.UpstreamState

/** Size of a simulated mesh. */
internal data class MeshSize(val nodes: Int, val regions: Int, val zonesPerRegion: Int, val services: Int)

/** Measured sizes: the currently deployed one, two intermediate ones, and the one that the system is designed for. */
internal val MESH_SIZES: List<MeshSize> =
    listOf(
        MeshSize(nodes = 18, regions = 3, zonesPerRegion = 2, services = 3),
        MeshSize(nodes = 100, regions = 2, zonesPerRegion = 4, services = 9),
        MeshSize(nodes = 300, regions = 2, zonesPerRegion = 4, services = 20),
        MeshSize(nodes = 1_000, regions = 2, zonesPerRegion = 4, services = 61),
    )

/** Region that contains the platform's store and the operators' folder. */
internal val STORE_REGION: RegionName = RegionName("khomas")

private val REGION_NAMES = listOf("khomas", "erongo", "oshana")
private val ZONE_NAMES = listOf("a", "b", "c", "d")

internal fun MeshSize.serviceNames(): List<ServiceName> =
    (0 until services).map { ServiceName("service-${it.toString().padStart(2, '0')}") }

/**
 * Identity of the node that runs as the [processNumber]-th process on [host].
 *
 * Consecutive hosts are assigned round robin to regions, then to zones, then to services.
 */
internal fun MeshSize.identity(host: Int, processNumber: Int): NodeIdentity {
    val region = host % regions
    val zone = host / regions % zonesPerRegion
    val name = "${service(host)}-${host.toString().padStart(4, '0')}-$processNumber"
    val address = "10.$region.${host / 200}.${host % 200 + 1}"
    return NodeIdentity(
        node = NodeId(name),
        region = RegionName(REGION_NAMES[region]),
        zone = ZoneName(ZONE_NAMES[zone]),
        peerAddress = NetworkAddress("$address:${7100 + processNumber}"),
        callAddress = NetworkAddress("$address:${7200 + processNumber}"),
        incarnation = Incarnation(1_790_000_000L + processNumber),
        epochOffsetMillis = 1_790_000_000_000,
        storeRegion = STORE_REGION,
    )
}

private fun MeshSize.service(host: Int): ServiceName = serviceNames()[host / (regions * zonesPerRegion) % services]

/** Upstream beside the node of [host]. */
internal fun MeshSize.upstream(host: Int, identity: NodeIdentity): UpstreamRecord =
    UpstreamRecord(
        service = service(host),
        instance = InstanceId("${identity.node}-u"),
        address = NetworkAddress("127.0.0.1:8080"),
        slots = 18,
        connections = 130,
        state = UpstreamState.SERVING,
    )
