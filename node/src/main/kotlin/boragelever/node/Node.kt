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
import boragelever.node.admin.ConfigStats
import boragelever.node.admin.MetricSources
import boragelever.node.admin.NodeStatus
import boragelever.node.admin.QuarantineStats
import boragelever.node.admin.registerNodeMetrics
import boragelever.node.admin.renderMetrics
import boragelever.node.peer.PeerListener
import boragelever.node.peer.PeerTransport
import boragelever.node.peer.TransportSettings
import boragelever.node.proxy.ProxyObservation
import boragelever.node.proxy.ProxyServer
import boragelever.node.proxy.ProxySettings
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

/** Threads for store and folder I/O; few, because a node shares its host with an upstream. */
private const val CONTROL_IO_THREADS = 2

private const val DRAIN_POLL_MILLIS = 50L

/** Polls in a row without an unfinished request after which the calls count as finished; two may have a gap between. */
private const val MIN_IDLE_POLLS = 2
private const val MILLIS_PER_SECOND = 1_000L

/**
 * One node: the control thread, the connections to peers, the proxy and the admin port.
 *
 * The caller owns [platform] and [callPlatform] and has to close them.
 *
 * @param platform store for the control state.
 * @param callPlatform store for the claims of calls. Give it a separate rate limit, so that calls cannot starve the
 *   control state of store requests.
 */
public fun Node(
    settings: NodeSettings,
    platform: Platform,
    folder: ConfigFolder,
    callPlatform: Platform = platform,
): Node = Node(settings, NodeDependencies(platform, folder, Clock.SYSTEM, callPlatform))

/** External dependencies of a node. */
internal class NodeDependencies(
    val platform: Platform,
    val folder: ConfigFolder,
    val clock: Clock,
    val callPlatform: Platform = platform,
)

/** A running node; create it with the function of the same name. */
public class Node internal constructor(private val settings: NodeSettings, private val dependencies: NodeDependencies) {
    private val clock = dependencies.clock
    private val dispatcher = daemonDispatcher("node-io-${settings.node}", CONTROL_IO_THREADS)
    private val scope = CoroutineScope(SupervisorJob() + dispatcher)
    private val store = MeteredPlatform(dependencies.platform, clock)
    private val noticeCounters = NoticeCounters(clock)
    private val snapshots = AtomicReference<RoutingSnapshot?>(null)
    private val registry = PrometheusRegistry()
    private val epochOffsetMillis = System.currentTimeMillis() - clock.nowMillis()
    private val transport =
        PeerTransport(
            TransportSettings(settings.node, settings.region, settings.bindHost, settings.peerPort, settings.sharedKey),
            NodePeerListener(),
            clock,
            Random(settings.seed),
        )
    private val tracing = Tracing(settings)
    private val leaveAcknowledgements = LeaveAcknowledgements()
    private val proxy: ProxyServer =
        ProxyServer(
            settings.proxySettings(),
            snapshots::get,
            store.metering(dependencies.callPlatform),
            ::handleObservation,
            ProxyTelemetry(tracing.openTelemetry, registry),
            NodeLocalRequestHandler(settings, { state.notReadyReason() }, leaveAcknowledgements) {
                control.submitAndAwait(it)
            },
        )
    private val admin = AdminServer(settings.adminHost, settings.adminPort, NodeAdminBackend())
    private val stopRequested = AtomicBoolean()
    private val isDraining = AtomicBoolean()

    @Volatile
    private var isStarted = false
    private val closed = AtomicBoolean()
    private val exited = CountDownLatch(1)

    private lateinit var control: ControlLoop
    private lateinit var statusBuilder: StatusBuilder

    /** Addresses on which the node listens. Set by [start]. */
    public lateinit var addresses: NodeAddresses
        private set

    /** Control state after the last reduced event. */
    public val state: ControlState get() = control.state

    /** Last configuration that this node applied, or `null` if it has applied none. */
    public val lastApplied: ConfigTimestamp? get() = noticeCounters.lastApplied.get()

    /** Last configuration that this node published, or `null` if it has published none. */
    public val lastPublished: ConfigTimestamp? get() = noticeCounters.lastPublished.get()

    /** Returns the status that the admin port serves at `/status`. */
    public fun currentStatus(): NodeStatus = statusBuilder.build(state)

    /**
     * Opens all ports and joins the mesh.
     *
     * @throws PortUnavailableException if a port cannot be opened; the node is closed in that case.
     */
    public fun start() {
        try {
            bindPorts()
        } catch (e: PortUnavailableException) {
            kill()
            throw e
        }
        control.start()
        transport.start()
        log.info { "[node] ${settings.node} started: proxy ${addresses.proxy}, admin ${addresses.admin}" }
        isStarted = true
        if (stopRequested.get()) drain()
    }

