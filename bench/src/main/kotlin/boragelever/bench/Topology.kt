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

/** Number of nodes, regions, zones in each region, and services. */
internal data class MeshSize(val nodes: Int, val regions: Int, val zones: Int, val services: Int)

/** Sizes that are measured: today's, two between, and the one that the design is for. */
internal val MESH_SIZES: List<MeshSize> =
    listOf(
        MeshSize(nodes = 18, regions = 3, zones = 2, services = 3),
        MeshSize(nodes = 100, regions = 2, zones = 4, services = 9),
        MeshSize(nodes = 300, regions = 2, zones = 4, services = 20),
        MeshSize(nodes = 1_000, regions = 2, zones = 4, services = 61),
    )

/** Region of the platform's store and of the operators' folder. */
internal val STORE_REGION: RegionName = RegionName("khomas")

private val REGION_NAMES = listOf("khomas", "erongo", "oshana")
private val ZONE_NAMES = listOf("a", "b", "c", "d")

internal fun MeshSize.serviceNames(): List<ServiceName> =
    (0 until services).map { ServiceName("service-${it.toString().padStart(2, '0')}") }

/** Place and service of the host number [host]; hosts are dealt out to regions, then zones, then services. */
internal fun MeshSize.identity(host: Int, life: Int): NodeIdentity {
    val region = host % regions
    val zone = host / regions % zones
    val name = "${service(host)}-${host.toString().padStart(4, '0')}-$life"
    val address = "10.$region.${host / 200}.${host % 200 + 1}"
    return NodeIdentity(
        node = NodeId(name),
        region = RegionName(REGION_NAMES[region]),
        zone = ZoneName(ZONE_NAMES[zone]),
        peerAddress = NetworkAddress("$address:${7100 + life}"),
        callAddress = NetworkAddress("$address:${7200 + life}"),
        incarnation = Incarnation(1_790_000_000L + life),
        epochOffsetMillis = 1_790_000_000_000,
        storeRegion = STORE_REGION,
    )
}

private fun MeshSize.service(host: Int): ServiceName = serviceNames()[host / (regions * zones) % services]

/** The upstream beside the node of [host]. */
internal fun MeshSize.upstream(host: Int, identity: NodeIdentity): UpstreamRecord =
    UpstreamRecord(
        service = service(host),
        instance = InstanceId("${identity.node}-u"),
        address = NetworkAddress("127.0.0.1:8080"),
        slots = 18,
        connections = 130,
        state = UpstreamState.SERVING,
    )
