package dev.goldcrestquay.http.edge

import dev.goldcrestquay.link.Clock
import dev.goldcrestquay.link.StoreLink
import dev.goldcrestquay.machine.FleetEvent
import dev.goldcrestquay.machine.FleetMember
import dev.goldcrestquay.machine.FleetMembers
import dev.goldcrestquay.machine.FleetReplicator
import dev.goldcrestquay.machine.ReplicatorParts
import dev.goldcrestquay.machine.SharedState
import dev.goldcrestquay.machine.SocketAddress
import dev.goldcrestquay.machine.StoreReader
import dev.goldcrestquay.move.RolloutController
import dev.goldcrestquay.move.VersionEvidence
import dev.goldcrestquay.routing.ColdAllowance
import dev.goldcrestquay.routing.ForwardEvent
import dev.goldcrestquay.routing.ForwarderTables
import dev.goldcrestquay.routing.ProbeBudget
import dev.goldcrestquay.routing.RepeatBudget
import dev.goldcrestquay.routing.RequestForwarder
import dev.goldcrestquay.routing.SplitChooser
import dev.goldcrestquay.routing.TargetSampler
import dev.goldcrestquay.routing.TargetTable
import io.vertx.core.Context
import io.vertx.core.Vertx
import io.vertx.core.http.HttpServerRequest
import io.vertx.core.internal.ContextInternal
import io.vertx.kotlin.coroutines.coAwait
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * What one entry VM is told at its start.
 *
 * @property self this entry VM, not yet taking callers.
 * @property seeds peer addresses to begin with; some may be out of date.
 * @property readyAddress where the platform asks whether callers may be sent here.
 * @property directoryAddress where callers ask for addresses.
 * @property isFirstStart whether the whole deployment starts for the first time.
 * @property grace how long the process may live after it was asked to stop.
 */
class GatewaySettings(
    val self: FleetMember,
    val seeds: List<SocketAddress>,
    val readyAddress: SocketAddress,
    val directoryAddress: SocketAddress,
    val isFirstStart: Boolean,
    val grace: Duration,
    val repeatRatio: Double,
    val repeatSlack: Double,
    val repeatWindow: Duration,
    val probesPerSecond: Double,
)

/** What the entry VM reports: decisions about requests and changes of belief. */
class GatewayReports(
    val request: (ForwardEvent) -> Unit,
    val fleet: (FleetEvent) -> Unit,
    val lifecycle: (String) -> Unit,
)

/** Answers a platform's own calls, which only the adapter can read. */
typealias RequestHandler = (HttpServerRequest) -> Unit

/**
 * One running entry VM: the library's decisions wired to sockets, on one event loop.
 *
 * A small machine runs one thread at a time, so tables need no locks when one event loop owns them all.
 */