    private fun bindPorts() {
        runBlocking {
            val peerPort = openPort("peer", settings.peerPort) { transport.bind() }
            val proxyPorts = openPort("proxy or hop", settings.proxyPort) { proxy.start() }
            val identity = identity(addressOf(peerPort), addressOf(proxyPorts.hop))
            control = ControlLoop(ControlState(identity), clock, settings.seed, effectRunner()::start)
            registerNodeMetrics(registry, metricSources())
            val adminPort = openPort("admin", settings.adminPort) {
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
            statusBuilder = StatusBuilder(clock, noticeCounters, store, addresses)
        }
    }

    /**
     * Starts a graceful stop without waiting: the node refuses new calls, completes those in flight and exits. A node
     * that is being started stops as soon as it has started.
     */
    public fun stop() {
        stopRequested.set(true)
        if (isStarted) drain()
    }

    private fun drain() {
        if (!isDraining.compareAndSet(false, true)) return
        control.submitFrom(scope) { Event.StopRequested(it) }
        proxy.beginDrain()
        scope.launch { reportUnfinishedRequests() }
    }

    /** Reports whether requests are unfinished until the node exits, since new ones may still arrive meanwhile. */
    private suspend fun reportUnfinishedRequests() {
        var idlePolls = 0
        var isReportedIdle = false
        while (true) {
            val isIdle = snapshots.get()?.draining != false && proxy.unfinishedRequests == 0
            idlePolls = if (isIdle) idlePolls + 1 else 0
            val isFinished = idlePolls >= MIN_IDLE_POLLS
            if (isFinished != isReportedIdle) {
                isReportedIdle = isFinished
                control.submit { if (isFinished) Event.CallsFinished(it) else Event.CallsResumed(it) }
            }
            delay(DRAIN_POLL_MILLIS)
        }
    }

    /** Applies [reloadable]; all other settings are fixed until the process restarts. */
    public fun reload(reloadable: ReloadableSettings) {
        control.submitFrom(scope) { Event.SettingsChanged(it, reloadable) }
    }

    /** Blocks until the node has exited. */
    public fun awaitExit() {
        exited.await()
    }

    /** Blocks until the node has exited or [timeoutMillis] have passed; returns false in the latter case. */
    public fun awaitExit(timeoutMillis: Long): Boolean = exited.await(timeoutMillis, TimeUnit.MILLISECONDS)

    /** Stops the node immediately and aborts the calls in flight, as a crash of its process would. */
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
        log.info { "[node] ${settings.node} is exiting" }
        // A separate thread, because kill() waits for the threads of the servers, and this may be one of them.
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
        val targets =
            EffectTargets(
                store,
                dependencies.folder,
                transport,
                snapshots,
                leaveAcknowledgements,
                proxy::watchCompletions,
                noticeCounters,
                ::exit,
            )
        return EffectRunner(targets, scope) { control.submit(it) }
    }

    private fun handleObservation(observation: ProxyObservation) {
        when (observation) {
            is ProxyObservation.UpstreamCrashed ->
                control.submitFrom(scope) { Event.UpstreamCrashed(it, observation.instance, observation.running) }
            is ProxyObservation.RequestCompleted ->
                control.submitFrom(scope) { Event.RequestCompleted(it, observation.instance, observation.fingerprint) }
        }
    }

    private fun metricSources(): MetricSources =
        MetricSources(
            config = ::configStats,
            control = { control.stats },
            transport = { transport.stats },
            store = { store.stats },
            members = { state.membersByStatus() },
            callsInFlight = { proxy.callsInFlight },
            quarantine = ::quarantineStats,
        )

    private fun quarantineStats(): QuarantineStats =
        QuarantineStats(
            active = state.quarantine.quarantined.size,
            imposed = noticeCounters.quarantined.sum(),
            refuted = noticeCounters.quarantinesEnded.sum(),
            unrelatedCrashes = noticeCounters.crashesUnrelated.sum(),
        )

    private fun configStats(): ConfigStats =
        ConfigStats(
            version = state.applied?.id?.version?.value ?: 0,
            appliedAtSeconds = wallClockSeconds(noticeCounters.lastApplied.get()?.atMillis),
            publishedAtSeconds = wallClockSeconds(noticeCounters.lastPublished.get()?.atMillis),
            applied = noticeCounters.applied.sum(),
            refused = noticeCounters.refused.sum(),
            published = noticeCounters.published.sum(),
            rejectedFolders = noticeCounters.rejectedFolders.sum(),
        )

    private fun wallClockSeconds(millis: Long?): Double =
        if (millis == null) 0.0 else (millis + epochOffsetMillis) / MILLIS_PER_SECOND.toDouble()

    private inner class NodePeerListener : PeerListener {
        override fun localRecord(): MemberRecord = state.membership.localRecord ?: state.identity.initialRecord()

        override suspend fun onConnected(record: MemberRecord) {
            control.submit { Event.PeerConnected(it, record) }
        }

        override suspend fun onMessage(from: NodeId, message: PeerMessage) {
            control.submit { Event.PeerMessageReceived(it, from, message) }
        }

        override fun onUnreachable(peer: NodeId) {
            control.submitFrom(scope) { Event.PeerUnreachable(it, peer) }
        }
    }

    private inner class NodeAdminBackend : AdminBackend {
        override suspend fun submit(event: EventFactory) {
            control.submit(event)
        }

        override fun status(): NodeStatus = currentStatus()

        override fun notReadyReason(): String? = state.notReadyReason()

        override fun metrics(): String = renderMetrics(registry)
    }
}

private fun NodeIdentity.initialRecord(): MemberRecord =
    MemberRecord(node, incarnation, 0, region, zone, peerAddress, callAddress)

private fun NodeSettings.proxySettings(): ProxySettings =
    ProxySettings(
        node,
        bindHost = bindHost,
        proxyPort = proxyPort,
        hopPort = hopPort,
        localPorts = listOfNotNull(readyPort, heartbeatPort),
        headerNames = headerNames,
        threads = trafficThreads,
    )

private inline fun <T> openPort(name: String, port: Int, open: () -> T): T =
    try {
        open()
    } catch (e: IOException) {
        throw PortUnavailableException("cannot open the $name port $port: ${e.message}; choose a free port", e)
    }

/** Thrown if a port of the node cannot be opened; the message names the port, the cause and the remedy. */
public class PortUnavailableException(message: String, cause: Throwable) : IOException(message, cause)
