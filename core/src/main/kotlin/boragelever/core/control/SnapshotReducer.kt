package boragelever.core.control

import boragelever.core.Fingerprint
import boragelever.core.InstanceId
import boragelever.core.RegionName
import boragelever.core.ServiceName
import boragelever.core.config.Configuration
import boragelever.core.routing.CompiledRoute
import boragelever.core.routing.CompiledService
import boragelever.core.routing.Destination
import boragelever.core.routing.Endpoint
import boragelever.core.routing.LocalityTier
import boragelever.core.routing.Quarantine
import boragelever.core.routing.RouteTable
import boragelever.core.routing.RoutingSnapshot
import kotlinx.collections.immutable.PersistentMap

/** Longest prefix first; with equal length, routes with a host precede those without, then routes with methods. */
private val MATCH_ORDER: Comparator<CompiledRoute> =
    compareByDescending<CompiledRoute> { it.config.pathPrefix.length }
        .thenBy { it.config.host == null }
        .thenBy { it.config.methods.isEmpty() }
        .thenBy { it.name.value }

/** The inputs of a snapshot, compared mostly by identity so that an event without a change is cheap. */
public class SnapshotInputs internal constructor(
    internal val applied: AppliedConfig,
    internal val table: MemberTable,
    internal val quarantined: PersistentMap<Fingerprint, Quarantine>,
    internal val upstreams: PersistentMap<InstanceId, LocalUpstream>,
    internal val lifecycle: LifecycleState,
    internal val reloadable: ReloadableSettings,
) {
    internal fun isSameAs(other: SnapshotInputs): Boolean =
        applied === other.applied &&
            table === other.table &&
            quarantined === other.quarantined &&
            upstreams === other.upstreams &&
            lifecycle == other.lifecycle &&
            reloadable === other.reloadable
}

/** Installs a new snapshot if its inputs have changed. */
internal fun reduceSnapshot(state: ControlState): Transition {
    val config = state.applied ?: return state.withoutEffects()
    val inputs = SnapshotInputs(
        config,
        state.membership.table,
        state.quarantine.quarantined,
        state.discovery.upstreams,
        state.lifecycle,
        state.identity.reloadable,
    )
    if (state.snapshotInputs?.isSameAs(inputs) == true) return state.withoutEffects()
    val snapshot = state.buildSnapshot(config)
    val next = state.copy(snapshotInputs = inputs)
    if (snapshot == state.snapshot) return next.withoutEffects()
    return next.copy(snapshot = snapshot).with(Effect.InstallSnapshot(snapshot))
}

private fun ControlState.buildSnapshot(config: AppliedConfig): RoutingSnapshot {
    val endpoints = endpoints()
    val services = config.configuration.services.mapValues { (name, service) ->
        CompiledService(name, service, endpoints[name].orEmpty().sortedBy { it.instance.value })
    }
    return RoutingSnapshot(
        config = config.id,
        node = identity.node,
        routes = config.routes,
        services = services,
        limits = config.configuration.limits,
        localUpstreams = membership.localRecord?.upstreams.orEmpty().associateBy { it.instance },
        quarantined = quarantine.quarantined,
        draining = (lifecycle as? LifecycleState.Draining)?.refusesCalls == true,
        exitMillis = (lifecycle as? LifecycleState.Draining)?.exitMillis,
        retrySlack = retrySlack(),
        retryPercent = identity.reloadable.sharedRetryRatio?.let { (it * PERCENT * DIRECT_RETRY_SHARE).toInt() },
        callingService = identity.reloadable.callingService,
    )
}

/** Retries that this node may make after a period without calls: its share of the bound for all nodes. */
private fun ControlState.retrySlack(): Int {
    val shared = identity.reloadable.sharedRetrySlack ?: return RoutingSnapshot.DEFAULT_RETRY_SLACK
    val nodes = membership.table.members.values.count { it.isLive }
    return (shared * DIRECT_RETRY_SHARE / maxOf(1, nodes)).toInt()
}

private const val PERCENT = 100

/**
 * Share of the common retry bound that may be spent on direct retries of calls.
 *
 * The rest is left for the calls that an instance makes again because the call that it handles was retried.
 */
private const val DIRECT_RETRY_SHARE = 0.5

/** Builds the route table; omits destinations that are no services of [configuration], so that all of them resolve. */
internal fun compileRoutes(configuration: Configuration): RouteTable {
    val routes = configuration.routes.map { (name, route) ->
        val destinations = route.destinations.filterKeys { it in configuration.services }
        CompiledRoute(name, route, destinations.map { (service, weight) -> Destination(service, weight) })
    }
    return RouteTable(routes.sortedWith(MATCH_ORDER))
}

private fun ControlState.endpoints(): Map<ServiceName, List<Endpoint>> {
    val unreachable = membership.table.regions.keys.filter { isUnreachable(it) }.toSet()
    return membership.table.members.values
        .filter { it.isLive && !it.record.leaving }
        .flatMap { member -> member.endpoints(this, unreachable) }
        .groupBy { it.service }
}

private fun Member.endpoints(state: ControlState, unreachable: Set<RegionName>): List<Endpoint> =
    record.upstreams
        .filter { it.state == UpstreamState.SERVING }
        .map { upstream ->
            Endpoint(
                instance = upstream.instance,
                service = upstream.service,
                node = record.node,
                callAddress = record.callAddress,
                region = record.region,
                zone = record.zone,
                tier = state.identity.tierOf(record),
                slots = upstream.slots,
                servingSinceMillis = servingSinceMillis[upstream.instance] ?: sinceMillis,
                warm = upstream.warm,
                trusted = status == MemberStatus.ALIVE && record.region !in unreachable,
                incarnation = record.incarnation,
            )
        }

private fun NodeIdentity.tierOf(record: MemberRecord): LocalityTier =
    when {
        record.region != region -> LocalityTier.OTHER_REGION
        record.zone != zone -> LocalityTier.SAME_REGION
        else -> LocalityTier.SAME_ZONE
    }
