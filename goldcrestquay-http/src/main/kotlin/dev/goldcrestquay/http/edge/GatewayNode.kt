package dev.goldcrestquay.http.edge

import dev.goldcrestquay.callers.CallerLimits
import dev.goldcrestquay.callers.MachineLimits
import dev.goldcrestquay.link.Clock
import dev.goldcrestquay.link.StoreLink
import dev.goldcrestquay.link.WallClock
import dev.goldcrestquay.machine.FleetEvent
import dev.goldcrestquay.machine.FleetMember
import dev.goldcrestquay.machine.FleetMembers
import dev.goldcrestquay.machine.FleetReplicator
import dev.goldcrestquay.machine.RecordRefresher
import dev.goldcrestquay.machine.ReplicatorParts
import dev.goldcrestquay.machine.SharedState
import dev.goldcrestquay.machine.SocketAddress
import dev.goldcrestquay.machine.StoreReader
import dev.goldcrestquay.move.RolloutController
import dev.goldcrestquay.move.VersionEvidence
import dev.goldcrestquay.overload.FleetPressure
import dev.goldcrestquay.overload.ScarceRoom
import dev.goldcrestquay.routing.ColdTargetLimiter
import dev.goldcrestquay.routing.CrashTable
import dev.goldcrestquay.routing.FleetRetryBudget
import dev.goldcrestquay.routing.ForwardEvent
import dev.goldcrestquay.routing.ForwarderTables
import dev.goldcrestquay.routing.PlannedStop
import dev.goldcrestquay.routing.ProbeBudget
import dev.goldcrestquay.routing.RelayPeers
import dev.goldcrestquay.routing.RequestForwarder
import dev.goldcrestquay.routing.RequestLimitShares
import dev.goldcrestquay.routing.RetryLimits
import dev.goldcrestquay.routing.SplitChooser
import dev.goldcrestquay.routing.TargetNotices
import dev.goldcrestquay.routing.TargetReach
import dev.goldcrestquay.routing.TargetReachMonitor
import dev.goldcrestquay.routing.TargetSampler
import dev.goldcrestquay.routing.TargetTable
import dev.goldcrestquay.spread.TargetSubset
import dev.goldcrestquay.usage.UsageEvent
import dev.goldcrestquay.usage.UsageLinks
import dev.goldcrestquay.usage.UsageReporting
import dev.goldcrestquay.usage.UsageSettings
import io.vertx.core.Context
import io.vertx.core.Vertx
import io.vertx.core.http.HttpConnection
import io.vertx.core.http.HttpServerRequest
import io.vertx.core.internal.ContextInternal
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.coroutines.CoroutineContext
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The settings of one [GatewayNode]; those from [grace] to [probesPerSecond] may change while it runs.
 *
 * @property self this entry VM as a member, not yet accepting callers.
 * @property readyAddress where the platform's readiness checks are served.
 * @property directoryAddress where callers look up the addresses of entry VMs.
 * @property isFirstStart whether the whole deployment starts for the first time.
 * @property seeds the peer addresses to contact first; some may be out of date.
 * @property grace how long the process may go on running after it was asked to stop.
 * @property retryLimits the limits on retries.
 * @property probesPerSecond the probes that one target may get a second, from all entry VMs together.
 * @property machine what the process may use of its machine; a change takes effect at the next start.
 * @property sharesScarceRoom whether requests of a service that has too little room are ordered by urgency, at one level in all entry VMs,
 *   and whether each entry VM prefers a part of the targets and those that reject little.
 * @property usage how usage is reported to the platform; null when it isn't. A change of its rate of calls takes effect at the next start.
 * @property maySendTwice whether lookups with a short deadline may go to a second target while the first still works on them.
 */
