package dev.goldcrestquay.daemon

import dev.goldcrestquay.contract.Environment
import dev.goldcrestquay.contract.Target
import dev.goldcrestquay.http.CallTracing
import dev.goldcrestquay.http.CallerServer
import dev.goldcrestquay.http.EntryMetrics
import dev.goldcrestquay.http.OperatorServer
import dev.goldcrestquay.http.PlatformClient
import dev.goldcrestquay.http.TargetClient
import dev.goldcrestquay.link.EntryLinks
import dev.goldcrestquay.link.asClock
import dev.goldcrestquay.machine.EntrySettings
import dev.goldcrestquay.machine.EntryVm
import dev.goldcrestquay.machine.MemberRecord
import dev.goldcrestquay.machine.MemberStatus
import dev.goldcrestquay.peer.PeerClients
import dev.goldcrestquay.peer.PeerServer
import dev.goldcrestquay.zone.ANSWER_LIFETIME_MILLISECONDS
import io.opentelemetry.api.OpenTelemetry
import io.vertx.core.Vertx
import io.vertx.core.http.HttpServer
import io.vertx.core.internal.VertxInternal
import io.vertx.kotlin.coroutines.coAwait
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.apache.logging.log4j.kotlin.Logging
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** A running entry VM: connects the decisions of [EntryVm] to the network. */
class EntryDaemon(
    private val vertx: Vertx,
    private val settings: DaemonSettings,
    openTelemetry: OpenTelemetry,
    private val entrySettings: EntrySettings = EntrySettings(),
    private val random: Random = Random.Default,
) : Logging {
    private val metrics = EntryMetrics()
    private val targets = TargetClient(vertx)
    private val peers = PeerClients()
    private val platform = PlatformClient(vertx, settings.platform, settings.stream)
    private val tracing = CallTracing(openTelemetry)
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private lateinit var callerServers: List<CallerServer>
    private val httpServers = mutableListOf<HttpServer>()
    private val peerServer = PeerServer(settings.host, settings.peerPort) { entryVm }

    /** The entry VM's tables and decisions. */
    lateinit var entryVm: EntryVm
        private set

    /** The IP address and port for callers. */
    val callerAddress: String get() = entryVm.members.self.callerAddress

    /** Starts listening on all ports and starts the periodic tasks. */
    suspend fun start() {
        val peerPort = peerServer.start()
        val callerPort = settings.callerPort.takeIf { it != 0 } ?: findFreePort(settings.host)
        val self =
            MemberRecord(
                name = settings.name,
                incarnation = System.currentTimeMillis(),
                sequence = 0,
                status = MemberStatus.ALIVE,
                dataCentre = settings.dataCentre,
                callerAddress = "${settings.host}:$callerPort",
                peerAddress = "${settings.host}:$peerPort",
            )
        entryVm = EntryVm(self, entrySettings, links(), random, metrics::observe)
        metrics.registerGauges(entryVm)
        callerServers = List(settings.eventLoops) { CallerServer(vertx, entryVm, targets, metrics, tracing) }
        httpServers += callerServers.map { server -> vertx.onNewEventLoop { server.start(settings.host, callerPort) } }
        httpServers += OperatorServer(vertx, entryVm, metrics).start(settings.host, settings.operatorPort)
        scope.launch { entryVm.control.run() }
        logger.info { "entry VM ${self.identity} listens for callers on ${self.callerAddress}, for peers on ${self.peerAddress}" }
    }

    /**
     * Leaves without interrupting calls, except for those still in flight after [MAXIMUM_DRAIN_TIME].
     *
     * Tells the peers, keeps serving until the last address answer that names this entry VM has expired at the callers, then refuses
     * calls, waits for those in flight and stops.
     */
    suspend fun drain() {
        logger.info { "entry VM ${settings.name} is leaving" }
        entryVm.control.leave()
        delay(ANSWER_LIFETIME_MILLISECONDS.milliseconds + ADDRESS_EXPIRY_MARGIN)
        callerServers.forEach { it.stopAccepting() }
        withTimeoutOrNull(MAXIMUM_DRAIN_TIME) {
            while (callerServers.sumOf { it.openCalls } > 0) delay(DRAIN_CHECK_INTERVAL)
        }
        stop()
        logger.info { "entry VM ${settings.name} has left" }
    }

    /** Stops at once, as a failing VM would: without telling the peers or waiting for calls in flight. */
    suspend fun stop() {
        scope.cancel()
        httpServers.forEach { it.close().coAwait() }
        peerServer.stop()
        peers.close()
    }

    private fun links(): EntryLinks =
        EntryLinks(
            clock = TimeSource.Monotonic.asClock(),
            wallClock = System::currentTimeMillis,
            log = platform.log,
            snapshots = platform.snapshots,
            vmList = platform.vmList,
            peers = peers.link,
            probe = targets::probe,
            networkRoundTrip = ::networkRoundTrip,
        )

    private fun networkRoundTrip(target: Target): Duration {
        if (target.dataCentre == settings.dataCentre) return Duration.ZERO
        val environment = entryVm.environments.state.environment ?: return Duration.ZERO
        return environment.oneWayLatency(settings.dataCentre, target.dataCentre) * 2
    }

    private companion object {
        /** How much longer than the lifetime of an address answer a leaving entry VM keeps serving. */
        val ADDRESS_EXPIRY_MARGIN = 10.seconds

        /** The longest wait for calls in flight; the connections of those that remain are closed. */
        val MAXIMUM_DRAIN_TIME = 600.seconds
        val DRAIN_CHECK_INTERVAL = 50.milliseconds
    }
}

/** The one-way network latency between two data centres, or [OTHER_REGION_ONE_WAY_LATENCY] when no region has both. */
private fun Environment.oneWayLatency(
    from: String,
    to: String,
): Duration {
    val region = regions.firstOrNull { region -> region.dataCentres.any { it.name == from } }
    val other = region?.dataCentres?.firstOrNull { it.name == to } ?: return OTHER_REGION_ONE_WAY_LATENCY
    return other.oneWayMicroseconds.microseconds
}

/** The assumed one-way network latency to a data centre of another region; an environment states only those within a region. */
private val OTHER_REGION_ONE_WAY_LATENCY = 50.milliseconds

/** Finds a free port beforehand, since all event loops must listen on the same one; another process may still take it. */
private fun findFreePort(host: String): Int = ServerSocket(0, 1, InetAddress.getByName(host)).use { it.localPort }

/** Runs [block] on an event loop of its own, so that the servers on one port share its connections. */
private suspend fun <T> Vertx.onNewEventLoop(block: suspend () -> T): T {
    val context = (this as VertxInternal).createEventLoopContext()
    return CoroutineScope(context.dispatcher()).async { block() }.await()
}
