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

/** One running entry VM: the library's decisions wired to sockets. */
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
    private val listening = mutableListOf<HttpServer>()
    private val peerServer = PeerServer(settings.host, settings.peerPort) { entryVm }

    /** The entry VM's tables and decisions. */
    lateinit var entryVm: EntryVm
        private set

    /** The IP number and port for callers. */
    val callerAddress: String get() = entryVm.members.self.callerAddress

    /** Opens the ports and starts the loops. */
    suspend fun start() {
        val peerPort = peerServer.start()
        val callerPort = settings.callerPort.takeIf { it != 0 } ?: freePort(settings.host)
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
        listening += callerServers.map { server -> vertx.onNewContext { server.start(settings.host, callerPort) } }
        listening += OperatorServer(vertx, entryVm, metrics).start(settings.host, settings.operatorPort)
        scope.launch { entryVm.control.run() }
        logger.info { "entry VM ${self.identity} listens for callers on ${self.callerAddress}, for peers on ${self.peerAddress}" }
    }

    /** Leaves without cutting a call: tells the others, serves until the answers naming this VM lapse, and finishes what it holds. */
    suspend fun drain() {
        logger.info { "entry VM ${settings.name} is leaving" }
        entryVm.control.leave()
        delay(ANSWER_LIFETIME_MILLISECONDS.milliseconds + ANSWER_MARGIN)
        withTimeoutOrNull(DRAIN_LIMIT) {
            while (callerServers.sumOf { it.openCalls } > 0) delay(DRAIN_CHECK)
        }
        stop()
        logger.info { "entry VM ${settings.name} has left" }
    }

    /** Stops at once, as a failing machine would. */
    suspend fun stop() {
        scope.cancel()
        listening.forEach { it.close().coAwait() }
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
        return environment.oneWay(settings.dataCentre, target.dataCentre) * 2
    }

    private companion object {
        val ANSWER_MARGIN = 10.seconds
        val DRAIN_LIMIT = 600.seconds
        val DRAIN_CHECK = 50.milliseconds
    }
}

/** The one-way latency between two data centres; those of other regions count as far. */
private fun Environment.oneWay(
    from: String,
    to: String,
): Duration {
    val region = regions.firstOrNull { region -> region.dataCentres.any { it.name == from } }
    val other = region?.dataCentres?.firstOrNull { it.name == to } ?: return OTHER_REGION
    return other.oneWayMicroseconds.microseconds
}

private val OTHER_REGION = 50.milliseconds

/** A port that was free a moment ago, since all event loops must listen on the same one. */
private fun freePort(host: String): Int = ServerSocket(0, 1, InetAddress.getByName(host)).use { it.localPort }

/** Runs [block] on an event loop of its own, so that servers on one port share its connections. */
private suspend fun <T> Vertx.onNewContext(block: suspend () -> T): T {
    val context = (this as VertxInternal).createEventLoopContext()
    return CoroutineScope(context.dispatcher()).async { block() }.await()
}