data class GatewaySettings(
    val self: FleetMember,
    val readyAddress: SocketAddress,
    val directoryAddress: SocketAddress,
    val isFirstStart: Boolean,
    val seeds: List<SocketAddress>,
    val grace: Duration,
    val retryLimits: RetryLimits,
    val probesPerSecond: Double,
    val machine: MachineLimits = MachineLimits(),
    val sharesScarceRoom: Boolean = false,
    val usage: UsageSettings? = null,
    val maySendTwice: Boolean = false,
) {
    /** Whether a process with these settings can go on with [other] without a restart. */
    internal fun canChangeTo(other: GatewaySettings): Boolean =
        other.copy(
            isFirstStart = isFirstStart,
            seeds = seeds,
            grace = grace,
            retryLimits = retryLimits,
            probesPerSecond = probesPerSecond,
            machine = machine,
            usage = usage?.let { other.usage?.copy(callsPerSecond = it.callsPerSecond) } ?: other.usage,
        ) == this
}

/** The callbacks by which an entry VM reports decisions about requests, changes in the fleet, its own start and stop, and usage. */
class GatewayReports(
    val request: (ForwardEvent) -> Unit,
    val fleet: (FleetEvent) -> Unit,
    val lifecycle: (String) -> Unit,
    val usage: (UsageEvent) -> Unit = { },
)

/** Handles a request whose format the platform's adapter defines. */
typealias RequestHandler = (HttpServerRequest) -> Unit

/**
 * One running entry VM: connects the core library's decisions to sockets, on one event loop.
 *
 * A small machine runs only one thread at a time anyway, so a single event loop owns all tables and they need no locks.
 *
 * @param store creates the link to the platform's store from the HTTP client that this entry VM uses for its own calls.
 * @param usageLinks the same for the links of the usage reports; not called where usage is not reported.
 */
