package boragelever.node

import boragelever.core.Incarnation
import boragelever.core.NetworkAddress
import boragelever.core.NodeId
import boragelever.core.control.ControlState
import boragelever.core.control.Event
import boragelever.core.control.MemberRecord
import boragelever.core.control.NodeIdentity
import boragelever.core.control.PeerMessage
import boragelever.core.control.ReloadableSettings
import boragelever.core.routing.RoutingSnapshot
import boragelever.node.admin.AdminBackend
import boragelever.node.admin.AdminServer
import boragelever.node.admin.ConfigFigures
import boragelever.node.admin.MetricSources
import boragelever.node.admin.NodeStatus
import boragelever.node.admin.registerNodeMetrics
import boragelever.node.admin.renderMetrics
import boragelever.node.peer.PeerListener
import boragelever.node.peer.PeerTransport
import boragelever.node.peer.TransportSettings
import boragelever.node.proxy.ProxyServer
import boragelever.node.proxy.ProxySettings
import boragelever.node.proxy.TrafficObservation
import boragelever.node.telemetry.ProxyTelemetry
import boragelever.platform.ConfigFolder
import boragelever.platform.Platform
import io.github.oshai.kotlinlogging.KotlinLogging
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import java.io.IOException
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicReference
import kotlin.random.Random

private val log = KotlinLogging.logger {}

/** Threads for the store and the folder; few, since a node shares its host with an upstream. */
private const val CONTROL_IO_THREADS = 2

private const val DRAIN_POLL_MILLIS = 50L
private const val MILLIS_PER_SECOND = 1_000L

/**
 * One node: the control thread, the connections to peers, the proxy and the admin port.
 *
 * The node does not own [platform] and [callPlatform] and does not close them.
 *
 * @param platform store of the control state.
 * @param callPlatform store of the claims of calls; with a rate ceiling of its own, calls cannot starve the control
 *   state.
 */
public fun Node(
    settings: NodeSettings,
    platform: Platform,
    folder: ConfigFolder,
    callPlatform: Platform = platform,
): Node = Node(settings, NodeOutside(platform, folder, Clock.SYSTEM, callPlatform))

/** What a node gets from outside. */
internal class NodeOutside(
    val platform: Platform,
    val folder: ConfigFolder,
    val clock: Clock,
    val callPlatform: Platform = platform,
)

/** A node as made by the function of the same name. */
public class Node internal constructor(private val settings: NodeSettings, private val outside: NodeOutside) {
    private val clock = outside.clock
    private val dispatcher = daemonDispatcher("node-io-${settings.node}", CONTROL_IO_THREADS)
    private val scope = CoroutineScope(SupervisorJob() + dispatcher)
    private val store = MeteredPlatform(outside.platform, clock)
    private val notices = NoticeCounts(clock)
    private val snapshots = AtomicReference<RoutingSnapshot?>(null)
    private val registry = PrometheusRegistry()
    private val epochOffsetMillis = System.currentTimeMillis() - clock.nowMillis()
    private val transport =
        PeerTransport(
            TransportSettings(
                settings.node,
                settings.region,
                settings.bindHost,
                settings.peerPort,
                settings.sharedKey,
            ),
            NodePeerListener(),
            clock,
            Random(settings.seed),
        )
    private val tracing = Tracing(settings)
    private val proxy: ProxyServer =
        ProxyServer(
            settings.proxySettings(),
            snapshots::get,
            store.metering(outside.callPlatform),
            ::observed,
            ProxyTelemetry(tracing.openTelemetry, registry),
            LocalRequests(settings, { state.notReadyReason() }, { control.submitAndAwait(it) }),
        )
    private val admin = AdminServer(settings.adminHost, settings.adminPort, NodeAdminBackend())
    private val stopping = AtomicBoolean()
    private val closed = AtomicBoolean()
    private val exited = CountDownLatch(1)

    private lateinit var control: ControlLoop
    private lateinit var statusView: StatusView

    /** Where the node listens. Set once the node is started. */
    public lateinit var addresses: NodeAddresses
        private set

    /** Control state after the last event. */
    public val state: ControlState get() = control.state

    /** The last configuration that this node applied, or `null` before the first. */
    public val lastApplied: ConfigMoment? get() = notices.lastApplied.get()

    /** The last configuration that this node published, or `null` if it published none. */
    public val lastPublished: ConfigMoment? get() = notices.lastPublished.get()

    /** Returns the status as the admin port shows it. */
    public fun currentStatus(): NodeStatus = statusView.of(state)

    /**
     * Opens all ports and joins the mesh.
     *
     * @throws PortUnavailableException if a port is taken; the node is closed then.
     */
    public fun start() {
        try {
            openPorts()
        } catch (e: PortUnavailableException) {
            kill()
            throw e
        }
        control.start()
        transport.start()
        log.info { "[node] ${settings.node} runs: callers ${addresses.proxy}, admin ${addresses.admin}" }
    }

    private fun openPorts() {
        runBlocking {
            val peerPort = opening("peer", settings.peerPort) { transport.bind() }
            val proxyPorts = opening("proxy or hop", settings.proxyPort) { proxy.start() }
            val identity = identity(addressOf(peerPort), addressOf(proxyPorts.hop))
            control = ControlLoop(ControlState(identity), clock, settings.seed, effectRunner()::start)
            registerNodeMetrics(registry, metricSources())
            val adminPort = opening("admin", settings.adminPort) {
                requireFreePort(settings.adminHost, settings.adminPort)
                admin.start()
            }
            addresses =
                NodeAddresses(
                    addressOf(proxyPorts.proxy),
                    identity.callAddress,
                    identity.peerAddress,
                    NetworkAddress("${settings.adminHost}:$adminPort"),
                )
            statusView = StatusView(clock, notices, store, addresses)
        }
    }

