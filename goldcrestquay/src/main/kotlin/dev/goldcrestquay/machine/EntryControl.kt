package dev.goldcrestquay.machine

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import dev.goldcrestquay.contract.EnvironmentState
import dev.goldcrestquay.contract.LogRecord
import dev.goldcrestquay.contract.LogRecords
import dev.goldcrestquay.contract.Snapshot
import dev.goldcrestquay.contract.SnapshotNote
import dev.goldcrestquay.link.CatchUp
import dev.goldcrestquay.link.ExchangeMessage
import dev.goldcrestquay.link.LinkFailure
import dev.goldcrestquay.link.WarmthNotice
import dev.goldcrestquay.routing.ServiceConstraints
import dev.goldcrestquay.zone.Placement
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Runs the periodic tasks of an entry VM: reading the log and the VM list, exchanging with peers, control decisions and probes. */
public class EntryControl internal constructor(
    private val vm: EntryVm,
    private val random: Random,
) {
    private val settings = vm.settings
    private val links = vm.links
    private val prober = Prober(vm)
    private val snapshots = SnapshotTimer(settings, links.clock, random)
    private var startedAt = links.clock()
    private var logReadAt = -Duration.INFINITE
    private var appliedOffset = -1L
    private var lastReadSnapshot = 0L

    /** The identity of a peer that sent a newer state than the one held here, or null. */
    @Volatile
    private var newerPeer: String? = null
    private var placementComputedAt = -Duration.INFINITE
    private var placementInputs: Pair<Long, List<MemberRecord>>? = null

    /** The placement of services on entry VMs, computed from the members that this entry VM knows. */
    @Volatile
    public var placement: Placement = Placement.EMPTY
        private set

    /** Whether the log answered a read within [LOG_REACHABLE_AGE]. */
    public val logReachable: Boolean get() = links.clock() - logReadAt < LOG_REACHABLE_AGE

    /** Whether services are placed and the state is complete, or [EntrySettings.incompleteStateTimeout] has passed since the start. */
    public val canServe: Boolean
        get() = placement !== Placement.EMPTY && (vm.environments.complete || links.clock() - startedAt > settings.incompleteStateTimeout)

    /** Runs all periodic tasks until cancelled. */
    public suspend fun run(): Unit =
        coroutineScope {
            startedAt = links.clock()
            launch { runPeriodically(settings.logPeriod, ::readLog) }
            launch { runPeriodically(settings.vmListPeriod, ::readVmList) }
            launch { runPeriodically(settings.membership.period, ::exchangeRound) }
            launch { runPeriodically(settings.controlPeriod, ::controlRound) }
            launch { runPeriodically(settings.moveExchangePeriod, ::moveRound) }
            launch { runPeriodically(PROBE_ROUND_PERIOD, prober::probeDueTargets) }
        }

    /** Merges the [message] of a peer and returns this entry VM's own message. */
    public fun answerExchange(message: ExchangeMessage): ExchangeMessage {
        merge(message)
        if (message.offset > vm.environments.state.offset) newerPeer = message.sender
        return buildMessage()
    }

    /** Returns what a peer lacks after [offset], or the whole state for [WHOLE_STATE] and when those records are no longer kept. */
    public fun catchUp(offset: Long): CatchUp {
        val environments = vm.environments
        if (!environments.complete || environments.state.offset <= offset) return CatchUp.Nothing
        val records = if (offset == WHOLE_STATE) null else environments.recordsAfter(offset)
        return records?.let { CatchUp.Records(it) } ?: CatchUp.State(environments.state)
    }

    /** Marks this entry VM as leaving, releases its leases and tells up to [MAXIMUM_LEAVE_NOTICES] live peers, which pass it on. */
    public suspend fun leave() {
        vm.members.leave()
        vm.leases.release()?.let { append(it) }
        val peers = vm.members.all().filter { it.status == MemberStatus.ALIVE }
        coroutineScope { peers.shuffled(random).take(MAXIMUM_LEAVE_NOTICES).forEach { launch { exchange(it.peerAddress) } } }
    }

    /** Runs [round] every [period], with a random delay before the first round and jitter between rounds. */
    private suspend fun runPeriodically(
        period: Duration,
        round: suspend () -> Unit,
    ) {
        delay(minOf(period, MAXIMUM_START_DELAY) * random.nextDouble())
        while (true) {
            round()
            delay(period * (1.0 + (random.nextDouble() - HALF) * PERIOD_SPREAD))
        }
    }

    private suspend fun readLog() {
        repeat(MAXIMUM_BATCHES) {
            val before = vm.environments.nextOffset
            val result = withTimeoutOrNull(settings.logTimeout) { links.log.read(before) } ?: return
            result.onFailure { return }
            result.onSuccess {
                logReadAt = links.clock()
                vm.environments.applyBatch(it)
            }
            applyState()
            if (vm.environments.nextOffset == before) return readSnapshot()
        }
    }

    /** Reads the newest snapshot, unless already read, when the log no longer holds records that the state needs. */
    private suspend fun readSnapshot() {
        val at = vm.environments.snapshots.newestOffset
        if (vm.environments.complete || at == 0L || at == lastReadSnapshot) return
        val batch = withTimeoutOrNull(settings.logTimeout) { links.snapshots.read(at).get() } ?: return
        lastReadSnapshot = at
        vm.environments.adoptSnapshot(batch)
        applyState()
    }

    /** Appends a snapshot to the snapshot stream, then a note with its offset to the log. */
    private suspend fun writeSnapshot() {
        val state = vm.environments.state
        val text = LogRecords.write(Snapshot(state, vm.members.self.identity))
        val at = withTimeoutOrNull(settings.logTimeout) { links.snapshots.append(text).get() } ?: return
        append(SnapshotNote(at, state.offset, state.generation))
    }

    private suspend fun readVmList() {
        withTimeoutOrNull(settings.logTimeout) { links.vmList() }?.onSuccess { vm.members.updateVmList(it) }
    }

    private suspend fun exchangeRound() {
        vm.members.expire()
        coroutineScope {
            vm.members
                .nextPeers()
                .distinct()
                .forEach { launch { exchange(it) } }
        }
    }

    private suspend fun moveRound(): Unit = coroutineScope { moveCarrierAddresses().distinct().forEach { launch { exchange(it) } } }

    /** The peer addresses of the other carriers of services with a move under way; they share evidence in every move round. */
    private fun moveCarrierAddresses(): List<String> {
        val state = vm.environments.state
        val moving =
            state.environment
                ?.moves
                .orEmpty()
                .filter { state.moves[it.name]?.verdict == null }
        val carriers = moving.map { placement.carriersOf(it.service) }.filter { list -> list.any { it.name == vm.members.self.name } }
        return carriers.flatten().filter { it.name != vm.members.self.name }.map { it.peerAddress }
    }

    private suspend fun exchange(peerAddress: String) {
        val answer = withTimeoutOrNull(settings.peerTimeout) { links.peers.exchange(peerAddress, buildMessage()).get() }
        if (answer == null) return vm.members.recordFailure(peerAddress)
        merge(answer)
        if (answer.offset > vm.environments.state.offset || !vm.environments.complete) catchUpFrom(peerAddress)
    }

    /** Catches up with the peer that was last seen to have a newer state. */
    private suspend fun catchUpWithNewerPeer() {
        val sender = newerPeer ?: return
        newerPeer = null
        val address =
            vm.members
                .all()
                .firstOrNull { it.identity == sender }
                ?.peerAddress ?: return
        catchUpFrom(address)
    }

    /** Gets the newer records or state of a peer, if the log has been silent for [LOG_SILENCE_PERIODS] or cannot complete the state. */
    private suspend fun catchUpFrom(peerAddress: String) {
        val logAnswers = links.clock() - logReadAt < settings.logPeriod * LOG_SILENCE_PERIODS
        if (logAnswers && vm.environments.complete) return
        val offset = if (vm.environments.complete) vm.environments.state.offset else WHOLE_STATE
        withTimeoutOrNull(settings.peerTimeout) { links.peers.catchUp(peerAddress, offset) }?.onSuccess {
            when (it) {
                is CatchUp.Records -> vm.environments.applyBatch(it.batch)
                is CatchUp.State -> vm.environments.adopt(it.state)
                CatchUp.Nothing -> Unit
            }
            applyState()
        }
    }

    private fun buildMessage(): ExchangeMessage {
        val state = vm.environments.state
        val identity = vm.members.self.identity
        return ExchangeMessage(
            identity,
            state.offset,
            state.generation,
            vm.members.recordsToSend(),
            vm.evidence.ownRows(),
            vm.moves.stops(),
            warmthNotices(),
        )
    }

    private fun merge(message: ExchangeMessage) {
        vm.members.merge(message.members)
        vm.evidence.merge(message.sender, message.evidence)
        vm.moves.merge(message.stops)
        if (message.warmth.isEmpty()) return
        val tables = vm.services.tables
        message.warmth.forEach { notice ->
            val table = tables[notice.service] ?: return@forEach
            val target = table.service.targets.firstOrNull { it.name == notice.target } ?: return@forEach
            table.updateWarmth(notice.target, if (notice.warm) Warmth.Warm(notice.startEpoch) else target.cold(notice.startEpoch))
        }
    }

    private fun warmthNotices(): List<WarmthNotice> =
        vm.services.tables.flatMap { (service, table) ->
            table.warmthUpdates().map { (target, warmth) -> WarmthNotice(service, target, warmth.startEpoch, warmth is Warmth.Warm) }
        }

    private suspend fun controlRound() {
        catchUpWithNewerPeer()
        applyState()
        if (vm.environments.state.environment == null || vm.leaving) return
        vm.leases.claim(wantedLeases())?.let { append(it) }
        vm.moves.decide(vm.environments.state, vm.leases::heldUntil).forEach { append(it) }
        if (snapshots.isDue(vm.environments)) writeSnapshot()
        applyState()
    }

    /**
     * The services whose lease this entry VM claims: those it is the first choice for and that need a single coordinator.
     *
     * A service needs one for a cold target, for a target without a recent report, or for a move.
     */
    private fun wantedLeases(): List<String> {
        val state = vm.environments.state
        val preferred = placement.servicesOf(vm.members.self.name).filter { placement.carriersOf(it).first().name == vm.members.self.name }
        return preferred.filter { service ->
            val moving = state.environment?.moveOf(service)?.let { state.moves[it.name]?.verdict == null } ?: false
            moving || vm.services.tableOf(service)?.needsLeaseHolder(settings.maximumReportAge) == true
        }
    }

    /** Applies the current state and members to leases, services and placement, so that calls use them. */
    private fun applyState() {
        val state = vm.environments.state
        if (state.offset != appliedOffset) {
            vm.leases.observe(state)
            vm.services.updateEnvironment(state.environment)
            appliedOffset = state.offset
        }
        updatePlacement(state)
        vm.services.posture { service -> postureOf(state, service) }
    }

    private fun updatePlacement(state: EnvironmentState) {
        val inputs = state.generation to vm.members.alive
        val now = links.clock()
        val recent = placementInputs?.first == state.generation && now - placementComputedAt < PLACEMENT_INTERVAL
        if (inputs == placementInputs || recent) return
        placementInputs = inputs
        placementComputedAt = now
        placement = Placement.of(state.environment?.services.orEmpty(), vm.members.alive, settings.placement)
    }

    private fun postureOf(
        state: EnvironmentState,
        service: String,
    ): ServiceConstraints {
        val carriers = placement.carriersOf(service)
        val carries = carriers.any { it.name == vm.members.self.name }
        val others = (vm.members.alive.size - carriers.size).coerceAtLeast(1)
        return ServiceConstraints(
            leaseUntil = vm.leases.heldUntil(service),
            share = vm.moves.versionShare(state, service),
            dataCentresOut = state.environment?.dataCentresOut.orEmpty(),
            connectionShare = if (carries) CARRIER_CONNECTION_SHARE / carriers.size else (1 - CARRIER_CONNECTION_SHARE) / others,
        )
    }

    private suspend fun append(record: LogRecord): Result<Long, LinkFailure>? =
        withTimeoutOrNull(settings.logTimeout) { links.log.append(LogRecords.write(record)) }

    private companion object {
        const val HALF = 0.5

        /** The log counts as silent after this many read periods without an answer. */
        const val LOG_SILENCE_PERIODS = 2

        /** The width of the random deviation of a period, as a share of the period: 10 % up or down. */
        const val PERIOD_SPREAD = 0.2

        /** The most batches read from the log in one round. */
        const val MAXIMUM_BATCHES = 64
        const val MAXIMUM_LEAVE_NOTICES = 8

        /** The share of a target's connections that the carriers of its service divide; the other entry VMs divide the rest. */
        const val CARRIER_CONNECTION_SHARE = 0.75

        /** The offset with which a peer asks for the whole state. */
        const val WHOLE_STATE = -1L
        val LOG_REACHABLE_AGE = 3.seconds

        /** The longest random delay before the first round of a periodic task. */
        val MAXIMUM_START_DELAY = 500.milliseconds

        /** The shortest time between two placements of the same generation, however often the members change. */
        val PLACEMENT_INTERVAL = 1.seconds
        val PROBE_ROUND_PERIOD = 100.milliseconds
    }
}