class GatewayNode(
    private val vertx: Vertx,
    context: Context,
    private var settings: GatewaySettings,
    protocol: TargetProtocol,
    store: (HttpCallClient) -> StoreLink,
    private val clock: Clock,
    private val reports: GatewayReports,
    random: Random = Random.Default,
    usageLinks: (HttpCallClient) -> UsageLinks = { error("usage is reported, but its links are not given") },
    wallClock: WallClock = System::currentTimeMillis,
) {
    private val scope = CoroutineScope(context.dispatcher() + SupervisorJob() + CoroutineExceptionHandler(::reportError))
    private val pool = OriginPool((context as ContextInternal).nettyEventLoop(), clock)
    private val callClient = HttpCallClient(pool)
    private val peers = PeerExchange(callClient, scope)
    private val evidence = VersionEvidence(clock)
    private val crashes = CrashTable(clock)
    private val pressure = if (settings.sharesScarceRoom) FleetPressure(clock, reports.fleet) else null
    private val storeLink = store(callClient)

    /** The records of the store that this entry VM holds. */
    val state = SharedState(clock)

    /** The member list. */
    val members = FleetMembers(settings.self, clock)

    private val usage =
        settings.usage?.let {
            UsageReporting(
                it,
                usageLinks(callClient),
                members,
                { replicator.isLeader },
                clock,
                wallClock,
                reports.usage,
            )
        }
    private val storeReader = StoreReader(storeLink, state, clock, reports.fleet)
    private val controller =
        RolloutController(state, storeLink, { storeReader.verdictsEndOffset }, { storeReader.readVerdicts() }, clock, reports.fleet)
    private val replicator: FleetReplicator =
        FleetReplicator(
            ReplicatorParts(state, members, storeReader, peers::ask, evidence, controller, crashes, pressure, usage?.feed),
            { settings.seeds },
            "${settings.self.name}/${settings.self.incarnation}",
            clock,
            settings.isFirstStart,
            reports.fleet,
        )
    private val coldTargetLimiter = ColdTargetLimiter(settings.self.name, clock) { settledMembers() }
    private val requestLimitShares = RequestLimitShares(settings.self.name) { settledMembers() }
    private val notices = TargetNotices(clock, reports.fleet)
    private val targetTable = TargetTable(state, settings.self.dataCentre, clock, random, coldTargetLimiter, requestLimitShares, notices)
    private val retryBudget =
        FleetRetryBudget({ settings.retryLimits }, clock) { members.largestCount.takeIf { isSettled } }
    private val targetExchange = TargetExchange(pool, protocol, notices)
    private val probeBudget = ProbeBudget({ settings.probesPerSecond }, clock) { members.largestCount.takeIf { isSettled } }
    private val reach = TargetReach(clock)
    private val probe = reach.observe(targetExchange::probe)
    private val reachMonitor = TargetReachMonitor(reach, state, members, random, probe, pool::release, notices, reports.fleet)
    private var neighbours = emptyList<String>()
    private var neighboursVersion = -1L
    private val subset = TargetSubset(settings.self.name) { if (settings.sharesScarceRoom) settledNeighbours() else emptyList() }
    private val sampler = TargetSampler(clock, random, scope, probeBudget, probe, subset::preferred, pool::release)
    private val refresher = RecordRefresher(state, storeReader, clock, scope, reports.fleet)
    private val plannedStop = PlannedStop(clock) { settings.grace }
    private val relayPeers = RelayPeers(members, random)
    private val forwarderTables =
        ForwarderTables(
            state = state,
            targets = targetTable,
            budget = retryBudget,
            splits = SplitChooser(random),
            evidence = evidence,
            crashes = crashes,
            reach = reach,
            relayPeers = relayPeers,
            plannedStop = plannedStop,
            room = pressure?.let { ScarceRoom(clock, random, it) },
            recordRun = { organisation, sentAt -> usage?.recordRun(organisation, sentAt) },
            steersByRejections = { settings.sharesScarceRoom },
            maySendTwice = settings.maySendTwice,
            refreshRecords = refresher::refreshIfOld,
        )
    private val forwarder = RequestForwarder<OriginConnection, EdgeReply>(forwarderTables, sampler, clock, random, reports.request)
    private val gate = CallerGate(CallerLimits.of(Runtime.getRuntime().maxMemory(), settings.machine), clock, reports.fleet)
    private val relay = PeerRelay(pool, notices, relayPeers::recordRejection, protocol.organisation)
    private val listeners = mutableListOf<HttpListener>()
    private val edgeServer =
        EdgeServer(vertx, state, protocol, targetExchange, relay, pool.memory, gate, forwarder, plannedStop, clock, scope)

    /** Whether this entry VM has loaded the store's records and is not leaving, so that callers may be sent to it. */
    val isReady: Boolean get() = state.isLoaded && !plannedStop.hasBegun

    /** Whether this entry VM is about to stop and takes only requests that end before it does. */
    val isRefusing: Boolean get() = plannedStop.isRefusing

    /** Opens the ports and starts to replicate the store's records; [ready] and [directory] handle the platform's own requests. */
    suspend fun start(
        ready: RequestHandler,
        directory: RequestHandler,
    ) {
        scope.launch { replicator.run() }
        edgeServer.start(settings.self.callerAddress)
        listen(settings.readyAddress, handler = ready)
        listen(settings.directoryAddress, gate::watch, directory)
        listen(settings.self.peerAddress) { request ->
            if (!edgeServer.handleRelayed(request)) peers.handle(request, replicator::answer)
        }
        reports.lifecycle("listening")
        scope.launch { sweepPool() }
        scope.launch { reachMonitor.run() }
        usage?.let { scope.launch { it.run() } }
    }

    /**
     * Adopts [newSettings] as a whole; returns false and keeps the present ones when some of them need a restart, such as an address.
     *
     * Must be called on the event loop.
     */
    fun changeSettings(newSettings: GatewaySettings): Boolean {
        if (newSettings == settings) return true
        if (!settings.canChangeTo(newSettings)) return false
        settings = newSettings
        reports.lifecycle("settings changed")
        return true
    }

    /** Serves [text] at [METRICS_PORT] under `/metrics`. */
    suspend fun serveMetrics(text: () -> String) {
        listen(settings.self.peerAddress.copy(port = METRICS_PORT)) { request ->
            request.response().putHeader("Content-Type", "text/plain; version=0.0.4").end(text())
        }
    }

    /**
     * Stops this entry VM without interrupting a request, and returns when the process may exit.
     *
     * Announces that it leaves, so that no new callers are sent here, and goes on serving those who still come, as far as the
     * [PlannedStop] allows. Returns once all callers have closed their connections, at the latest shortly before the grace period ends.
     */
    suspend fun drain() {
        plannedStop.begin()
        members.leave()
        reports.lifecycle("leaving")
        scope.launch { replicator.announceDeparture() }
        val begunAt = clock()
        while (plannedStop.timeLeft > Duration.ZERO) {
            if (clock() - begunAt > MINIMUM_DRAIN && edgeServer.openConnectionCount == 0) break
            if (plannedStop.isRefusing) edgeServer.closeQuietConnections(QUIET_DURATION)
            delay(DRAIN_CHECK_INTERVAL)
        }
        usage?.let { flushUsage(it) }
        plannedStop.end()
        reports.lifecycle("stopped")
    }

    private suspend fun flushUsage(usage: UsageReporting) {
        usage.feed.flush()
        withTimeoutOrNull(USAGE_FLUSH_TIMEOUT) { replicator.announceDeparture() }
    }

    /** Stops listening; to be called after [drain], so that nobody connects while the process exits. */
    suspend fun close() {
        edgeServer.close()
        withTimeoutOrNull(CLOSE_TIMEOUT) { listeners.forEach { it.close() } }
    }

    /** Whether this process has run long enough to have received a heartbeat of every member. */
    private val isSettled: Boolean get() = clock() > SETTLING_TIME

    /** The names of the live members, or none before [isSettled]. */
    private fun settledMembers(): List<String> = if (isSettled) members.alive.map { it.name } else emptyList()

    /** The names of the live members in this data centre, or none before [isSettled]; the same list until they change. */
    private fun settledNeighbours(): List<String> {
        if (!isSettled) return emptyList()
        if (neighboursVersion == members.version) return neighbours
        neighboursVersion = members.version
        val names = members.alive.filter { it.dataCentre == settings.self.dataCentre }.map { it.name }
        if (names != neighbours) neighbours = names
        return neighbours
    }

    private fun reportError(
        @Suppress("unused") context: CoroutineContext,
        error: Throwable,
    ) {
        reports.lifecycle("unexpected error: $error")
    }

    private suspend fun sweepPool() {
        while (true) {
            pool.sweep()
            gate.sweep(state.routes?.plan?.limits)
            val dueAt = clock() + SWEEP_INTERVAL
            delay(SWEEP_INTERVAL)
            val late = clock() - dueAt
            if (late > REPORTED_STALL) reports.fleet(FleetEvent.EventLoopStalled(late))
        }
    }

    private suspend fun listen(
        address: SocketAddress,
        onConnection: (HttpConnection) -> Unit = {},
        handler: RequestHandler,
    ) {
        val listener = HttpListener(vertx.createHttpServer(serverOptions(address)))
        listeners += listener
        listener.start(onConnection, handler)
    }

    companion object {
        /** The port of the metrics endpoint; the deployment file names the same port. */
        const val METRICS_PORT = 9464

        /** By this time after a start every member has sent a heartbeat, even when many processes were killed together. */
        private val SETTLING_TIME = 3.seconds

        /** Callers use the addresses of a directory response for at least this long, so that new connections may still come. */
        private val MINIMUM_DRAIN = 2.seconds

        /** A request follows the opening of its connection within this time, also over a slow link. */
        private val QUIET_DURATION = 500.milliseconds

        /** The time for the last counts of usage at the end of a planned stop: one exchange with a peer, out of the 0.3 s before the exit. */
        private val USAGE_FLUSH_TIMEOUT = 100.milliseconds

        private val DRAIN_CHECK_INTERVAL = 50.milliseconds

        /** Closing sockets takes milliseconds; the process must exit in time. */
        private val CLOSE_TIMEOUT = 50.milliseconds

        private val SWEEP_INTERVAL = 500.milliseconds

        /** A timer that is late by more than this is logged; small machines are late by some milliseconds all the time. */
        private val REPORTED_STALL = 100.milliseconds
    }
}
