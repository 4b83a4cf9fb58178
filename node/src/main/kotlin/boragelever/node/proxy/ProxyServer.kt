package boragelever.node.proxy

import boragelever.core.config.LimitsConfig
import boragelever.node.net.LoopListener
import boragelever.node.net.LoopSocket
import boragelever.node.net.SocketLoop
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
private const val SWEEP_INTERVAL_MILLIS = 1_000L

/** Pause after a failed accept, for example because the process has no file descriptor left. */
private const val ACCEPT_PAUSE_MILLIS = 50L

/** The traffic side of a node: takes calls from callers and, as the last hop, from other nodes. */
public interface ProxyServer {
    /** Calls that are being carried, on both ports. */
    public val callsInFlight: Int

    /** Opens both ports. Fails with an exception if a port is taken. */
    public suspend fun start(): ProxyPorts

    /** Announces the end of connections from now on; whether calls are still taken is up to the snapshot. */
    public fun beginDrain()

    /** Ends all connections, in flight or not, and frees the ports. */
    public suspend fun close()
}

/** Creates the traffic side of a node; nothing runs before [ProxyServer.start]. */
public fun ProxyServer(
    settings: ProxySettings,
    snapshots: SnapshotSource,
    platform: Platform,
    observer: TrafficObserver,
    telemetry: ProxyTelemetry = ProxyTelemetry.NONE,
    localHandler: LocalHandler = LocalHandler.NONE,
): ProxyServer =
    LoopProxyServer(settings, snapshots, platform, observer, telemetry, SystemTrafficClock, localHandler)

/** Runs all connections on a few threads, each with its own sockets. */
internal class LoopProxyServer(
    private val settings: ProxySettings,
    snapshots: SnapshotSource,
    platform: Platform,
    observer: TrafficObserver,
    telemetry: ProxyTelemetry,
    clock: TrafficClock,
    private val localHandler: LocalHandler = LocalHandler.NONE,
) : ProxyServer {
    private val unexpected = CoroutineExceptionHandler { _, failure ->
        log.error(failure) { "[proxy] a connection was closed after an unexpected failure" }
    }
    private val job = SupervisorJob()
    private val shared = SharedTraffic(
        settings = settings,
        snapshots = snapshots,
        telemetry = telemetry,
        clock = clock,
        claims = ClaimStore(platform, settings.node, clock),
        locals = LocalUpstreams(clock, observer),
    )
    private val workers = List(settings.threads) { Worker(SocketLoop("traffic-${it + 1}")) }
    private val first = workers.first()
    private val accepted = AtomicInteger()
    private val connections = HopKind.entries.associateWith { AtomicInteger() }
    private val listeners = mutableListOf<LoopListener>()

    /** One traffic thread with the connections that it has opened. */
    private inner class Worker(val loop: SocketLoop) {
        val scope = CoroutineScope(job + loop + unexpected)
        val pool = ConnectionPool(settings, loop, shared.clock)
        val context = TrafficContext(shared, loop, pool, scope)
    }

    override val callsInFlight: Int get() = shared.inFlight.values.sumOf { it.get() }

    override suspend fun start(): ProxyPorts {
        val proxy = open(settings.proxyPort)
        val hop = open(settings.hopPort)
        val locals = settings.localPorts.map { open(it) }
        workers.forEach { it.loop.start() }
        workers.forEach { sweepLater(it) }
        first.scope.launch { shared.claims.run() }
        first.scope.launch { acceptAll(proxy) { serve(it, HopKind.CALLING) } }
        first.scope.launch { acceptAll(hop) { serve(it, HopKind.LAST) } }
        locals.forEach { local -> first.scope.launch { acceptAll(local, ::serveLocal) } }
        return ProxyPorts(proxy.port, hop.port)
    }

    override fun beginDrain() {
        shared.draining = true
    }

    override suspend fun close() {
        job.cancelAndJoin()
        listeners.forEach { it.close() }
        workers.forEach { worker ->
            worker.pool.close()
            worker.loop.close()
        }
    }

    /** Opens [port] after others; all of them are closed if it is taken. */
    private fun open(port: Int): LoopListener =
        try {
            listen(InetSocketAddress(settings.bindHost, port), first.loop).also { listeners += it }
        } catch (failure: IOException) {
            listeners.forEach { it.close() }
            throw failure
        }

    private fun serveLocal(channel: SocketChannel) {
        first.scope.launch { LocalConnection(LoopSocket(channel, first.loop), localHandler).run() }
    }

    private suspend fun acceptAll(listener: LoopListener, serve: (SocketChannel) -> Unit) {
        try {
            while (job.isActive) {
                try {
                    serve(listener.accept())
                } catch (failure: IOException) {
                    log.warn { "[proxy] a connection could not be accepted: ${failure.message}" }
                    delay(ACCEPT_PAUSE_MILLIS)
                }
            }
        } finally {
            listener.close()
        }
    }

    private fun serve(channel: SocketChannel, kind: HopKind) {
        val worker = workers[accepted.getAndIncrement().mod(workers.size)]
        val socket = LoopSocket(channel, worker.loop)
        val open = connections.getValue(kind)
        val limit = when (kind) {
            HopKind.CALLING -> (shared.snapshots.current()?.limits ?: LimitsConfig()).maxConnections
            HopKind.LAST -> settings.maxHopConnections
        }
        if (open.incrementAndGet() > limit) {
            open.decrementAndGet()
            // A refusal in HTTP would need the request to be read; a reset costs nothing and the call did not run.
            socket.reset()
            return
        }
        worker.scope.launch {
            try {
                ConnectionLoop(worker.context, kind, socket).run()
            } finally {
                open.decrementAndGet()
                socket.close()
            }
        }
    }

    private fun sweepLater(worker: Worker) {
        worker.loop.after(SWEEP_INTERVAL_MILLIS) {
            sweep(worker)
            sweepLater(worker)
        }
    }

    private fun sweep(worker: Worker) {
        worker.pool.sweep()
        val services = shared.snapshots.current()?.services?.values ?: return
        shared.endpoints.retain(services.flatMap { it.endpoints }.map { it.instance }.toSet())
    }
}
