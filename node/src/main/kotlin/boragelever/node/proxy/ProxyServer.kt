package boragelever.node.proxy

import boragelever.core.Fingerprint
import boragelever.core.config.LimitsConfig
import boragelever.node.net.EventLoopListener
import boragelever.node.net.EventLoopSocket
import boragelever.node.net.SocketEventLoop
import boragelever.node.net.listen
import boragelever.platform.Platform
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.io.IOException
import java.net.InetSocketAddress
import java.nio.channels.SocketChannel
import java.util.concurrent.atomic.AtomicInteger

private val log = KotlinLogging.logger {}

/** Interval at which expired connections and unused endpoint stats are removed. */
private const val SWEEP_INTERVAL_MILLIS = 1_000L

/** Delay after a failed accept, for example because the process has no file descriptor left. */
private const val ACCEPT_RETRY_DELAY_MILLIS = 50L

/** The proxy of a node: handles calls from callers as the first hop and from other nodes as the last hop. */
public interface ProxyServer {
    /** Number of calls in flight on both ports. */
    public val callsInFlight: Int

    /** Number of requests on both ports that are being received or handled. */
    public val unfinishedRequests: Int

    /** Opens the ports and starts to serve; throws [IOException] if a port cannot be bound. */
    public suspend fun start(): ProxyPorts

    /** Sends `Connection: close` with each response from now on. The snapshot decides whether calls are refused. */
    public fun beginDrain()

    /** Replaces the requests whose completion by a local upstream is observed; a recent one is observed at once. */
    public fun watchCompletions(fingerprints: Set<Fingerprint>)

    /** Closes all connections, with or without calls in flight, and the ports. */
    public suspend fun close()
}

/** Creates the proxy of a node; nothing runs before [ProxyServer.start]. */
public fun ProxyServer(
    settings: ProxySettings,
    snapshots: SnapshotSource,
    platform: Platform,
    observer: ProxyObserver,
    telemetry: ProxyTelemetry = ProxyTelemetry.NONE,
    localHandler: LocalRequestHandler = LocalRequestHandler.NONE,
): ProxyServer =
    EventLoopProxyServer(settings, snapshots, platform, observer, telemetry, SystemTrafficClock, localHandler)

/** Serves all connections on a few event loops; each connection belongs to one of them. */
internal class EventLoopProxyServer(
    private val settings: ProxySettings,
    snapshots: SnapshotSource,
    platform: Platform,
    observer: ProxyObserver,
    telemetry: ProxyTelemetry,
    clock: TrafficClock,
    private val localHandler: LocalRequestHandler = LocalRequestHandler.NONE,
) : ProxyServer {
    private val exceptionHandler = CoroutineExceptionHandler { _, failure ->
        log.error(failure) { "[proxy] unexpected failure while serving a connection; the connection is closed" }
    }
    private val job = SupervisorJob()
    private val shared = SharedTraffic(
        settings = settings,
        snapshots = snapshots,
        telemetry = telemetry,
        clock = clock,
        claims = ClaimStore(platform, settings.node, clock),
        localUpstreams = LocalUpstreams(clock, observer),
    )
    private val workers = List(settings.threads) { Worker(SocketEventLoop("traffic-${it + 1}")) }
    private val acceptWorker = workers.first()
    private val acceptedCount = AtomicInteger()
    private val connections = HopKind.entries.associateWith { AtomicInteger() }
    private val listeners = mutableListOf<EventLoopListener>()

    /** One traffic thread with its pool of outgoing connections. */
    private inner class Worker(val loop: SocketEventLoop) {
        val scope = CoroutineScope(job + loop + exceptionHandler)
        val pool = ConnectionPool(settings, loop, shared.clock)
        val context = TrafficContext(shared, loop, pool, scope)
    }

    override val callsInFlight: Int get() = shared.inFlight.values.sumOf { it.get() }

    override val unfinishedRequests: Int get() = shared.unfinishedRequests.get()

    override suspend fun start(): ProxyPorts {
        val proxy = openListener(settings.proxyPort)
        val hop = openListener(settings.hopPort)
        val localListeners = settings.localPorts.map { openListener(it) }
        workers.forEach { it.loop.start() }
        workers.forEach { scheduleSweep(it) }
        acceptWorker.scope.launch { shared.claims.run() }
        acceptWorker.scope.launch { acceptAll(proxy) { serve(it, HopKind.CALLING) } }
        acceptWorker.scope.launch { acceptAll(hop) { serve(it, HopKind.LAST) } }
        localListeners.forEach { local -> acceptWorker.scope.launch { acceptAll(local, ::serveLocal) } }
        return ProxyPorts(proxy.port, hop.port)
    }

    override fun beginDrain() {
        shared.draining = true
    }

    override fun watchCompletions(fingerprints: Set<Fingerprint>): Unit =
        shared.localUpstreams.completedRequests.watch(fingerprints)

    override suspend fun close() {
        job.cancelAndJoin()
        listeners.forEach { it.close() }
        workers.forEach { worker ->
            worker.pool.close()
            worker.loop.close()
        }
    }

    /** Opens [port]; if it cannot be bound, the ports opened before are closed. */
    private fun openListener(port: Int): EventLoopListener =
        try {
            listen(InetSocketAddress(settings.bindHost, port), acceptWorker.loop).also { listeners += it }
        } catch (failure: IOException) {
            listeners.forEach { it.close() }
            throw failure
        }

    private fun serveLocal(channel: SocketChannel) {
        acceptWorker.scope.launch { LocalConnection(EventLoopSocket(channel, acceptWorker.loop), localHandler).run() }
    }

    private suspend fun acceptAll(listener: EventLoopListener, serve: (SocketChannel) -> Unit) {
        try {
            while (job.isActive) {
                try {
                    serve(listener.accept())
                } catch (failure: IOException) {
                    log.warn { "[proxy] accepting a connection failed and will be retried: ${failure.message}" }
                    delay(ACCEPT_RETRY_DELAY_MILLIS)
                }
            }
        } finally {
            listener.close()
        }
    }

    private fun serve(channel: SocketChannel, kind: HopKind) {
        val worker = workers[acceptedCount.getAndIncrement().mod(workers.size)]
        val socket = EventLoopSocket(channel, worker.loop)
        val openConnections = connections.getValue(kind)
        val limit = when (kind) {
            HopKind.CALLING -> (shared.snapshots.current()?.limits ?: LimitsConfig()).maxConnections
            HopKind.LAST -> settings.maxHopConnections
        }
        if (openConnections.incrementAndGet() > limit) {
            openConnections.decrementAndGet()
            // An HTTP refusal would require reading the request; a reset costs nothing, and the call did not run.
            socket.reset()
            return
        }
        worker.scope.launch {
            try {
                ProxyConnection(worker.context, kind, socket).run()
            } finally {
                openConnections.decrementAndGet()
                socket.close()
            }
        }
    }

    private fun scheduleSweep(worker: Worker) {
        worker.loop.schedule(SWEEP_INTERVAL_MILLIS) {
            sweep(worker)
            scheduleSweep(worker)
        }
    }

    private fun sweep(worker: Worker) {
        worker.pool.closeExpired()
        val services = shared.snapshots.current()?.services?.values ?: return
        shared.endpoints.retain(services.flatMap { it.endpoints }.map { it.instance }.toSet())
    }
}