    /** Asks the node to stop: it takes no new work, finishes the calls in flight and exits. Returns at once. */
    public fun stop() {
        if (!stopping.compareAndSet(false, true)) return
        control.submitFrom(scope) { Event.StopRequested(it) }
        proxy.beginDrain()
        scope.launch {
            while (snapshots.get()?.draining == false || proxy.callsInFlight > 0) delay(DRAIN_POLL_MILLIS)
            control.submit { Event.CallsFinished(it) }
        }
    }

    /** Puts [live] in force; all other settings hold until the process restarts. */
    public fun reload(live: ReloadableSettings) {
        control.submitFrom(scope) { Event.SettingsChanged(it, live) }
    }

    /** Waits until the node has exited. */
    public fun awaitExit() {
        exited.await()
    }

    /** Waits until the node has exited, at most [timeoutMillis]; returns false if it has not. */
    public fun awaitExit(timeoutMillis: Long): Boolean = exited.await(timeoutMillis, TimeUnit.MILLISECONDS)

    /** Ends the node at once, with the calls in flight, as a crash of its process would. */
    public fun kill() {
        if (!closed.compareAndSet(false, true)) return
        if (::control.isInitialized) control.stop()
        transport.close()
        runBlocking { proxy.close() }
        admin.close()
        tracing.close()
        scope.cancel()
        dispatcher.close()
        exited.countDown()
    }

    private fun exit() {
        log.info { "[node] ${settings.node} exits" }
        // Runs on a thread of its own: it waits for servers whose threads may be the caller's.
        Thread(::kill, "exit-${settings.node}").apply { isDaemon = true }.start()
    }

    private fun addressOf(port: Int): NetworkAddress = NetworkAddress("${settings.host}:$port")

    private fun identity(peerAddress: NetworkAddress, callAddress: NetworkAddress): NodeIdentity =
        NodeIdentity(
            node = settings.node,
            region = settings.region,
            zone = settings.zone,
            peerAddress = peerAddress,
            callAddress = callAddress,
            incarnation = Incarnation(System.currentTimeMillis() / MILLIS_PER_SECOND),
            seeds = settings.seeds,
            epochOffsetMillis = epochOffsetMillis,
            storeRegion = settings.storeRegion,
            origin = settings.origin,
            reloadable = settings.live,
        )

    private fun effectRunner(): EffectRunner {
        val targets = EffectTargets(store, outside.folder, transport, snapshots, notices, ::exit)
        return EffectRunner(targets, scope) { control.submit(it) }
    }

    private fun observed(observation: TrafficObservation) {
        when (observation) {
            is TrafficObservation.UpstreamDied ->
                control.submitFrom(scope) { Event.UpstreamCrashed(it, observation.instance, observation.running) }
        }
    }

    private fun metricSources(): MetricSources =
        MetricSources(
            config = ::configFigures,
            control = { control.figures },
            transport = { transport.figures },
            store = { store.figures },
            members = { state.membersByStatus() },
            callsInFlight = { proxy.callsInFlight },
        )

    private fun configFigures(): ConfigFigures =
        ConfigFigures(
            version = state.applied?.id?.version?.value ?: 0,
            appliedAtSeconds = wallClockSeconds(notices.lastApplied.get()?.atMillis),
            publishedAtSeconds = wallClockSeconds(notices.lastPublished.get()?.atMillis),
            applied = notices.applied.sum(),
            refused = notices.refused.sum(),
            published = notices.published.sum(),
            rejectedFolders = notices.rejectedFolders.sum(),
        )

    private fun wallClockSeconds(millis: Long?): Double =
        if (millis == null) 0.0 else (millis + epochOffsetMillis) / MILLIS_PER_SECOND.toDouble()

    private inner class NodePeerListener : PeerListener {
        override fun ownRecord(): MemberRecord = state.membership.own ?: state.identity.firstRecord()

        override suspend fun connected(record: MemberRecord) {
            control.submit { Event.PeerConnected(it, record) }
        }

        override suspend fun received(from: NodeId, message: PeerMessage) {
            control.submit { Event.PeerMessageReceived(it, from, message) }
        }

        override fun unreachable(peer: NodeId) {
            control.submitFrom(scope) { Event.PeerUnreachable(it, peer) }
        }
    }

    private inner class NodeAdminBackend : AdminBackend {
        override suspend fun submit(event: UnstampedEvent) {
            control.submit(event)
        }

        override fun status(): NodeStatus = currentStatus()

        override fun notReadyReason(): String? = state.notReadyReason()

        override fun metrics(): String = renderMetrics(registry)
    }
}

private fun NodeIdentity.firstRecord(): MemberRecord =
    MemberRecord(node, incarnation, 0, region, zone, peerAddress, callAddress)

private fun NodeSettings.proxySettings(): ProxySettings =
    ProxySettings(
        node,
        bindHost = bindHost,
        proxyPort = proxyPort,
        hopPort = hopPort,
        localPorts = listOfNotNull(readyPort, heartbeatPort),
        dialect = dialect,
        threads = trafficThreads,
    )

private inline fun <T> opening(name: String, port: Int, open: () -> T): T =
    try {
        open()
    } catch (e: IOException) {
        throw PortUnavailableException("the $name port $port cannot be opened: ${e.message}; choose a free one", e)
    }

/** A port of the node cannot be opened. */
public class PortUnavailableException(message: String, cause: Throwable) : IOException(message, cause)