class GatewayNode(
    private val vertx: Vertx,
    context: Context,
    private val settings: GatewaySettings,
    protocol: TargetProtocol,
    store: (JsonCalls) -> StoreLink,
    private val clock: Clock,
    private val reports: GatewayReports,
    random: Random = Random.Default,
) {
    private val scope = CoroutineScope(context.dispatcher() + SupervisorJob())
    private val pool = OriginPool((context as ContextInternal).nettyEventLoop(), clock)
    private val calls = JsonCalls(pool)
    private val peers = PeerExchange(calls, scope)
    private val evidence = VersionEvidence()
    private val storeLink = store(calls)

    /** The facts of the store. */
    val state = SharedState(clock)

    /** The entry VMs. */
    val members = FleetMembers(settings.self, clock)

    private val reader = StoreReader(storeLink, state, clock, reports.fleet)
    private val controller =
        RolloutController(state, storeLink, { reader.verdictsEndOffset }, { reader.readVerdicts() }, clock, reports.fleet)
    private val feed =
        FleetReplicator(
            ReplicatorParts(state, members, reader, peers::ask, evidence, controller),
            settings.seeds,
            "${settings.self.name}/${settings.self.incarnation}",
            clock,
            settings.isFirstStart,
            reports.fleet,
        )
    private val cold = ColdAllowance(settings.self.name, clock) { knownMembers() }
    private val table = TargetTable(state, settings.self.dataCentre, clock, random, cold)
    private val budget =
        RepeatBudget(settings.repeatRatio, settings.repeatSlack, settings.repeatWindow, clock) {
            members.largestCount.takeIf { isSettled }
        }
    private val targets = TargetExchange(pool, protocol)
    private val probes = ProbeBudget(settings.probesPerSecond, clock) { members.largestCount.takeIf { isSettled } }
    private val sampler = TargetSampler(clock, random, scope, probes, targets::probe, pool::release)
    private val tables = ForwarderTables(state, table, budget, SplitChooser(random), evidence)
    private val forwarder = RequestForwarder<OriginConnection, EdgeReply>(tables, sampler, clock, random, reports.request)
    private val edge = EdgeServer(vertx, state, protocol, targets, forwarder, clock, scope)

    /** Whether callers may be sent here. */
    val isReady: Boolean get() = state.isLoaded && !edge.leaving

    /** Opens the ports and begins to follow the store; [ready] and [directory] answer the platform's own calls. */
    suspend fun start(
        ready: RequestHandler,
        directory: RequestHandler,
    ) {
        scope.launch { feed.run() }
        edge.start(settings.self.callerAddress)
        listen(settings.readyAddress, ready)
        listen(settings.directoryAddress, directory)
        listen(settings.self.peerAddress) { request -> peers.handle(request, feed::answer) }
        reports.lifecycle("listening")
        scope.launch { watch() }
    }

    /** Serves [text] at [METRICS_PORT] under `/metrics`. */
    suspend fun serveMetrics(text: () -> String) {
        listen(settings.self.peerAddress.copy(port = METRICS_PORT)) { request ->
            request.response().putHeader("Content-Type", "text/plain; version=0.0.4").end(text())
        }
    }

    /** Leaves without cutting a request: no new callers are sent here, and those who come are served till the last moment. */
    suspend fun drain() {
        edge.leaving = true
        members.leave()
        reports.lifecycle("leaving")
        feed.announceDeparture()
        val started = clock()
        val last = settings.grace - LAST_REQUESTS
        while (clock() - started < last) {
            delay(DRAIN_CHECK)
            if (clock() - started > LEAST_DRAIN && edge.openConnections == 0) break
        }
        edge.stopAccepting()
        while (clock() - started < settings.grace - EXIT_MARGIN && edge.openRequests > 0) delay(DRAIN_CHECK)
        reports.lifecycle("stopped")
    }

    /** Whether this process has had the time to hear of all members. */
    private val isSettled: Boolean get() = clock() > SETTLING_TIME

    private fun knownMembers(): List<String> = if (isSettled) members.alive.map { it.name } else emptyList()

    private suspend fun watch() {
        while (true) {
            pool.sweep()
            delay(SWEEP_INTERVAL)
        }
    }

    private suspend fun listen(
        address: SocketAddress,
        handler: RequestHandler,
    ) {
        vertx
            .createHttpServer(edgeOptions(address))
            .requestHandler(handler)
            .listen()
            .coAwait()
    }

    companion object {
        /** Where metrics are served; the deploy file names the same port. */
        const val METRICS_PORT = 9464

        /** The last part of the grace period, in which no new request is read: the longest usual request. */
        private val LAST_REQUESTS = 2600.milliseconds

        /** The part of the grace period that the process leaves unused. */
        private val EXIT_MARGIN = 300.milliseconds

        /** After many processes were killed together, all are back and heard by then. */
        private val SETTLING_TIME = 3.seconds

        /** Callers hold an address answer at least this long. */
        private val LEAST_DRAIN = 2.seconds

        private val DRAIN_CHECK = 50.milliseconds

        private val SWEEP_INTERVAL = 500.milliseconds
    }
}
